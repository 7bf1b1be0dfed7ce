/// The configuration of one environment: client accounts, services and
/// targets. It is one INI document, which is accepted only if all of it is
/// valid.
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

/// A client account and what it may use. Its limits apply to the whole fleet;
/// the hosts share them.
struct Account {
  AccountName name;
  std::vector<Digest> keys;  ///< Digests of the account's bearer keys, sorted.
  std::uint64_t tokens_per_second = 0;
  std::uint64_t concurrent_tokens = 0;
  /// Weight in the fair sharing among accounts of equal urgency.
  std::uint32_t weight = 1;
  std::vector<ServiceName> services;
  std::vector<ModelName> models;  ///< Empty: all models of the services.
  bool operator==(const Account&) const = default;
};

/// A model and the version of it that the service's targets should have loaded.
struct ModelVersion {
  ModelName model;
  std::string version;
  auto operator<=>(const ModelVersion&) const = default;
};

/// The text `model@version`.
std::string ToString(const ModelVersion& model);

struct Service {
  ServiceName name;
  TargetKind kind = TargetKind::kEngine;
  Urgency urgency = Urgency::kNormal;
  TargetClass target_class;  ///< Targets of this class serve the service.
  std::vector<ModelVersion> models;
  std::vector<ModelVersion> adapters;
  Duration deadline{};  ///< Default for requests without a deadline.
  /// Whether requests may be retried after their outcome is unknown; default
  /// for plain calls that do not specify it.
  bool repeatable = false;
  bool operator==(const Service&) const = default;
};

struct TargetConfig {
  TargetName name;
  std::string address;  ///< `ip:port`; empty: taken from the platform's list.
  TargetClass target_class;
  FailureDomain failure_domain;
  /// Whether the target rejects model orders with an outdated fence. A fence is
  /// the version of the lease under which an order is sent.
  bool checks_fence = false;
  bool operator==(const TargetConfig&) const = default;
};

/// The content of a document. Its maps are ordered, so that equal content gives
/// equal canonical text.
struct Config {
  std::string environment;
  std::uint32_t weight_loads = 4;  ///< Concurrent model loads in the fleet.
  std::map<AccountName, Account> accounts;
  std::map<ServiceName, Service> services;
  std::map<TargetName, TargetConfig> targets;
  bool operator==(const Config&) const = default;
};

/// The result of parsing a document. `config` may be used only if there are no
/// problems. The problems are in the order of their lines.
struct ConfigResult {
  Config config;
  std::vector<Problem> problems;
  bool ok() const { return problems.empty(); }
};

/// Maximum length of a document. The platform's store limits values to one
/// megabyte.
inline constexpr std::size_t kMaxConfigBytes = 1'000'000;

ConfigResult ParseConfig(std::string_view text);
/// The canonical text; parsing it gives an equal `Config`.
std::string ToText(const Config& config);
/// Digest of the canonical text.
Digest HashOf(const Config& config);
/// Digest of the part that promotion copies from one environment to another:
/// the accounts and services, without the environment's name and targets.
Digest PolicyHashOf(const Config& config);
/// A production document with the accounts and services of `trial`, and with
/// the name and targets of `production`.
Config Promoted(const Config& trial, const Config& production);

/// SHA-256 of `bytes`. Bearer keys and documents are compared by their digests.
Digest Sha256(std::string_view bytes);
/// Whether the text has the form of a `Digest`.
bool IsDigest(std::string_view text);

/// The account that a bearer key belongs to, or null. Digests are compared
/// instead of keys, so that the time taken reveals nothing about the key.
const Account* FindAccount(const Config& config, std::string_view bearer_key);
/// Whether the account may use the service and, if `model` is not empty, the
/// model.
bool MayUse(const Account& account, const ServiceName& service,
            const ModelName& model);
/// The targets of a service, in the order of their names.
std::vector<TargetInfo> TargetsOf(const Config& config,
                                  const ServiceName& service);

}  // namespace comfreyflow
