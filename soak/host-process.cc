// Starts and signals processes.
#include "soak/host-process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace comfreyflow::soak {
namespace {

constexpr int kGossipPort = 7340;
constexpr int kLastPort = 7355;
constexpr int kControlPort = 8229;
constexpr int kMemoryMb = 260;
constexpr mode_t kLogMode = 0644;

}  // namespace

HostProcess::HostProcess(HostPlan plan) : plan_(std::move(plan)) {
  WriteSettings();
}

HostProcess::~HostProcess() {
  if (!Running()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
}

std::string HostProcess::At(int port) const {
  return plan_.ip + ":" + std::to_string(port);
}

void HostProcess::WriteSettings() const {
  nlohmann::json seeds = nlohmann::json::array();
  for (const auto& ip : plan_.seeds) {
    seeds.push_back(ip + ":" + std::to_string(kControlPort));
  }
  nlohmann::json settings{
      {"NodeName", plan_.name},
      {"Zone", plan_.failure_domain},
      {"Ip", plan_.ip},
      {"Listen",
       {{"Front", At(kCallerPort)},
        {"ReadyAddr", At(kReadyPort)},
        {"Directory", At(kDirectoryPort)}}},
      {"PortRange", {kGossipPort, kLastPort}},
      {"Seeds", seeds},
      {"Platform", {{"Addr", plan_.store}}},
      {"Bounds",
       {{"GraceS",
         std::chrono::duration_cast<std::chrono::seconds>(plan_.stop_time)
             .count()},
        {"RetryRatio", 0.2},
        {"RetrySlack", 100},
        {"RetryWindowS", 10}}},
      {"Limits", {{"CpuShare", 0.25}, {"Cores", 1}, {"MemoryMb", kMemoryMb}}}};
  if (plan_.evacuates) settings["Bounds"]["EvacMs"] = 5000;
  std::ofstream(plan_.directory + "/" + plan_.name + ".json")
      << settings.dump(2);
}

void HostProcess::Start() {
  if (Running()) return;
  const std::string base = plan_.directory + "/" + plan_.name;
  const std::string settings = "COMFREYFLOW_NODE_FILE=" + base + ".json";
  std::string program = plan_.program;
  std::string fault = plan_.fault;
  std::array<char*, 3> arguments = {program.data(), nullptr, nullptr};
  if (!fault.empty()) arguments[1] = fault.data();
  const std::string cut = std::string(kCutFileVariable) + "=" + CutFile();
  std::array<char*, 3> environment = {const_cast<char*>(settings.c_str()),
                                      const_cast<char*>(cut.c_str()), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   (base + ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  // A connection that the child inherits would stay open behind our back.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = ::posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                  arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = 0;
    throw std::runtime_error("cannot start " + program);
  }
}

void HostProcess::Signal(int signal) const {
  if (pid_ != 0) ::kill(pid_, signal);
}

std::string HostProcess::CutFile() const {
  return plan_.directory + "/" + plan_.name + ".cut";
}

void HostProcess::CutFrom(const std::vector<std::string>& ports) const {
  std::string text;
  for (const auto& port : ports) text += port + '\n';
  std::ofstream(CutFile()) << text;
}

std::size_t HostProcess::LogLines(const std::string& text) const {
  std::ifstream log(plan_.directory + "/" + plan_.name + ".log");
  std::size_t count = 0;
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) ++count;
  }
  return count;
}

std::uint64_t HostProcess::PeakMemoryBytes() const {
  constexpr std::uint64_t kKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string name;
  std::uint64_t value = 0;
  while (status >> name) {
    if (name == "VmHWM:" && status >> value) return value * kKilobyte;
  }
  return 0;
}

bool HostProcess::Running() {
  if (pid_ == 0) return false;
  if (::waitpid(pid_, &status_, WNOHANG) == 0) return true;
  pid_ = 0;
  return false;
}

}  // namespace comfreyflow::soak
