// A configuration document from its INI text, with every fault found.
#include <algorithm>
#include <set>

#include "comfreyflow/config.h"

namespace comfreyflow {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kMaxTokensPerSecond = 1'000'000'000;
constexpr std::uint64_t kMaxConcurrentTokens = 100'000'000'000;
constexpr std::uint64_t kMaxWeight = 10'000;
constexpr std::uint64_t kMaxWeightLoads = 1'000;
constexpr Duration kDefaultDeadline = minutes(2);
constexpr std::size_t kMaxNameLength = 64;

bool IsName(std::string_view text) {
  const auto good = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), good);
}

/// A reference to be checked when the whole document is known.
struct Reference {
  int line = 0;
  std::string section;
  std::string key;
  std::string name;
};

class Reader {
 public:
  explicit Reader(ConfigResult& result) : result_(result) {}

  void Read(const IniSection& section) {
    SectionReader reader(section, result_.problems);
    title_ =
        section.name.empty() ? section.kind : section.kind + " " + section.name;
    if (section.kind != "environment" && section.kind != "account" &&
        section.kind != "service" && section.kind != "target") {
      reader.Report("", ProblemKind::kUnknownSection,
                    "not environment, account, service or target");
      return;
    }
    if (!IsName(section.name)) {
      reader.Report("", ProblemKind::kBadValue,
                    "a name has 1 to 64 of letters, digits, '-', '_', '.'");
    }
    if (section.kind == "environment") ReadEnvironment(section, reader);
    if (section.kind == "account") ReadAccount(section, reader);
    if (section.kind == "service") ReadService(section, reader);
    if (section.kind == "target") ReadTarget(section, reader);
    reader.Finish();
  }

  /// Checks what spans sections.
  void Check() {
    if (result_.config.environment.empty()) {
      Problem({0, ProblemKind::kMissingSection, "environment", "",
               "the document names no environment"});
    }
    CheckServices();
    CheckModels();
    CheckClasses();
  }

 private:
  void ReadEnvironment(const IniSection& section, SectionReader& reader) {
    Config& config = result_.config;
    if (!config.environment.empty()) {
      reader.Report("", ProblemKind::kConflictingValue,
                    "the document is already of " + config.environment);
      return;
    }
    config.environment = section.name;
    config.weight_loads = static_cast<std::uint32_t>(
        reader.Number("weight_loads", config.weight_loads, 1, kMaxWeightLoads));
  }

  void ReadAccount(const IniSection& section, SectionReader& reader) {
    Account account;
    account.name = {section.name};
    if (!reader.Has("keys")) reader.Required("keys");
    for (const std::string& key : reader.List("keys")) {
      AddKey(key, reader);
      account.keys.push_back({key});
    }
    std::sort(account.keys.begin(), account.keys.end());
    if (!reader.Has("tokens_per_second")) reader.Required("tokens_per_second");
    account.tokens_per_second =
        reader.Number("tokens_per_second", 0, 1, kMaxTokensPerSecond);
    if (!reader.Has("concurrent_tokens")) reader.Required("concurrent_tokens");
    account.concurrent_tokens =
        reader.Number("concurrent_tokens", 0, 1, kMaxConcurrentTokens);
    account.weight =
        static_cast<std::uint32_t>(reader.Number("weight", 1, 1, kMaxWeight));
    if (!reader.Has("services")) reader.Required("services");
    for (const std::string& name : reader.List("services")) {
      account.services.push_back({name});
      services_.push_back({reader.line("services"), title_, "services", name});
    }
    for (const std::string& name : reader.List("models")) {
      account.models.push_back({name});
      models_.push_back({reader.line("models"), title_, "models", name});
    }
    std::sort(account.services.begin(), account.services.end());
    std::sort(account.models.begin(), account.models.end());
    result_.config.accounts[account.name] = std::move(account);
  }

  void AddKey(const std::string& key, SectionReader& reader) {
    if (!IsDigest(key)) {
      reader.Report("keys", ProblemKind::kBadValue,
                    "a key is given as 64 lower-case hexadecimal digits");
    } else if (!keys_.insert(key).second) {
      reader.Report("keys", ProblemKind::kConflictingValue,
                    "the key belongs to another account");
    }
  }

