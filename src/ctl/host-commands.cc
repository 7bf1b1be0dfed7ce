// Commands for hosts, and the tables of errors and log events.
#include <sstream>

#include "ctl/arguments.h"
#include "ctl/commands.h"
#include "ctl/host-call.h"
#include "node/events.h"

namespace comfreyflow::ctl {
namespace {

constexpr const char* kAdminDescription = "Address of a host for operators";

/// Formats one line of `status`: the state of a host, or the error of the call.
std::string StatusLine(const std::string& address, const HostReply& reply) {
  std::ostringstream out;
  out << address << "  ";
  if (reply.code != Errc::kOk) {
    out << Info(reply.code).name << '\n';
    return out.str();
  }
  const Json& status = reply.body;
  const Json config = status.value("config", Json::object());
  out << status.value("host", "?") << "  "
      << status.value("failure_domain", "?") << "  "
      << status.value("state", "?") << "  generation "
      << config.value("generation", 0) << " of "
      << config.value("environment", "?") << "  requests "
      << status.value("open_requests", 0);
  if (status.contains("in_force")) {
    out << "  in force on " << status["in_force"].value("hosts", 0) << " of "
        << status["in_force"].value("of", 0);
  }
  out << '\n';
  return out.str();
}

/// Makes one call to a host; the body of the response is the report.
Report RunHostCall(Args& args, const char* description,
                   const std::string& method, const std::string& path) {
  CommandLine command(description);
  const HostArguments admin(command, "admin", kAdminDescription);
  command.Parse(args);
  Report report = command.NewReport();
  const HostReply reply =
      HostCaller(admin.addresses(), admin.key()).Call(method, path);
  if (reply.code != Errc::kOk) {
    SetError(report, reply.code, reply.address);
    return report;
  }
  report.json = reply.body;
  report.text = reply.body.dump(2) + '\n';
  return report;
}

}  // namespace

Report Status(Args args, std::ostream&) {
  CommandLine command("Shows the state of each host given");
  const HostArguments admin(command, "admin", kAdminDescription);
  command.Parse(args);
  Report report = command.NewReport();
  const HostCaller caller(admin.addresses(), admin.key());
  report.json["hosts"] = Json::array();
  Errc failed = Errc::kOk;
  for (const std::string& address : caller.addresses()) {
    const HostReply reply = caller.ForAddress(address).Get("/admin/status");
    if (reply.code != Errc::kOk) failed = reply.code;
    report.text += StatusLine(address, reply);
    report.json["hosts"].push_back(
        {{"address", address}, {"answer", reply.body}});
  }
  if (failed != Errc::kOk) SetError(report, failed);
  return report;
}

Report Dump(Args args, std::ostream&) {
  return RunHostCall(args, "Shows the complete internal state of a host", "GET",
                     "/admin/dump");
}

Report Drain(Args args, std::ostream&) {
  return RunHostCall(args, "Stops a host after its last stream has ended",
                     "POST", "/admin/drain");
}

Report Addresses(Args args, std::ostream&) {
  CommandLine command("Shows the hosts that callers should use, best first");
  const HostArguments host(command, "host", "Address of a host for callers");
  TCLAP::ValueArg<std::string> domain("", "failure-domain",
                                      "Failure domain of the caller", false, "",
                                      "NAME", command.line());
  command.Parse(args);
  Report report = command.NewReport();
  std::string path = "/v1/addresses";
  if (domain.isSet()) path += "?failure_domain=" + domain.getValue();
  const HostReply reply = HostCaller(host.addresses(), host.key()).Get(path);
  if (reply.code != Errc::kOk) {
    SetError(report, reply.code, reply.address);
    return report;
  }
  report.json = reply.body;
  for (const Json& entry : reply.body.value("hosts", Json::array())) {
    report.text += entry.value("address", "?") + "  " +
                   entry.value("failure_domain", "?") + '\n';
  }
  return report;
}

std::string ErrorsMarkdown() {
  std::ostringstream out;
  out << "| code | status | outcome | retry | meaning |\n"
         "|---|---|---|---|---|\n";
  for (int i = 1; i < ErrorCount(); ++i) {
    const ErrorInfo& info = Info(static_cast<Errc>(i));
    out << "| `" << info.name << "` | " << info.http_status << " | `"
        << ToString(info.outcome) << "` | " << (info.retry ? "yes" : "no")
        << " | " << info.message << " |\n";
  }
  return out.str();
}

Report Errors(Args args, std::ostream&) {
  CommandLine command("Lists all error codes as a Markdown table");
  command.Parse(args);
  Report report = command.NewReport();
  report.text = ErrorsMarkdown();
  report.json["errors"] = Json::array();
  for (int i = 1; i < ErrorCount(); ++i) {
    const ErrorInfo& info = Info(static_cast<Errc>(i));
    report.json["errors"].push_back({{"code", info.name},
                                     {"status", info.http_status},
                                     {"outcome", ToString(info.outcome)},
                                     {"retry", info.retry},
                                     {"message", info.message}});
  }
  return report;
}

Report Events(Args args, std::ostream&) {
  CommandLine command("Lists all log events as a Markdown table");
  command.Parse(args);
  Report report = command.NewReport();
  report.text = node::RenderEvents();
  report.json["events"] = Json::array();
  for (const auto& spec : node::kEventSpecs) {
    report.json["events"].push_back({{"event", spec.name},
                                     {"when", spec.when},
                                     {"fields", std::string(spec.fields)}});
  }
  return report;
}

}  // namespace comfreyflow::ctl
