/// The borders of the gateway: what it must know of a caller's request and of a
/// target's answer, and who translates them. Header names and bodies are the
/// translator's business.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "comfreyflow/errors.h"
#include "comfreyflow/routes.h"
#include "http/message.h"

namespace comfreyflow::gateway {

/// A caller's request as the gateway needs it.
struct CallerRequest {
  std::string id;    ///< The caller's own, one for each of its attempts.
  std::string host;  ///< Host name it asked for.
  std::string key;   ///< Of a client account; empty when there is none.
  std::optional<Duration> remaining;  ///< How long the caller will wait.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t likely_output_tokens = 0;  ///< The caller's guess; 0: none.
  std::string last_event_id;  ///< Of a stream that the caller resumes.
};

/// A target that helps to read a prompt. `reservation` names memory that is set
/// aside there for the prompt; empty: none is.
struct Helper {
  std::string address;
  std::string reservation;
};

/// What the gateway adds to a request that goes to a target.
struct ForwardHead {
  std::string target;   ///< Name of the target; another must not run it.
  std::string account;  ///< Empty on a public route.
  Duration remaining{};
  int urgency = 0;  ///< 0 is the most urgent, 9 the least.
  std::vector<Helper> helpers;
  std::string last_event_id;  ///< Where a resumed stream goes on.
};

/// A target's answer as the gateway needs it.
struct TargetHead {
  int status = 0;
  std::string request_id;         ///< Which the target says it answers.
  bool authentic = false;         ///< Carries the target's mark of origin.
  bool reported_not_run = false;  ///< The request did not run.
  bool wrong_target = false;      ///< Another target has this address.
  bool event_stream = false;
  std::string at_fault;  ///< Name of the target that caused a refusal.
  bool leaving = false;  ///< The target that answers takes no new work.
  /// It turned the request away and wants nothing of this host for so long.
  std::optional<Duration> rest;
  bool rest_unreadable = false;  ///< It named a time that can't be read.
  /// Requests a second that it takes from all hosts together, while it says so.
  std::optional<double> limit;
  bool limit_unreadable = false;  ///< It named a limit that can't be read.
};

struct EdgeHooks {
  std::function<CallerRequest(const http::Request&)> read_request;
  std::function<http::Request(const http::Request&, const ForwardHead&)>
      write_request;
  std::function<TargetHead(const http::Response&)> read_head;
  /// The head of a target's answer as the caller gets it.
  std::function<http::Response(const http::Response&)> write_head;
  /// Orders to a target about memory that is set aside under an id.
  std::function<http::Request(const std::string& target, const std::string& id,
                              std::uint32_t tokens, Duration life)>
      write_reserve;
  std::function<http::Request(const std::string& target, const std::string& id)>
      write_release;
  /// Whether the answer says that the memory is held.
  std::function<bool(const http::Response&)> read_reserved;
  /// The gateway's own final answer to a request.
  std::function<http::Response(Errc, Duration retry_after,
                               const std::string& request_id)>
      write_failure;
};

}  // namespace comfreyflow::gateway
