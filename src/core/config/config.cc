// Serializes, hashes and queries configuration documents.
#include "comfreyflow/config.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace comfreyflow {
namespace {

constexpr std::size_t kDigestDigits = 64;

std::string Milliseconds(Duration span) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return std::to_string(duration_cast<milliseconds>(span).count()) + "ms";
}

template <class Items, class Text>
std::string Join(const Items& items, Text text) {
  std::string out;
  for (const auto& item : items) {
    if (!out.empty()) out += ", ";
    out += text(item);
  }
  return out;
}

constexpr auto kValueText = [](const auto& name) { return name.value; };
constexpr auto kModelText = [](const ModelVersion& m) { return ToString(m); };

void AppendEntry(std::string& out, const char* key, const std::string& value) {
  out += key;
  out += " = " + value + "\n";
}

void AppendAccount(std::string& out, const Account& account) {
  out += "\n[account " + account.name.value + "]\n";
  AppendEntry(out, "keys", Join(account.keys, kValueText));
  AppendEntry(out, "tokens_per_second",
              std::to_string(account.tokens_per_second));
  AppendEntry(out, "concurrent_tokens",
              std::to_string(account.concurrent_tokens));
  AppendEntry(out, "weight", std::to_string(account.weight));
  AppendEntry(out, "services", Join(account.services, kValueText));
  if (!account.models.empty())
    AppendEntry(out, "models", Join(account.models, kValueText));
}

void AppendService(std::string& out, const Service& service) {
  const bool engine = service.kind == TargetKind::kEngine;
  out += "\n[service " + service.name.value + "]\n";
  AppendEntry(out, "kind", engine ? "engine" : "plain");
  AppendEntry(out, "urgency", ToString(service.urgency));
  AppendEntry(out, "target_class", service.target_class.value);
  if (engine) AppendEntry(out, "models", Join(service.models, kModelText));
  if (!service.adapters.empty()) {
    AppendEntry(out, "adapters", Join(service.adapters, kModelText));
  }
  AppendEntry(out, "deadline", Milliseconds(service.deadline));
  AppendEntry(out, "repeatable", service.repeatable ? "yes" : "no");
}

void AppendTarget(std::string& out, const TargetConfig& target) {
  out += "\n[target " + target.name.value + "]\n";
  if (!target.address.empty()) AppendEntry(out, "address", target.address);
  AppendEntry(out, "class", target.target_class.value);
  AppendEntry(out, "failure_domain", target.failure_domain.value);
  AppendEntry(out, "checks_fence", target.checks_fence ? "yes" : "no");
}

std::string PolicyText(const Config& config) {
  std::string out;
  for (const auto& [name, account] : config.accounts)
    AppendAccount(out, account);
  for (const auto& [name, service] : config.services)
    AppendService(out, service);
  return out;
}

}  // namespace

std::string ToString(const ModelVersion& model) {
  return model.model.value + "@" + model.version;
}

std::string ToText(const Config& config) {
  std::string out = "[environment " + config.environment + "]\n";
  AppendEntry(out, "weight_loads", std::to_string(config.weight_loads));
  out += PolicyText(config);
  for (const auto& [name, target] : config.targets) AppendTarget(out, target);
  return out;
}

Digest HashOf(const Config& config) { return Sha256(ToText(config)); }

Digest PolicyHashOf(const Config& config) { return Sha256(PolicyText(config)); }

Config Promoted(const Config& trial, const Config& production) {
  Config config = production;
  config.accounts = trial.accounts;
  config.services = trial.services;
  return config;
}

Digest Sha256(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < length; ++i) {
    text += kDigits[digest[i] >> 4];
    text += kDigits[digest[i] & 15];
  }
  return {text};
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

const Account* FindAccount(const Config& config, std::string_view bearer_key) {
  const Digest digest = Sha256(bearer_key);
  for (const auto& [name, account] : config.accounts) {
    if (std::binary_search(account.keys.begin(), account.keys.end(), digest)) {
      return &account;
    }
  }
  return nullptr;
}

bool MayUse(const Account& account, const ServiceName& service,
            const ModelName& model) {
  const auto& services = account.services;
  if (!std::binary_search(services.begin(), services.end(), service)) {
    return false;
  }
  if (model.value.empty() || account.models.empty()) return true;
  return std::binary_search(account.models.begin(), account.models.end(),
                            model);
}

std::vector<TargetInfo> TargetsOf(const Config& config,
                                  const ServiceName& service) {
  std::vector<TargetInfo> targets;
  const auto found = config.services.find(service);
  if (found == config.services.end()) return targets;
  for (const auto& [name, target] : config.targets) {
    if (target.target_class != found->second.target_class) continue;
    TargetInfo info;
    info.name = name;
    info.address = target.address;
    info.kind = found->second.kind;
    info.service = service;
    info.failure_domain = target.failure_domain;
    info.checks_fence = target.checks_fence;
    for (const ModelVersion& model : found->second.models) {
      info.models.push_back(model.model);
    }
    targets.push_back(std::move(info));
  }
  return targets;
}

}  // namespace comfreyflow
