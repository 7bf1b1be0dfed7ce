/// The caller's side of one streamed request: selects the host to send it to,
/// and resumes the answer at another host when a connection breaks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Open a stream at `host` after `wait`. The stream carries the complete
/// answer, or, with a resume token, the rest of the answer from `offset`.
struct CallerOpen {
  std::string host;
  std::string resume_token;  ///< Empty: start from the beginning of the answer.
  std::uint64_t offset = 0;
  Duration wait{};
};

/// How a stream ended.
struct CallerStreamEnd {
  enum class Kind : std::uint8_t {
    kComplete,     ///< The last event was received.
    kError,        ///< The host answered with an error.
    kUnreachable,  ///< No byte of the request was sent.
    kBroken,       ///< The connection closed or timed out.
  };
  Kind kind = Kind::kBroken;
  // Set for `kError` only, from the error that the host sent.
  Outcome outcome = Outcome::kUnknown;
  bool retry = false;  ///< Whether a retry may succeed.
  Duration retry_after{};
  bool is_draining = false;  ///< The host ended the answer because it stops.
};

struct CallerSessionSettings {
  std::vector<std::string> hosts;  ///< In order of preference.
  /// Whether the request may be sent again after its outcome became unknown,
  /// because it is repeatable or carries an idempotency key.
  bool may_resend = true;
  std::uint32_t max_opens = 8;  ///< Streams opened, the first one included.
  Duration retry_wait = std::chrono::milliseconds(200);
  Time deadline;
};

class CallerSession {
 public:
  explicit CallerSession(CallerSessionSettings settings);

  /// Returns the first stream to open; empty if there are no hosts.
  std::optional<CallerOpen> Start();
  /// Stores the latest resume token of the stream.
  void OnResumeToken(std::string token);
  /// Counts received bytes of the answer.
  void OnText(std::uint64_t bytes) { offset_ += bytes; }
  /// Returns the next stream to open; empty if the request has ended, with a
  /// complete answer or without.
  std::optional<CallerOpen> Ended(const CallerStreamEnd& end, Time now);

  /// Bytes of the answer received so far.
  std::uint64_t offset() const { return offset_; }
  std::uint32_t opens() const { return opens_; }
  /// Number of streams that resumed the answer after a broken connection.
  std::uint32_t resumes() const { return resumes_; }

 private:
  std::optional<CallerOpen> Resume(Time now);
  std::optional<CallerOpen> Next(Duration wait, Time now);

  CallerSessionSettings settings_;
  std::size_t next_host_ = 0;
  std::string resume_token_;
  std::uint64_t offset_ = 0;
  std::uint32_t opens_ = 0;
  std::uint32_t resumes_ = 0;
};

}  // namespace comfreyflow
