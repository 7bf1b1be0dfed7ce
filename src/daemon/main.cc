// Entry point of comfreyflowd, the host process. Each host runs one.
#include <tclap/CmdLine.h>

#include <boost/asio.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include "comfreyflow/settings.h"
#include "comfreyflow/version.h"
#include "http/tls.h"
#include "node/log.h"
#include "node/node.h"
#include "node/run-loop.h"

namespace {

using comfreyflow::HostSettings;
using comfreyflow::kVersion;
using comfreyflow::node::Event;
using comfreyflow::node::LogLine;
using comfreyflow::node::Severity;

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
/// Time between checks whether the TLS files changed.
constexpr std::chrono::seconds kTlsCheckPeriod{5};

struct Options {
  std::string config;  ///< Settings file to run with; empty with `check`.
  std::string check;   ///< Settings file to check only; empty with `config`.
};

/// Parses the command line. Returns false, after printing the error, if
/// it is invalid.
bool ReadOptions(int argc, char** argv, Options& options) {
  TCLAP::CmdLine command_line("Host process of comfreyflow", ' ', kVersion);
  TCLAP::ValueArg<std::string> config("", "config", "Settings file of the host",
                                      false, "", "FILE");
  TCLAP::ValueArg<std::string> check(
      "", "check", "Check the settings and the files they name, then exit",
      false, "", "FILE");
  command_line.xorAdd(config, check);
  command_line.setExceptionHandling(false);
  try {
    command_line.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "comfreyflowd: " << error.argId() << ": " << error.error()
              << "\nTry comfreyflowd --help.\n";
    return false;
  }
  options.config = config.getValue();
  options.check = check.getValue();
  return true;
}

/// The settings file and the files it names, read and checked before the host
/// starts.
struct LoadedSettings {
  HostSettings settings;
  std::string fleet_key;
  std::vector<std::string> problems;
};

/// Reads the files that the settings name and adds a problem for each one that
/// cannot be used.
void CheckFiles(LoadedSettings& loaded) {
  const auto& settings = loaded.settings;
  if (comfreyflow::node::ReadSecret(settings.fleet_key_file,
                                    loaded.fleet_key)) {
    loaded.problems.push_back(
        "[host] fleet_key_file: expected a readable file of at least " +
        std::to_string(comfreyflow::node::kMinSecretBytes) + " bytes");
  }
  if (settings.certificate_file.empty()) return;
  comfreyflow::http::TlsFiles tls(settings.certificate_file, settings.key_file);
  bool changed = false;
  if (const auto error = tls.Reload(changed)) {
    loaded.problems.push_back(
        "[tls] certificate_file, key_file: expected readable PEM files of one "
        "pair: " +
        error.message());
  }
}

/// Reads and checks the settings file.
LoadedSettings LoadSettings(const std::string& file) {
  LoadedSettings loaded;
  std::ifstream stream(file);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    loaded.problems.push_back("expected a readable file");
    return loaded;
  }
  auto result = comfreyflow::ParseHostSettings(text.str());
  loaded.settings = std::move(result.settings);
  for (const auto& problem : result.problems) {
    loaded.problems.push_back(ToString(problem));
  }
  if (result.ok()) CheckFiles(loaded);
  return loaded;
}

/// Prints the problems of the settings file and returns the exit code.
int CheckSettings(const std::string& file) {
  const LoadedSettings loaded = LoadSettings(file);
  for (const auto& problem : loaded.problems) {
    std::cerr << file << ": " << problem << '\n';
  }
  return loaded.problems.empty() ? kExitSuccess : kExitFailure;
}

/// Runs the node until it ends. SIGTERM and SIGINT drain it; SIGHUP reloads the
/// TLS files.
class NodeRunner {
 public:
  explicit NodeRunner(LoadedSettings loaded)
      : signals_(io_, SIGTERM, SIGINT, SIGHUP),
        tls_timer_(io_),
        node_({std::move(loaded.settings), std::move(loaded.fleet_key),
               [this](int code) {
                 boost::asio::post(io_, [this, code] {
                   exit_code_ = code;
                   io_.stop();
                 });
               }}) {}

  int Run() {
    if (const auto error = node_.Start()) {
      LogLine(Severity::kError, Event::kStartFailed)
          .With("reason", error.message());
      return kExitFailure;
    }
    WaitForSignal();
    ScheduleTlsReload();
    comfreyflow::node::RunLoop(io_);
    LogLine(Severity::kInfo, Event::kHostStopped)
        .With("exit_code", static_cast<std::uint64_t>(exit_code_));
    return exit_code_;
  }

 private:
  void WaitForSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int number) {
          if (error) return;
          if (number == SIGHUP) {
            node_.ReloadTls();
          } else {
            LogLine(Severity::kInfo, Event::kDrainAsked).With("by", "signal");
            node_.Drain();
          }
          WaitForSignal();
        });
  }

  void ScheduleTlsReload() {
    tls_timer_.expires_after(kTlsCheckPeriod);
    tls_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      node_.ReloadTls();
      ScheduleTlsReload();
    });
  }

  boost::asio::io_context io_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tls_timer_;
  int exit_code_ = kExitSuccess;
  comfreyflow::node::Node node_;
};

int Main(int argc, char** argv) {
  Options options;
  try {
    if (!ReadOptions(argc, argv, options)) return kExitUsage;
  } catch (const TCLAP::ExitException& exit_exception) {
    return exit_exception.getExitStatus();
  }
  if (!options.check.empty()) return CheckSettings(options.check);
  LoadedSettings loaded = LoadSettings(options.config);
  if (!loaded.problems.empty()) {
    for (const auto& problem : loaded.problems) {
      std::cerr << options.config << ": " << problem << '\n';
    }
    return kExitFailure;
  }
  comfreyflow::node::StartLog("comfreyflowd");
  NodeRunner node_runner(std::move(loaded));
  return node_runner.Run();
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv); }
