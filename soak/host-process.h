/// A host as a process of its own: its settings, its signals, its log.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow::soak {

struct HostPlan {
  std::string program;
  std::string directory;  ///< For settings and log.
  std::string name;
  std::string failure_domain;
  std::string ip;
  std::string store;               ///< `ip:port`
  std::vector<std::string> seeds;  ///< `ip`
  std::string fault;  ///< Planted one, for a program that takes it.
  Duration stop_time = std::chrono::seconds(4);
  bool evacuates = false;  ///< The settings name the bound of evacuations.
};

/// Names the file of the ports to which a host makes no connection.
inline constexpr const char* kCutFileVariable = "SOAK_CUT_FILE";
inline constexpr int kCallerPort = 8227;
inline constexpr int kReadyPort = 8220;
inline constexpr int kDirectoryPort = 8224;

/// Ends its process when it goes.
class HostProcess {
 public:
  explicit HostProcess(HostPlan plan);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  const HostPlan& plan() const { return plan_; }
  std::string At(int port) const;
  /// Does nothing while the process runs.
  void Start();
  void Signal(int signal) const;
  /// New connections to these ports are refused until the next call, if the
  /// program is soak-planted-host.
  void CutFrom(const std::vector<std::string>& ports) const;
  /// Whether the process runs; takes note of its end.
  bool Running();
  /// Lines of its log that contain the text.
  std::size_t LogLines(const std::string& text) const;
  /// The most memory that the process has held so far; 0 if none runs.
  std::uint64_t PeakMemoryBytes() const;
  /// How the last process ended, as `waitpid` tells it.
  int status() const { return status_; }

 private:
  void WriteSettings() const;
  std::string CutFile() const;

  const HostPlan plan_;
  pid_t pid_ = 0;  ///< 0: none runs.
  int status_ = 0;
};

}  // namespace comfreyflow::soak
