// Commands that check, compare and change configurations.
#include <chrono>
#include <optional>
#include <ostream>
#include <thread>

#include "comfreyflow/config-change.h"
#include "ctl/arguments.h"
#include "ctl/commands.h"
#include "ctl/host-call.h"

namespace comfreyflow::ctl {
namespace {

using std::chrono::steady_clock;

constexpr const char* kAdminWhat = "A host's address for operators";
constexpr std::chrono::milliseconds kLookPeriod(100);
constexpr std::chrono::seconds kSettleTime(8);

/// A document in force, as one host has it.
struct InForce {
  Errc code = Errc::kOk;
  ConfigSeen seen;
  std::string environment;
  std::optional<Config> config;  ///< Empty before the first.
};

/// What an update is made of.
struct Update {
  std::string text;
  Config config;
  std::uint64_t against = 0;
  std::string proven_hash;  ///< Empty for none.
};

InForce ReadConfig(const HostCaller& caller) {
  const HostReply reply = caller.Get("/admin/config");
  InForce out;
  out.code = reply.code;
  if (reply.code == Errc::kObjectNotFound) out.code = Errc::kOk;
  if (reply.code != Errc::kOk) return out;
  out.seen.generation = reply.body.value("generation", std::uint64_t{0});
  out.seen.hash = reply.body.value("hash", "");
  out.environment = reply.body.value("environment", "");
  ConfigResult parsed = ParseConfig(reply.body.value("document", ""));
  if (!parsed.ok()) out.code = Errc::kConfigInvalid;
  out.config = std::move(parsed.config);
  return out;
}

ConfigReach ReadReach(const HostCaller& caller) {
  const HostReply reply = caller.Get("/admin/status");
  ConfigReach out;
  if (reply.code != Errc::kOk) return out;
  const Json config = reply.body.value("config", Json::object());
  const Json reach = reply.body.value("in_force", Json::object());
  out.seen.generation = config.value("generation", std::uint64_t{0});
  out.seen.hash = config.value("hash", "");
  out.hosts = reach.value("hosts", 0U);
  out.of = reach.value("of", 0U);
  return out;
}

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

/// Reads and checks a document; false when the report already tells why not.
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
  report.json["problems"] = ProblemsJson(result.problems);
  SetError(report, Errc::kConfigInvalid, path);
  return false;
}

/// Looks until the update shows or time is over.
ApplyEnd Settle(const HostCaller& caller, const Update& update) {
  const std::string hash = Sha256(update.text).value;
  const auto end = steady_clock::now() + kSettleTime;
  ApplyEnd found = ApplyEnd::kNotSeen;
  while (found == ApplyEnd::kNotSeen && steady_clock::now() < end) {
    const InForce now = ReadConfig(caller);
    if (now.code == Errc::kOk) {
      found = SettleApply(update.against, hash, now.seen);
    }
    if (found == ApplyEnd::kNotSeen) std::this_thread::sleep_for(kLookPeriod);
  }
  return found;
}

/// Shows what either side changed; the other's document may take a moment to
/// reach the host that is asked.
void ReportConflict(Report& report, const HostCaller& caller,
                    const Update& update, const InForce& base) {
  Settle(caller, update);
  const InForce theirs = ReadConfig(caller);
  const bool base_known = base.seen.generation == update.against;
  const Config before = base.config && base_known ? *base.config : Config();
  if (base_known) AddDifferences(report, "yours", before, update.config);
  if (theirs.config && base_known) {
    AddDifferences(report, "theirs", before, *theirs.config);
  } else if (theirs.config) {
    AddDifferences(report, "theirs to yours", *theirs.config, update.config);
  }
  report.json["generation"] = theirs.seen.generation;
  SetError(report, Errc::kConfigConflict,
           "made against generation " + std::to_string(update.against) +
               ", in force is " + std::to_string(theirs.seen.generation));
}

void ReportApplied(Report& report, const Update& update, bool settled) {
  const std::uint64_t generation = update.against + 1;
  report.json["generation"] = generation;
  report.json["hash"] = Sha256(update.text).value;
  report.json["settled_by_reading_back"] = settled;
  report.text += "accepted as generation " + std::to_string(generation) +
                 (settled ? ", as reading back shows\n" : "\n");
}

void Send(Report& report, const HostCaller& caller, const Update& update,
          const InForce& base) {
  http::Fields fields = {{"if-match", std::to_string(update.against)},
                         {"content-type", "text/plain"}};
  if (!update.proven_hash.empty()) {
    fields.push_back({"x-proven-hash", update.proven_hash});
  }
  const HostReply reply =
      caller.Call("PUT", "/admin/config", update.text, fields);
  if (reply.code == Errc::kOk) return ReportApplied(report, update, false);
  if (reply.code == Errc::kConfigConflict) {
    return ReportConflict(report, caller, update, base);
  }
  const bool unclear = reply.lost || reply.code == Errc::kPlatformUnavailable;
  const ApplyEnd end = unclear ? Settle(caller, update) : ApplyEnd::kNotSeen;
  switch (end) {
    case ApplyEnd::kApplied:
      return ReportApplied(report, update, true);
    case ApplyEnd::kConflict:
      return ReportConflict(report, caller, update, base);
    case ApplyEnd::kOvertaken:
      return SetError(report, Errc::kOutcomeUnknown, "a later one is in force");
    case ApplyEnd::kNotSeen:
      break;
  }
  if (reply.body.is_object() && reply.body.contains("error")) {
    report.json["host_error"] = reply.body["error"];
  }
  SetError(report, reply.lost ? Errc::kOutcomeUnknown : reply.code,
           reply.address);
}

/// Waits until all hosts that one of them knows have the generation.
void WaitEverywhere(Report& report, const HostCaller& caller,
                    std::uint64_t generation, std::chrono::seconds time) {
  const auto end = steady_clock::now() + time;
  ConfigReach reach;
  bool everywhere = false;
  do {
    reach = ReadReach(caller);
    everywhere = reach.seen.generation >= generation && reach.of > 0 &&
                 reach.hosts == reach.of;
    if (!everywhere) std::this_thread::sleep_for(kLookPeriod);
  } while (!everywhere && steady_clock::now() < end);
  report.json["in_force"] = {{"hosts", reach.hosts}, {"of", reach.of}};
  const std::string counts =
      std::to_string(reach.hosts) + " of " + std::to_string(reach.of);
  report.text += "in force on " + counts + " hosts\n";
  if (!everywhere) SetError(report, Errc::kPeerUnreachable, counts);
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
  CommandLine command("Compares a document with the one in force");
  const HostArguments admin(command, "admin", kAdminWhat);
  TCLAP::UnlabeledValueArg<std::string> file("file", "Document", true, "",
                                             "FILE", command.line());
  command.Parse(args);
  Report report = command.NewReport();
  std::string text;
  Config config;
  if (!LoadDocument(file.getValue(), report, text, config)) return report;
  const InForce now = ReadConfig(HostCaller(admin.addresses(), admin.key()));
  if (now.code != Errc::kOk) {
    SetError(report, now.code);
    return report;
  }
  const std::uint64_t generation = now.seen.generation;
  report.text = "in force: generation " + std::to_string(generation) + '\n';
  report.json["generation"] = generation;
  AddDifferences(report, "differences", now.config.value_or(Config()), config);
  return report;
}

Report Apply(Args args, std::ostream&) {
  CommandLine command("Puts a document in force, against a known generation");
  const HostArguments admin(command, "admin", kAdminWhat);
  TCLAP::ValueArg<std::uint64_t> against(
      "", "against",
      "Generation the document was made from (default: the one in force now)",
      false, 0, "N", command.line());
  TCLAP::ValueArg<std::uint32_t> wait(
      "", "wait", "Seconds to wait until it is in force everywhere", false, 0,
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
  const InForce base = ReadConfig(caller);
  if (base.code != Errc::kOk) {
    SetError(report, base.code);
    return report;
  }
  update.against = against.isSet() ? against.getValue() : base.seen.generation;
  Send(report, caller, update, base);
  if (report.code == Errc::kOk && wait.isSet()) {
    WaitEverywhere(report, caller, update.against + 1,
                   std::chrono::seconds(wait.getValue()));
  }
  return report;
}

Report Promote(Args args, std::ostream&) {
  CommandLine command(
      "Carries accounts and services that are in force everywhere in one "
      "environment to another, which keeps its name and targets");
  const HostArguments from(command, "from", "A host of the trial environment");
  const HostArguments admin(command, "admin", kAdminWhat);
  TCLAP::ValueArg<std::string> targets(
      "", "targets", "Document with name and targets, if none is in force yet",
      false, "", "FILE", command.line());
  command.Parse(args);
  Report report = command.NewReport();
  const HostCaller trial(from.addresses(), from.key());
  const HostCaller caller(admin.addresses(), admin.key());
  const ConfigReach before = ReadReach(trial);
  const InForce proven = ReadConfig(trial);
  const Errc verdict = CheckProven(before, ReadReach(trial));
  if (verdict != Errc::kOk || !proven.config ||
      proven.seen.hash != before.seen.hash) {
    SetError(report, Errc::kPromoteUnproven,
             "in force on " + std::to_string(before.hosts) + " of " +
                 std::to_string(before.of));
    return report;
  }
  const InForce base = ReadConfig(caller);
  if (base.code != Errc::kOk) {
    SetError(report, base.code);
    return report;
  }
  Config production = base.config.value_or(Config());
  std::string text;
  if (targets.isSet() &&
      !LoadDocument(targets.getValue(), report, text, production)) {
    return report;
  }
  Update update;
  update.config = Promoted(*proven.config, production);
  update.text = ToText(update.config);
  update.against = base.seen.generation;
  update.proven_hash = PolicyHashOf(*proven.config).value;
  Send(report, caller, update, base);
  return report;
}

}  // namespace comfreyflow::ctl
