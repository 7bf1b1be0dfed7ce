// Commands that check, compare and change configurations.
#include <chrono>
#include <optional>
#include <ostream>
#include <thread>

#include "comfreyflow/config-change.h"
#include "comfreyflow/config-state.h"
#include "ctl/arguments.h"
#include "ctl/commands.h"
#include "ctl/host-call.h"
#include "http/problems.h"

namespace comfreyflow::ctl {
namespace {

using std::chrono::steady_clock;

constexpr const char* kAdminDescription = "Address of a host for operators";
constexpr std::chrono::milliseconds kPollPeriod(100);
/// Maximum time in which a document that the store has accepted reaches each
/// host.
constexpr std::chrono::seconds kReadBackTimeout(3);

/// The configuration in force on one host.
struct ConfigInForce {
  Errc code = Errc::kOk;
  StoredConfig stored;
  /// Empty if the call failed or no configuration is in force yet.
  std::optional<Config> config;
};

/// A new configuration document and the conditions of its update.
struct Update {
  std::string text;
  Config config;
  std::uint64_t against = 0;  ///< Generation the update replaces.
  /// Hash of the accounts and services that were in force on every host of the
  /// environment they are promoted from; empty if the update is no promotion.
  std::string proven_hash;
};

ConfigInForce ReadConfig(const HostCaller& caller) {
  const HostReply reply = caller.Get("/admin/config");
  ConfigInForce out;
  out.code = reply.code;
  if (reply.code == Errc::kObjectNotFound) out.code = Errc::kOk;
  if (reply.code != Errc::kOk) return out;
  out.stored.generation = reply.body.value("generation", std::uint64_t{0});
  out.stored.text = reply.body.value("document", "");
  ConfigResult parsed = ParseConfig(out.stored.text);
  if (!parsed.ok()) out.code = Errc::kConfigInvalid;
  out.config = std::move(parsed.config);
  return out;
}

/// Reads on how many hosts the configuration is in force; returns an empty
/// `ConfigReach` if the call fails.
ConfigRolloutStatus ReadReach(const HostCaller& caller) {
  const HostReply reply = caller.Get("/admin/status");
  ConfigRolloutStatus reach;
  if (reply.code != Errc::kOk) return reach;
  const Json config = reply.body.value("config", Json::object());
  const Json in_force = reply.body.value("in_force", Json::object());
  reach.generation = config.value("generation", std::uint64_t{0});
  reach.hash = config.value("hash", "");
  reach.applied_hosts = in_force.value("hosts", 0U);
  reach.total_hosts = in_force.value("of", 0U);
  return reach;
}

/// Adds the differences to the text under `title`, and to the JSON object under
/// the key `title`.
void AddDifferences(Report& report, const char* title, const Config& before,
                    const Config& after) {
  Json list = Json::array();
  report.text += std::string(title) + ":\n";
  const auto differences = Differences(before, after);
  if (differences.empty()) report.text += "  no difference\n";
  for (const auto& difference : differences) {
    report.text += "  " + ToString(difference) + '\n';
    list.push_back(ToString(difference));
  }
  report.json[title] = std::move(list);
}

/// Reads and checks a document. Returns false if it cannot be read or is
/// invalid; the report then holds the problems.
bool LoadDocument(const std::string& path, Report& report, std::string& text,
                  Config& config) {
  if (!ReadFile(path, text)) {
    SetError(report, Errc::kConfigInvalid, "cannot read " + path);
    return false;
  }
  ConfigResult result = ParseConfig(text);
  config = std::move(result.config);
  if (result.ok()) return true;
  for (const Problem& problem : result.problems) {
    report.text += path + ": " + ToString(problem) + '\n';
  }
  report.json["problems"] = http::ProblemsJson(result.problems);
  SetError(report, Errc::kConfigInvalid, path);
  return false;
}

/// Reads the configuration until its generation is later than `base` or
/// `kReadBackTimeout` has passed.
ConfigInForce ReadBackConfig(const HostCaller& caller, std::uint64_t base) {
  const auto end = steady_clock::now() + kReadBackTimeout;
  ConfigInForce current = ReadConfig(caller);
  while ((current.code != Errc::kOk || current.stored.generation <= base) &&
         steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollPeriod);
    current = ReadConfig(caller);
  }
  return current;
}

/// Reports a conflict with another operator's update: the changes of both
/// updates since the document that they started from, or, if that document is
/// not known, the differences between the two.
void ReportConflict(Report& report, const Update& update,
                    const ConfigInForce& base, const UpdateEnded& end) {
  const ConfigResult theirs = ParseConfig(end.current.text);
  const bool is_base_known = base.stored.generation == update.against;
  if (is_base_known) {
    const Config before = base.config.value_or(Config());
    AddDifferences(report, "yours", before, update.config);
    AddDifferences(report, "theirs", before, theirs.config);
  } else {
    AddDifferences(report, "theirs to yours", theirs.config, update.config);
  }
  report.json["generation"] = end.current.generation;
  report.json["replaced"] = end.replaced;
  SetError(
      report, end.code,
      "the document was made against generation " +
          std::to_string(update.against) + "; the generation in force is " +
          std::to_string(end.current.generation) +
          (end.replaced ? "; this document may have been in force in between"
                        : ""));
}

/// Sends the update to a host. Stores the error that the host sent, if the
/// update ends with it, in the report.
UpdateStep PutUpdate(Report& report, const HostCaller& caller,
                     const Update& update, ConfigUpdate& config_update) {
  http::Fields fields = {{"if-match", std::to_string(update.against)},
                         {"content-type", "text/plain"}};
  if (!update.proven_hash.empty()) {
    fields.push_back({"x-proven-hash", update.proven_hash});
  }
  const HostReply reply =
      caller.Call("PUT", "/admin/config", update.text, fields);
  if (reply.code == Errc::kOk) {
    return config_update.OnPut(
        PutReply::kDone, reply.body.value("generation", std::uint64_t{0}));
  }
  if (reply.code == Errc::kConfigConflict) {
    return config_update.OnPut(PutReply::kConflict, 0);
  }
  if (reply.is_outcome_unknown || reply.code == Errc::kPlatformUnavailable) {
    return config_update.OnPut(PutReply::kNoAnswer, 0);
  }
  report.json["host_error"] =
      reply.body.is_object() ? reply.body.value("error", Json()) : Json();
  return UpdateEnded{reply.code, {}, false};
}

/// Carries out the update and reports its outcome.
void RunUpdate(Report& report, const HostCaller& caller, const Update& update,
               const ConfigInForce& base) {
  ConfigUpdate config_update(update.against, update.text);
  UpdateStep step = config_update.Start();
  bool was_read_back = false;
  while (!std::holds_alternative<UpdateEnded>(step)) {
    if (std::holds_alternative<PutConfig>(step)) {
      step = PutUpdate(report, caller, update, config_update);
      continue;
    }
    was_read_back = true;
    const ConfigInForce current = ReadBackConfig(caller, update.against);
    step = current.code == Errc::kOk ? config_update.OnRead(current.stored)
                                     : config_update.OnReadFailed();
  }
  const auto& end = std::get<UpdateEnded>(step);
  if (end.code == Errc::kConfigConflict) {
    return ReportConflict(report, update, base, end);
  }
  if (end.code != Errc::kOk) return SetError(report, end.code);
  report.json["generation"] = end.current.generation;
  report.json["hash"] = Sha256(update.text).value;
  report.json["settled_by_reading_back"] = was_read_back;
  report.text += "accepted as generation " +
                 std::to_string(end.current.generation) +
                 (was_read_back ? " (confirmed by reading it back)\n" : "\n");
}

/// Waits until the generation is in force on all hosts that the called host
/// knows of, or `timeout` has passed.
void WaitUntilInForce(Report& report, const HostCaller& caller,
                      std::uint64_t generation, std::chrono::seconds timeout) {
  const auto end = steady_clock::now() + timeout;
  ConfigRolloutStatus reach;
  bool is_on_all_hosts = false;
  do {
    reach = ReadReach(caller);
    is_on_all_hosts = reach.generation >= generation && reach.total_hosts > 0 &&
                      reach.applied_hosts == reach.total_hosts;
    if (!is_on_all_hosts) std::this_thread::sleep_for(kPollPeriod);
  } while (!is_on_all_hosts && steady_clock::now() < end);
  report.json["in_force"] = {{"hosts", reach.applied_hosts},
                             {"of", reach.total_hosts}};
  const std::string counts = std::to_string(reach.applied_hosts) + " of " +
                             std::to_string(reach.total_hosts);
  report.text += "in force on " + counts + " hosts\n";
  if (!is_on_all_hosts) SetError(report, Errc::kPeerUnreachable, counts);
}

}  // namespace

