/// A caller's side of one streamed request: which host to ask, and how to go on
/// with the answer at another one when a connection breaks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Ask `host` after `wait`: for the whole request, or with a token for the rest
/// of its answer from `offset`.
struct CallerOpen {
  std::string host;
  std::string resume_token;  ///< Empty: send the request itself.
  std::uint64_t offset = 0;
  Duration wait{};
};

/// How a stream ended.
struct CallerStreamEnd {
  enum class Kind : std::uint8_t {
    kComplete,     ///< The last event came.
    kError,        ///< The host answered with an error.
    kUnreachable,  ///< No byte of the request was sent.
    kBroken,       ///< The connection ended or went silent.
  };
  Kind kind = Kind::kBroken;
  Outcome outcome = Outcome::kUnknown;  ///< Of `kError`.
  bool retry = false;                   ///< Of `kError`.
  Duration retry_after{};               ///< Of `kError`.
};

struct CallerSessionSettings {
  std::vector<std::string> hosts;  ///< In order of preference.
  /// Whether the request may be sent again after its outcome became unknown:
  /// it is repeatable, or carries an idempotency key.
  bool may_resend = true;
  std::uint32_t max_opens = 8;
  Duration retry_wait = std::chrono::milliseconds(200);
  Time deadline;
};

class CallerSession {
 public:
  explicit CallerSession(CallerSessionSettings settings);

  /// The first host to ask; empty when there is none.
  std::optional<CallerOpen> Start();
  void OnResumeToken(std::string token);
  void OnText(std::uint64_t bytes) { offset_ += bytes; }
  /// Where to go on; empty when the request has ended, whole or not.
  std::optional<CallerOpen> Ended(const CallerStreamEnd& end, Time now);

  /// Bytes of the answer so far.
  std::uint64_t offset() const { return offset_; }
  std::uint32_t opens() const { return opens_; }
  /// Streams that went on behind a lost one.
  std::uint32_t resumes() const { return resumes_; }

 private:
  std::optional<CallerOpen> Next(Duration wait, Time now);

  CallerSessionSettings settings_;
  std::size_t next_host_ = 0;
  std::string token_;
  std::uint64_t offset_ = 0;
  std::uint32_t opens_ = 0;
  std::uint32_t resumes_ = 0;
};

}  // namespace comfreyflow