  std::vector<ModelVersion> ReadModels(std::string_view key,
                                       SectionReader& reader) {
    std::vector<ModelVersion> models;
    std::set<std::string> seen;
    for (const std::string& item : reader.List(key)) {
      const auto at = item.rfind('@');
      const std::string model = item.substr(0, at);
      const std::string version =
          at == std::string::npos ? "" : item.substr(at + 1);
      if (!IsName(model) || !IsName(version)) {
        reader.Report(key, ProblemKind::kBadValue,
                      item + " is not model@version");
        continue;
      }
      if (!seen.insert(model).second) {
        reader.Report(key, ProblemKind::kConflictingValue,
                      model + " in two versions");
        continue;
      }
      models.push_back({{model}, version});
    }
    std::sort(models.begin(), models.end());
    return models;
  }

  void ReadService(const IniSection& section, SectionReader& reader) {
    Service service;
    service.name = {section.name};
    service.kind = reader.Choice<TargetKind>(
        "kind", TargetKind::kEngine,
        {{"engine", TargetKind::kEngine}, {"plain", TargetKind::kPlain}});
    service.urgency = reader.Choice<Urgency>("urgency", Urgency::kNormal,
                                             {{"low", Urgency::kLow},
                                              {"normal", Urgency::kNormal},
                                              {"high", Urgency::kHigh}});
    service.target_class = {reader.Required("target_class")};
    classes_.push_back({reader.line("target_class"), title_, "target_class",
                        service.target_class.value});
    service.models = ReadModels("models", reader);
    service.adapters = ReadModels("adapters", reader);
    const bool engine = service.kind == TargetKind::kEngine;
    if (engine && !reader.Has("models")) reader.Required("models");
    if (!engine && !(service.models.empty() && service.adapters.empty())) {
      reader.Report("models", ProblemKind::kConflictingValue,
                    "a plain service has no models");
    }
    service.deadline =
        reader.Span("deadline", kDefaultDeadline, seconds(1), hours(24));
    service.repeatable = reader.Flag("repeatable", engine);
    result_.config.services[service.name] = std::move(service);
  }

  void ReadTarget(const IniSection& section, SectionReader& reader) {
    TargetConfig target;
    target.name = {section.name};
    target.address = reader.Address("address", false);
    target.target_class = {reader.Required("class")};
    target.failure_domain = {reader.Required("failure_domain")};
    target.checks_fence = reader.Flag("checks_fence", false);
    if (!target.address.empty() && !addresses_.insert(target.address).second) {
      reader.Report("address", ProblemKind::kConflictingValue,
                    "another target has this address");
    }
    result_.config.targets[target.name] = std::move(target);
  }

  void CheckServices() {
    for (const Reference& at : services_) {
      if (result_.config.services.contains({at.name})) continue;
      Problem({at.line, ProblemKind::kUnknownReference, at.section, at.key,
               "no service " + at.name});
    }
  }

  void CheckModels() {
    std::set<std::string> known;
    for (const auto& [name, service] : result_.config.services) {
      for (const ModelVersion& model : service.models) {
        known.insert(model.model.value);
      }
    }
    for (const Reference& at : models_) {
      if (known.contains(at.name)) continue;
      Problem({at.line, ProblemKind::kUnknownReference, at.section, at.key,
               "no service has the model " + at.name});
    }
  }

  /// A class serves one service: a target's memory and order of models cannot
  /// follow two documents of wishes.
  void CheckClasses() {
    std::map<std::string, std::string> owners;
    for (const Reference& at : classes_) {
      const auto [owner, first] = owners.emplace(at.name, at.section);
      if (first) continue;
      Problem({at.line, ProblemKind::kConflictingValue, at.section, at.key,
               "the class belongs to [" + owner->second + "]"});
    }
  }

  void Problem(comfreyflow::Problem problem) {
    result_.problems.push_back(std::move(problem));
  }

  ConfigResult& result_;
  std::string title_;  // Of the section that is read.
  std::vector<Reference> services_;
  std::vector<Reference> models_;
  std::vector<Reference> classes_;
  std::set<std::string> keys_;
  std::set<std::string> addresses_;
};

}  // namespace

ConfigResult ParseConfig(std::string_view text) {
  ConfigResult result;
  if (text.size() > kMaxConfigBytes) {
    result.problems.push_back(
        {0, ProblemKind::kTooLarge, "", "",
         "over " + std::to_string(kMaxConfigBytes) + " bytes"});
    return result;
  }
  IniDocument document = ParseIni(text);
  result.problems = std::move(document.problems);
  Reader reader(result);
  for (const IniSection& section : document.sections) reader.Read(section);
  reader.Check();
  std::stable_sort(
      result.problems.begin(), result.problems.end(),
      [](const Problem& a, const Problem& b) { return a.line < b.line; });
  return result;
}

}  // namespace comfreyflow
