// Chooses the command, prints its report, gives the exit code.
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
  const char* what;
  std::function<Report(Args, std::ostream&, std::ostream&)> run;
};

/// A command that prints nothing before its report.
std::function<Report(Args, std::ostream&, std::ostream&)> Quiet(
    Report (*command)(Args, std::ostream&)) {
  return [command](Args args, std::ostream&, std::ostream& err) {
    return command(std::move(args), err);
  };
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> all = {
      {"check", "Check a configuration document", Quiet(Check)},
      {"diff", "Compare a document with the one in force", Quiet(Diff)},
      {"apply", "Put a document in force", Quiet(Apply)},
      {"promote", "Carry a proven document to another environment",
       Quiet(Promote)},
      {"status", "Show the state of hosts", Quiet(Status)},
      {"dump", "Show everything a host knows", Quiet(Dump)},
      {"drain", "Stop a host without cutting a stream", Quiet(Drain)},
      {"addresses", "Show the hosts that callers should use", Quiet(Addresses)},
      {"complete", "Send a prompt and print the answer as it comes", Complete},
      {"explain", "Show the way of one request through logs", Quiet(Explain)},
      {"errors", "List all error codes", Quiet(Errors)},
      {"events", "List all events of the logs", Quiet(Events)},
  };
  return all;
}

std::string Usage() {
  std::ostringstream out;
  out << "comfreyflowctl " << kVersion
      << "\n\nUsage: comfreyflowctl COMMAND [ARGUMENTS] [--json]\n\n";
  for (const Command& command : Commands()) {
    out << "  " << command.name
        << std::string(12 - std::string(command.name).size(), ' ')
        << command.what << '\n';
  }
  out << "\nEach command takes --help. Exit codes: 0 done, 1 refused or "
         "failed, "
         "2 usage.\n";
  return out.str();
}

int Print(const Report& report, std::ostream& out, std::ostream& err) {
  const bool done = report.code == Errc::kOk;
  if (report.as_json) {
    out << report.json.dump(2, ' ', false, Json::error_handler_t::replace)
        << '\n';
  } else {
    (done ? out : err) << report.text;
  }
  return done ? kExitDone : kExitFailed;
}

int RunCommand(const Command& command, const Args& args, std::ostream& out,
               std::ostream& err) {
  try {
    return Print(command.run(args, out, err), out, err);
  } catch (const TCLAP::ExitException& end) {
    return end.getExitStatus();
  } catch (const TCLAP::ArgException& fault) {
    err << "comfreyflowctl " << command.name << ": " << fault.argId() << ' '
        << fault.error() << "\nTry comfreyflowctl " << command.name
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
    return kExitDone;
  }
  if (name == "--version") {
    out << "comfreyflowctl " << kVersion << '\n';
    return kExitDone;
  }
  for (const Command& command : Commands()) {
    if (name == command.name) return RunCommand(command, args, out, err);
  }
  err << (name.empty() ? "" : "comfreyflowctl: no command " + name + "\n")
      << Usage();
  return kExitUsage;
}

}  // namespace comfreyflow::ctl
