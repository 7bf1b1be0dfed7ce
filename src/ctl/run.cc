// Runs the command named on the command line, prints its report and returns the
// exit code.
#include <tclap/CmdLine.h>

#include <array>
#include <fstream>
#include <functional>
#include <ostream>
#include <sstream>

#include "ctl/commands.h"

namespace comfreyflow::ctl {
namespace {

struct Command {
  const char* name;
  const char* description;
  std::function<Report(Args, std::ostream&, std::ostream&)> run;
};

/// Adapts a command that prints no output besides its report.
std::function<Report(Args, std::ostream&, std::ostream&)> WithoutOutput(
    Report (*command)(Args, std::ostream&)) {
  return [command](Args args, std::ostream&, std::ostream& err) {
    return command(std::move(args), err);
  };
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"check", "Check a configuration document", WithoutOutput(Check)},
      {"diff", "Compare a document with the configuration in force",
       WithoutOutput(Diff)},
      {"apply", "Put a document in force", WithoutOutput(Apply)},
      {"promote", "Copy a proven configuration to another environment",
       WithoutOutput(Promote)},
      {"status", "Show the state of hosts", WithoutOutput(Status)},
      {"dump", "Show the complete internal state of a host",
       WithoutOutput(Dump)},
      {"drain", "Stop a host after its last stream has ended",
       WithoutOutput(Drain)},
      {"addresses", "Show the hosts that callers should use",
       WithoutOutput(Addresses)},
      {"complete", "Send a prompt and print the answer as it arrives",
       Complete},
      {"explain", "Show the path of one request through logs",
       WithoutOutput(Explain)},
      {"errors", "List all error codes", WithoutOutput(Errors)},
      {"events", "List all log events", WithoutOutput(Events)},
  };
  return commands;
}

std::string Usage() {
  std::ostringstream out;
  out << "comfreyflowctl " << kVersion
      << "\n\nUsage: comfreyflowctl COMMAND [ARGUMENTS] [--json]\n\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name
        << std::string(12 - std::string(command.name).size(), ' ')
        << command.description << '\n';
  }
  out << "\nEach command takes --help. Exit codes: 0 success, 1 refused or "
         "failed, "
         "2 invalid arguments.\n";
  return out.str();
}

int Print(const Report& report, std::ostream& out, std::ostream& err) {
  const bool succeeded = report.code == Errc::kOk;
  if (report.as_json) {
    out << report.json.dump(2, ' ', false, Json::error_handler_t::replace)
        << '\n';
  } else {
    (succeeded ? out : err) << report.text;
  }
  return succeeded ? kExitSuccess : kExitFailure;
}

int RunCommand(const Command& command, const Args& args, std::ostream& out,
               std::ostream& err) {
  try {
    return Print(command.run(args, out, err), out, err);
  } catch (const TCLAP::ExitException& exit_exception) {
    return exit_exception.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    err << "comfreyflowctl " << command.name << ": " << error.argId() << ' '
        << error.error() << "\nTry comfreyflowctl " << command.name
        << " --help.\n";
    return kExitUsage;
  }
}

}  // namespace

void SetError(Report& report, Errc code, const std::string& detail) {
  const ErrorInfo& info = Info(code);
  report.code = code;
  Json error{{"code", info.name},
             {"message", info.message},
             {"outcome", ToString(info.outcome)},
             {"retry", info.retry}};
  if (!detail.empty()) error["detail"] = detail;
  report.json["error"] = std::move(error);
  report.text += std::string(info.name) + ": " + info.message;
  report.text += detail.empty() ? "\n" : " (" + detail + ")\n";
}

bool ReadFile(const std::string& path, std::string& out) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) return false;
  out = text.str();
  return true;
}

int Run(const Args& args, std::ostream& out, std::ostream& err) {
  const std::string name = args.empty() ? "" : args.front();
  if (name == "--help" || name == "-h") {
    out << Usage();
    return kExitSuccess;
  }
  if (name == "--version") {
    out << "comfreyflowctl " << kVersion << '\n';
    return kExitSuccess;
  }
  for (const Command& command : Commands()) {
    if (name == command.name) return RunCommand(command, args, out, err);
  }
  err << (name.empty() ? "" : "comfreyflowctl: unknown command " + name + "\n")
      << Usage();
  return kExitUsage;
}

}  // namespace comfreyflow::ctl
