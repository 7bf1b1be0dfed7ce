// Canonical text, digests and look-ups of a configuration document.
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

constexpr auto kValue = [](const auto& name) { return name.value; };
constexpr auto kModel = [](const ModelVersion& m) { return ToString(m); };

void Put(std::string& out, const char* key, const std::string& value) {
  out += key;
  out += " = " + value + "\n";
}

void PutAccount(std::string& out, const Account& account) {
  out += "\n[account " + account.name.value + "]\n";
  Put(out, "keys", Join(account.keys, kValue));
  Put(out, "tokens_per_second", std::to_string(account.tokens_per_second));
  Put(out, "concurrent_tokens", std::to_string(account.concurrent_tokens));
  Put(out, "weight", std::to_string(account.weight));
  Put(out, "services", Join(account.services, kValue));
  if (!account.models.empty()) Put(out, "models", Join(account.models, kValue));
}

void PutService(std::string& out, const Service& service) {
  const bool engine = service.kind == TargetKind::kEngine;
  out += "\n[service " + service.name.value + "]\n";
  Put(out, "kind", engine ? "engine" : "plain");
  Put(out, "urgency", ToString(service.urgency));
  Put(out, "target_class", service.target_class.value);
  if (engine) Put(out, "models", Join(service.models, kModel));
  if (!service.adapters.empty()) {
    Put(out, "adapters", Join(service.adapters, kModel));
  }
  Put(out, "deadline", Milliseconds(service.deadline));
  Put(out, "repeatable", service.repeatable ? "yes" : "no");
}

void PutTarget(std::string& out, const TargetConfig& target) {
  out += "\n[target " + target.name.value + "]\n";
  if (!target.address.empty()) Put(out, "address", target.address);
  Put(out, "class", target.target_class.value);
  Put(out, "failure_domain", target.failure_domain.value);
  Put(out, "checks_fence", target.checks_fence ? "yes" : "no");
}

std::string PolicyText(const Config& config) {
  std::string out;
  for (const auto& [name, account] : config.accounts) PutAccount(out, account);
  for (const auto& [name, service] : config.services) PutService(out, service);
  return out;
}

}  // namespace

std::string ToString(const ModelVersion& model) {
  return model.model.value + "@" + model.version;
}

std::string ToText(const Config& config) {
  std::string out = "[environment " + config.environment + "]\n";
  Put(out, "weight_loads", std::to_string(config.weight_loads));
  out += PolicyText(config);
  for (const auto& [name, target] : config.targets) PutTarget(out, target);
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
  std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
  unsigned int length = 0;
  EVP_Digest(bytes.data(), bytes.size(), raw.data(), &length, EVP_sha256(),
             nullptr);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < length; ++i) {
    text += kDigits[raw[i] >> 4];
    text += kDigits[raw[i] & 15];
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