Report Check(Args args, std::ostream&) {
  CommandLine command("Checks a configuration document");
  TCLAP::UnlabeledValueArg<std::string> file("file", "Document", true, "",
                                             "FILE", command.line());
  command.Parse(args);
  Report report = command.NewReport();
  std::string text;
  Config config;
  if (!LoadDocument(file.getValue(), report, text, config)) return report;
  report.json["hash"] = Sha256(text).value;
  report.text = file.getValue() + ": " + config.environment + ", " +
                std::to_string(config.accounts.size()) + " accounts, " +
                std::to_string(config.services.size()) + " services, " +
                std::to_string(config.targets.size()) + " targets\n";
  return report;
}

Report Diff(Args args, std::ostream&) {
  CommandLine command("Compares a document with the configuration in force");
  const HostArguments admin(command, "admin", kAdminDescription);
  TCLAP::UnlabeledValueArg<std::string> file("file", "Document", true, "",
                                             "FILE", command.line());
  command.Parse(args);
  Report report = command.NewReport();
  std::string text;
  Config config;
  if (!LoadDocument(file.getValue(), report, text, config)) return report;
  const ConfigInForce current =
      ReadConfig(HostCaller(admin.addresses(), admin.key()));
  if (current.code != Errc::kOk) {
    SetError(report, current.code);
    return report;
  }
  const std::uint64_t generation = current.stored.generation;
  report.text = "in force: generation " + std::to_string(generation) + '\n';
  report.json["generation"] = generation;
  AddDifferences(report, "differences", current.config.value_or(Config()),
                 config);
  return report;
}

