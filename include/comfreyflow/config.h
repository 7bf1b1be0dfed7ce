/// The configuration of one environment: client accounts, services and
/// targets. One INI document, checked as a whole before it is accepted.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "comfreyflow/ini.h"
#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// SHA-256 as 64 lower-case hexadecimal digits.
using Digest = Name<struct DigestTag>;
using TargetClass = Name<struct TargetClassTag>;

/// What a client account may use. The fleet's hosts share its limits.
struct Account {
  AccountName name;
  std::vector<Digest> keys;  ///< Digests of the account's bearer keys.
  std::uint64_t tokens_per_second = 0;
  std::uint64_t concurrent_tokens = 0;
  std::uint32_t weight = 1;  ///< Share against accounts of equal urgency.
  std::vector<ServiceName> services;
  std::vector<ModelName> models;  ///< Empty: all models of its services.
  bool operator==(const Account&) const = default;
};

/// A model in the version that its service's targets shall have loaded.
struct ModelVersion {
  ModelName model;
  std::string version;
  auto operator<=>(const ModelVersion&) const = default;
};

/// `model@version`
std::string ToString(const ModelVersion& model);

struct Service {
  ServiceName name;
  TargetKind kind = TargetKind::kEngine;
  Urgency urgency = Urgency::kNormal;
  TargetClass target_class;  ///< Targets of this class serve it.
  std::vector<ModelVersion> models;
  std::vector<ModelVersion> adapters;
  Duration deadline{};      ///< For requests that name none.
  bool repeatable = false;  ///< For plain calls that do not say.
  bool operator==(const Service&) const = default;
};

struct TargetConfig {
  TargetName name;
  std::string address;  ///< `ip:port`; empty: from the platform's list.
  TargetClass target_class;
  FailureDomain failure_domain;
  bool checks_fence = false;
  bool operator==(const TargetConfig&) const = default;
};

/// A checked document. Maps are ordered, so equal content has equal text.
struct Config {
  std::string environment;
  std::uint32_t weight_loads = 4;  ///< Model loads at once in the fleet.
  std::map<AccountName, Account> accounts;
  std::map<ServiceName, Service> services;
  std::map<TargetName, TargetConfig> targets;
  bool operator==(const Config&) const = default;
};

/// The outcome of a parse: `config` is usable only without problems, which are
/// in the order of their lines.
struct ConfigResult {
  Config config;
  std::vector<Problem> problems;
  bool ok() const { return problems.empty(); }
};

/// Longest document, as the platform's store holds values up to a megabyte.
inline constexpr std::size_t kMaxConfigBytes = 1'000'000;

ConfigResult ParseConfig(std::string_view text);
/// The canonical text; parsing it gives an equal `Config`.
std::string ToText(const Config& config);
/// Digest of the canonical text.
Digest HashOf(const Config& config);
/// Digest of what promotion carries over: accounts and services, without the
/// environment's own name and targets.
Digest PolicyHashOf(const Config& config);
/// The production document that has `trial`'s accounts and services and
/// `production`'s name and targets.
Config Promoted(const Config& trial, const Config& production);

/// SHA-256 of any bytes, as bearer keys and documents are compared by it.
Digest Sha256(std::string_view bytes);
/// Whether the text has the shape of a `Digest`.
bool IsDigest(std::string_view text);

/// The account that owns a bearer key, or null. The comparison is of digests,
/// so its time tells nothing of the key.
const Account* FindAccount(const Config& config, std::string_view bearer_key);
/// Whether the account may use the service, and the model when one is named.
bool MayUse(const Account& account, const ServiceName& service,
            const ModelName& model);
/// Targets of a service in order of name.
std::vector<TargetInfo> TargetsOf(const Config& config,
                                  const ServiceName& service);

}  // namespace comfreyflow
