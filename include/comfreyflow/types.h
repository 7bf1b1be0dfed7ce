/// Types shared by all components: names, identifiers, points in time and the
/// metadata of a request. They only provide comparison and a text form.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyflow {

/// A point on a host's monotonic clock. Tests and replays use a virtual clock.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// A string type per kind of name, so that names of different kinds cannot be
/// mixed up.
template <class Tag>
struct Name {
  std::string value;
  auto operator<=>(const Name&) const = default;
};

using HostName = Name<struct HostTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using AccountName = Name<struct AccountTag>;
using ServiceName = Name<struct ServiceTag>;
using ModelName = Name<struct ModelTag>;
using TargetName = Name<struct TargetTag>;

/// Identifies one process of a host; a later start has a higher value. The
/// value is the wall-clock time of the process start in milliseconds, because
/// hosts have no persistent storage for a counter.
struct Incarnation {
  std::uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;
};

/// Identifies an admitted request uniquely in the fleet.
struct RequestId {
  HostName host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  auto operator<=>(const RequestId&) const = default;
};

/// Identifies one attempt to run a request on one target. Attempts of a request
/// are numbered from 1.
struct AttemptId {
  RequestId request;
  std::uint32_t number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// Text form `host~incarnation~sequence`.
std::string ToString(const RequestId& id);
/// Text form `host~incarnation~sequence~number`, as sent to targets.
std::string ToString(const AttemptId& id);
/// Parses the text form of an attempt ID; returns false if it is malformed.
bool ParseAttemptId(const std::string& text, AttemptId& out);

/// Urgency of a request. Work with a higher value is scheduled first.
enum class Urgency : std::uint8_t { kLow, kNormal, kHigh };

/// What is known about a request after it has ended.
enum class Outcome : std::uint8_t {
  kDone,     ///< The complete answer was delivered.
  kNotRun,   ///< No byte of it reached a target, or the target reported
             ///< that it did not run it.
  kFailed,   ///< It ran partly or completely, and its answer was not
             ///< delivered.
  kUnknown,  ///< It may or may not have run.
};

/// Stable names used on the wire: `done`, `not_run`, `failed`, `unknown`.
const char* ToString(Outcome outcome);
const char* ToString(Urgency urgency);

/// The prefix of a prompt as a chain of block hashes, salted with the client
/// account. Each hash covers the prompt from its start to the end of the block.
using PrefixChain = std::vector<std::uint64_t>;

/// Number of tokens per block of a `PrefixChain`.
inline constexpr std::uint32_t kPrefixBlockTokens = 256;

/// Metadata of a request used for scheduling and placement: sizes and names,
/// but never the text of the request.
struct RequestInfo {
  RequestId id;
  AccountName account;
  ServiceName service;
  ModelName model;
  Urgency urgency = Urgency::kNormal;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  PrefixChain prefix;
  std::uint64_t fingerprint =
      0;  ///< Hash of account and body; the same when the caller retries.
  Time arrival;
  Time deadline;
  bool repeatable = true;
};

}  // namespace comfreyflow
