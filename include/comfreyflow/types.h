/// Words shared by every part: names of things, points in time, the request as
/// the decisions see it. Holds no behaviour beyond comparison and text form.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyflow {

/// A point on a host's monotonic clock; virtual in tests and replays.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// A name that does not mix with names of other kinds.
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

/// Counts the starts of one host; higher is later. Taken from the wall clock in
/// milliseconds at process start, as hosts keep nothing.
struct Incarnation {
  std::uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;
};

/// Names one admitted request in the whole fleet.
struct RequestId {
  HostName host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  auto operator<=>(const RequestId&) const = default;
};

/// Names one try of a request on one target; numbers start at 1.
struct AttemptId {
  RequestId request;
  std::uint32_t number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// Text form `host~incarnation~sequence`.
std::string ToString(const RequestId& id);
/// Text form `host~incarnation~sequence~number`, as targets are told it.
std::string ToString(const AttemptId& id);
/// Reads the text form of an attempt; false when the text has another shape.
bool ParseAttemptId(const std::string& text, AttemptId& out);

/// How urgent an operator says a kind of work is; later values go first.
enum class Urgency : std::uint8_t { kLow, kNormal, kHigh };

/// What is known of a request once it has ended.
enum class Outcome : std::uint8_t {
  kDone,     ///< The whole answer was delivered.
  kNotRun,   ///< No byte of it reached a target, or the target said so.
  kFailed,   ///< It ran in part or in whole, and its answer is not delivered.
  kUnknown,  ///< It may have run.
};

/// Names stable on the wire: `done`, `not_run`, `failed`, `unknown`.
const char* ToString(Outcome outcome);
const char* ToString(Urgency urgency);

/// A prompt's prefix as a chain of block hashes, salted by client account.
/// Each hash covers the prompt up to the end of its block.
using PrefixChain = std::vector<std::uint64_t>;

/// Tokens in one block of a `PrefixChain`.
inline constexpr std::uint32_t kPrefixBlockTokens = 256;

/// A request as the decisions see it: sizes and names, never its text.
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
      0;  ///< Hash of account and body; equal for a resend.
  Time arrival;
  Time deadline;
  bool repeatable = true;
};

}  // namespace comfreyflow
