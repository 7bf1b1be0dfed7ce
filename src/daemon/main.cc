// comfreyflowd: one process a host.
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

namespace {

using comfreyflow::HostSettings;
using comfreyflow::kVersion;
using comfreyflow::node::Event;
using comfreyflow::node::LogLine;
using comfreyflow::node::Severity;

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr std::chrono::seconds kTlsCheckPeriod{5};

struct Options {
  std::string config;
  std::string check;
};

/// Reads the command line; false when it asks for nothing that can be run.
bool ReadOptions(int argc, char** argv, Options& out) {
  TCLAP::CmdLine line("Host process of comfreyflow", ' ', kVersion);
  TCLAP::ValueArg<std::string> config("", "config", "Settings of the host",
                                      false, "", "FILE");
  TCLAP::ValueArg<std::string> check(
      "", "check", "Check settings and the files they name, and end", false, "",
      "FILE");
  line.xorAdd(config, check);
  line.setExceptionHandling(false);
  try {
    line.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "comfreyflowd: " << error.argId() << ": " << error.error()
              << "\nTry comfreyflowd --help.\n";
    return false;
  }
  out.config = config.getValue();
  out.check = check.getValue();
  return true;
}

/// Everything that can be known of the settings before the host starts.
struct Loaded {
  HostSettings settings;
  std::string fleet_key;
  std::vector<std::string> problems;
};

void CheckFiles(Loaded& loaded) {
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

Loaded Load(const std::string& file) {
  Loaded loaded;
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

int Check(const std::string& file) {
  const Loaded loaded = Load(file);
  for (const auto& problem : loaded.problems) {
    std::cerr << file << ": " << problem << '\n';
  }
  return loaded.problems.empty() ? kDone : kFailed;
}

/// Waits for signals and for the node's end.
class Runner {
 public:
  explicit Runner(Loaded loaded)
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
      return kFailed;
    }
    WaitSignal();
    WaitTls();
    io_.run();
    LogLine(Severity::kInfo, Event::kHostStopped)
        .With("exit_code", static_cast<std::uint64_t>(exit_code_));
    return exit_code_;
  }

 private:
  void WaitSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int number) {
          if (error) return;
          if (number == SIGHUP) {
            node_.ReloadTls();
          } else {
            LogLine(Severity::kInfo, Event::kDrainAsked).With("by", "signal");
            node_.Drain();
          }
          WaitSignal();
        });
  }

  void WaitTls() {
    tls_timer_.expires_after(kTlsCheckPeriod);
    tls_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      node_.ReloadTls();
      WaitTls();
    });
  }

  boost::asio::io_context io_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tls_timer_;
  int exit_code_ = kDone;
  comfreyflow::node::Node node_;
};

int Main(int argc, char** argv) {
  Options options;
  try {
    if (!ReadOptions(argc, argv, options)) return kUsage;
  } catch (const TCLAP::ExitException& end) {
    return end.getExitStatus();
  }
  if (!options.check.empty()) return Check(options.check);
  Loaded loaded = Load(options.config);
  if (!loaded.problems.empty()) {
    for (const auto& problem : loaded.problems) {
      std::cerr << options.config << ": " << problem << '\n';
    }
    return kFailed;
  }
  comfreyflow::node::StartLog("comfreyflowd");
  Runner runner(std::move(loaded));
  return runner.Run();
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv); }
