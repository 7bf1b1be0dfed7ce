// Parses a configuration document from INI text and reports all of its
// problems.
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
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

/// A name used in one section that refers to another one. References are
/// checked after all sections have been read.
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
    section_title_ =
        section.name.empty() ? section.kind : section.kind + " " + section.name;
    if (section.kind != "environment" && section.kind != "account" &&
        section.kind != "service" && section.kind != "target") {
      reader.Report(
          "", ProblemKind::kUnknownSection,
          "expected a section of kind environment, account, service or target");
      return;
    }
    if (!IsName(section.name)) {
      reader.Report(
          "", ProblemKind::kBadValue,
          "expected a name of 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if (section.kind == "environment") ReadEnvironment(section, reader);
    if (section.kind == "account") ReadAccount(section, reader);
    if (section.kind == "service") ReadService(section, reader);
    if (section.kind == "target") ReadTarget(section, reader);
    reader.Finish();
  }

  /// Checks the rules that involve more than one section.
  void CheckReferences() {
    if (result_.config.environment.empty()) {
      AddProblem({0, ProblemKind::kMissingSection, "environment", "",
                  "the document has no environment section"});
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
                    "the document already describes the environment " +
                        config.environment);
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
      service_references_.push_back(
          {reader.line("services"), section_title_, "services", name});
    }
    for (const std::string& name : reader.List("models")) {
      account.models.push_back({name});
      model_references_.push_back(
          {reader.line("models"), section_title_, "models", name});
    }
    std::sort(account.services.begin(), account.services.end());
    std::sort(account.models.begin(), account.models.end());
    result_.config.accounts[account.name] = std::move(account);
  }

  void AddKey(const std::string& key, SectionReader& reader) {
    if (!IsDigest(key)) {
      reader.Report(
          "keys", ProblemKind::kBadValue,
          "expected keys as SHA-256 digests of 64 lower-case hexadecimal "
          "digits");
    } else if (!account_keys_.insert(key).second) {
      reader.Report("keys", ProblemKind::kConflictingValue,
                    "the key is already assigned to an account");
    }
  }

  std::vector<ModelVersion> ReadModelVersions(std::string_view key,
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
                      item + " is not of the form model@version");
        continue;
      }
      if (!seen.insert(model).second) {
        reader.Report(key, ProblemKind::kConflictingValue,
                      model + " is listed more than once");
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
    class_references_.push_back({reader.line("target_class"), section_title_,
                                 "target_class", service.target_class.value});
    service.models = ReadModelVersions("models", reader);
    service.adapters = ReadModelVersions("adapters", reader);
    const bool engine = service.kind == TargetKind::kEngine;
    if (engine && !reader.Has("models")) reader.Required("models");
    if (!engine && !(service.models.empty() && service.adapters.empty())) {
      reader.Report("models", ProblemKind::kConflictingValue,
                    "a plain service must not list models or adapters");
    }
    service.deadline = reader.DurationValue("deadline", kDefaultDeadline,
                                            seconds(1), hours(24));
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
    if (!target.address.empty() &&
        !target_addresses_.insert(target.address).second) {
      reader.Report("address", ProblemKind::kConflictingValue,
                    "another target has this address");
    }
    result_.config.targets[target.name] = std::move(target);
  }

  void CheckServices() {
    for (const Reference& reference : service_references_) {
      if (result_.config.services.contains({reference.name})) continue;
      AddProblem({reference.line, ProblemKind::kUnknownReference,
                  reference.section, reference.key,
                  "there is no service " + reference.name});
    }
  }

  void CheckModels() {
    std::set<std::string> known;
    for (const auto& [name, service] : result_.config.services) {
      for (const ModelVersion& model : service.models) {
        known.insert(model.model.value);
      }
    }
    for (const Reference& reference : model_references_) {
      if (known.contains(reference.name)) continue;
      AddProblem({reference.line, ProblemKind::kUnknownReference,
                  reference.section, reference.key,
                  "no service lists the model " + reference.name});
    }
  }

  /// A target class belongs to one service only, because the memory and the
  /// model load order of a target cannot follow the requirements of two
  /// services.
  void CheckClasses() {
    std::map<std::string, std::string> owners;
    for (const Reference& reference : class_references_) {
      const auto [owner, first] =
          owners.emplace(reference.name, reference.section);
      if (first) continue;
      AddProblem(
          {reference.line, ProblemKind::kConflictingValue, reference.section,
           reference.key,
           "the target class is already used by [" + owner->second + "]"});
    }
  }

  void AddProblem(comfreyflow::Problem problem) {
    result_.problems.push_back(std::move(problem));
  }

  ConfigResult& result_;
  std::string section_title_;  // Title of the section being read.
  std::vector<Reference> service_references_;
  std::vector<Reference> model_references_;
  std::vector<Reference> class_references_;
  std::set<std::string> account_keys_;
  std::set<std::string> target_addresses_;
};

}  // namespace

ConfigResult ParseConfig(std::string_view text) {
  ConfigResult result;
  if (text.size() > kMaxConfigBytes) {
    result.problems.push_back({0, ProblemKind::kTooLarge, "", "",
                               "the document is longer than " +
                                   std::to_string(kMaxConfigBytes) + " bytes"});
    return result;
  }
  IniDocument document = ParseIni(text);
  result.problems = std::move(document.problems);
  Reader reader(result);
  for (const IniSection& section : document.sections) reader.Read(section);
  reader.CheckReferences();
  std::stable_sort(
      result.problems.begin(), result.problems.end(),
      [](const Problem& a, const Problem& b) { return a.line < b.line; });
  return result;
}

}  // namespace comfreyflow