Report Apply(Args args, std::ostream&) {
  CommandLine command(
      "Puts a document in force if a known generation is still in force");
  const HostArguments admin(command, "admin", kAdminDescription);
  TCLAP::ValueArg<std::uint64_t> against(
      "", "against",
      "Generation the document was made from (default: the one in force now)",
      false, 0, "N", command.line());
  TCLAP::ValueArg<std::uint32_t> wait(
      "", "wait", "Seconds to wait until it is in force on all hosts", false, 0,
      "SECONDS", command.line());
  TCLAP::UnlabeledValueArg<std::string> file("file", "Document", true, "",
                                             "FILE", command.line());
  command.Parse(args);
  Report report = command.NewReport();
  const HostCaller caller(admin.addresses(), admin.key());
  Update update;
  if (!LoadDocument(file.getValue(), report, update.text, update.config)) {
    return report;
  }
  const ConfigInForce base = ReadConfig(caller);
  if (base.code != Errc::kOk) {
    SetError(report, base.code);
    return report;
  }
  update.against =
      against.isSet() ? against.getValue() : base.stored.generation;
  RunUpdate(report, caller, update, base);
  if (report.code == Errc::kOk && wait.isSet()) {
    WaitUntilInForce(report, caller, report.json["generation"],
                     std::chrono::seconds(wait.getValue()));
  }
  return report;
}

Report Promote(Args args, std::ostream&) {
  CommandLine command(
      "Copies the accounts and services that are in force on all hosts of one "
      "environment to another, which keeps its name and targets");
  const HostArguments from(
      command, "from", "Address of a host of the environment to promote from");
  const HostArguments admin(command, "admin", kAdminDescription);
  TCLAP::ValueArg<std::string> targets(
      "", "targets",
      "Document with the name and targets, if none is in force yet", false, "",
      "FILE", command.line());
  command.Parse(args);
  Report report = command.NewReport();
  const HostCaller source(from.addresses(), from.key());
  const HostCaller caller(admin.addresses(), admin.key());
  const ConfigRolloutStatus before = ReadReach(source);
  const ConfigInForce proven = ReadConfig(source);
  const Errc decision = CheckProven(before, ReadReach(source));
  if (decision != Errc::kOk || !proven.config ||
      Sha256(proven.stored.text).value != before.hash) {
    SetError(report, Errc::kPromoteUnproven,
             "in force on " + std::to_string(before.applied_hosts) + " of " +
                 std::to_string(before.total_hosts));
    return report;
  }
  const ConfigInForce base = ReadConfig(caller);
  if (base.code != Errc::kOk) {
    SetError(report, base.code);
    return report;
  }
  Config destination = base.config.value_or(Config());
  std::string text;
  if (targets.isSet() &&
      !LoadDocument(targets.getValue(), report, text, destination)) {
    return report;
  }
  Update update;
  update.config = Promoted(*proven.config, destination);
  update.text = ToText(update.config);
  update.against = base.stored.generation;
  update.proven_hash = PolicyHashOf(*proven.config).value;
  RunUpdate(report, caller, update, base);
  return report;
}

}  // namespace comfreyflow::ctl
