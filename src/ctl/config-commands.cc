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

constexpr const char* kAdminWhat = "A host's address for operators";
constexpr std::chrono::milliseconds kLookPeriod(100);
/// A document that the store has accepted is on each host by then.
constexpr std::chrono::seconds kLookTime(3);

/// A document in force, as one host has it.
struct InForce {
  Errc code = Errc::kOk;
  StoredConfig stored;
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
  out.stored.generation = reply.body.value("generation", std::uint64_t{0});
  out.stored.text = reply.body.value("document", "");
  ConfigResult parsed = ParseConfig(out.stored.text);
  if (!parsed.ok()) out.code = Errc::kConfigInvalid;
  out.config = std::move(parsed.config);
  return out;
}

ConfigRolloutStatus ReadReach(const HostCaller& caller) {
  const HostReply reply = caller.Get("/admin/status");
  ConfigRolloutStatus out;
  if (reply.code != Errc::kOk) return out;
  const Json config = reply.body.value("config", Json::object());
  const Json reach = reply.body.value("in_force", Json::object());
  out.generation = config.value("generation", std::uint64_t{0});
  out.hash = config.value("hash", "");
  out.applied_hosts = reach.value("hosts", 0U);
  out.total_hosts = reach.value("of", 0U);
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
  report.json["problems"] = http::ProblemsJson(result.problems);
  SetError(report, Errc::kConfigInvalid, path);
  return false;
}

/// Looks until a later generation than `base` shows or time is over.
InForce LookBehind(const HostCaller& caller, std::uint64_t base) {
  const auto end = steady_clock::now() + kLookTime;
  InForce now = ReadConfig(caller);
  while ((now.code != Errc::kOk || now.stored.generation <= base) &&
         steady_clock::now() < end) {
    std::this_thread::sleep_for(kLookPeriod);
    now = ReadConfig(caller);
  }
  return now;
}

/// Shows what either side changed since the document that both started from.
void ReportConflict(Report& report, const Update& update, const InForce& base,
                    const UpdateEnded& end) {
  const ConfigResult theirs = ParseConfig(end.current.text);
  const bool base_known = base.stored.generation == update.against;
  if (base_known) {
    const Config before = base.config.value_or(Config());
    AddDifferences(report, "yours", before, update.config);
    AddDifferences(report, "theirs", before, theirs.config);
  } else {
    AddDifferences(report, "theirs to yours", theirs.config, update.config);
  }
  report.json["generation"] = end.current.generation;
  report.json["replaced"] = end.replaced;
  SetError(report, end.code,
           "made against generation " + std::to_string(update.against) +
               ", in force is " + std::to_string(end.current.generation) +
               (end.replaced ? "; yours may have been between" : ""));
}

/// Asks a host to make the update; keeps its error body in the report.
UpdateStep Put(Report& report, const HostCaller& caller, const Update& update,
               ConfigUpdate& course) {
  http::Fields fields = {{"if-match", std::to_string(update.against)},
                         {"content-type", "text/plain"}};
  if (!update.proven_hash.empty()) {
    fields.push_back({"x-proven-hash", update.proven_hash});
  }
  const HostReply reply =
      caller.Call("PUT", "/admin/config", update.text, fields);
  if (reply.code == Errc::kOk) {
    return course.OnPut(PutReply::kDone,
                        reply.body.value("generation", std::uint64_t{0}));
  }
  if (reply.code == Errc::kConfigConflict) {
    return course.OnPut(PutReply::kConflict, 0);
  }
  if (reply.lost || reply.code == Errc::kPlatformUnavailable) {
    return course.OnPut(PutReply::kNoAnswer, 0);
  }
  report.json["host_error"] =
      reply.body.is_object() ? reply.body.value("error", Json()) : Json();
  return UpdateEnded{reply.code, {}, false};
}

void Send(Report& report, const HostCaller& caller, const Update& update,
          const InForce& base) {
  ConfigUpdate course(update.against, update.text);
  UpdateStep step = course.Start();
  bool read_back = false;
  while (!std::holds_alternative<UpdateEnded>(step)) {
    if (std::holds_alternative<PutConfig>(step)) {
      step = Put(report, caller, update, course);
      continue;
    }
    read_back = true;
    const InForce now = LookBehind(caller, update.against);
    step = now.code == Errc::kOk ? course.OnRead(now.stored)
                                 : course.OnReadFailed();
  }
  const auto& end = std::get<UpdateEnded>(step);
  if (end.code == Errc::kConfigConflict) {
    return ReportConflict(report, update, base, end);
  }
  if (end.code != Errc::kOk) return SetError(report, end.code);
  report.json["generation"] = end.current.generation;
  report.json["hash"] = Sha256(update.text).value;
  report.json["settled_by_reading_back"] = read_back;
  report.text += "accepted as generation " +
                 std::to_string(end.current.generation) +
                 (read_back ? ", as reading back shows\n" : "\n");
}

/// Waits until all hosts that one of them knows have the generation.
void WaitEverywhere(Report& report, const HostCaller& caller,
                    std::uint64_t generation, std::chrono::seconds time) {
  const auto end = steady_clock::now() + time;
  ConfigRolloutStatus reach;
  bool everywhere = false;
  do {
    reach = ReadReach(caller);
    everywhere = reach.generation >= generation && reach.total_hosts > 0 &&
                 reach.applied_hosts == reach.total_hosts;
    if (!everywhere) std::this_thread::sleep_for(kLookPeriod);
  } while (!everywhere && steady_clock::now() < end);
  report.json["in_force"] = {{"hosts", reach.applied_hosts},
                             {"of", reach.total_hosts}};
  const std::string counts = std::to_string(reach.applied_hosts) + " of " +
                             std::to_string(reach.total_hosts);
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
  const std::uint64_t generation = now.stored.generation;
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
  update.against =
      against.isSet() ? against.getValue() : base.stored.generation;
  Send(report, caller, update, base);
  if (report.code == Errc::kOk && wait.isSet()) {
    WaitEverywhere(report, caller, report.json["generation"],
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
  const ConfigRolloutStatus before = ReadReach(trial);
  const InForce proven = ReadConfig(trial);
  const Errc verdict = CheckProven(before, ReadReach(trial));
  if (verdict != Errc::kOk || !proven.config ||
      Sha256(proven.stored.text).value != before.hash) {
    SetError(report, Errc::kPromoteUnproven,
             "in force on " + std::to_string(before.applied_hosts) + " of " +
                 std::to_string(before.total_hosts));
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
  update.against = base.stored.generation;
  update.proven_hash = PolicyHashOf(*proven.config).value;
  Send(report, caller, update, base);
  return report;
}

}  // namespace comfreyflow::ctl
