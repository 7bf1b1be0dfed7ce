/// The interface between the gateway and the platform adapter: the fields of a
/// caller's request and of a target's answer that the gateway uses, and the
/// hooks that translate them. Header names and body formats are known only to
/// the adapter.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/credentials.h"
#include "comfreyflow/errors.h"
#include "comfreyflow/routes.h"
#include "http/client.h"
#include "http/message.h"

namespace comfreyflow::gateway {

/// The fields of a caller's request that the gateway uses.
struct CallerRequest {
  std::string id;    ///< Chosen by the caller, one per attempt of its own.
  std::string host;  ///< Host name in the request.
  Credentials credentials;            ///< They tell the client account.
  std::optional<Duration> remaining;  ///< Time that the caller will still wait.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint32_t likely_output_tokens = 0;  ///< The caller's estimate; 0: none.
  std::string last_event_id;  ///< Last event received, if it resumes a stream.
  /// Parts of the prompt that other requests may share, in order. The part that
  /// belongs to this request alone is not among them.
  std::vector<std::uint64_t> shared_parts;
};

/// A target that takes over part of the prompt processing for another target.
/// `reservation` is the id of the memory reserved there for the prompt; empty
/// if no memory is reserved.
struct Helper {
  std::string address;
  std::string reservation;
};

/// The fields that the gateway adds to a request to a target.
struct ForwardHead {
  std::string target;   ///< Only the target with this name may run the request.
  std::string account;  ///< Empty if the request came without a key.
  Duration remaining{};
  int urgency = 0;  ///< 0 is the most urgent, 9 the least.
  std::vector<Helper> helpers;
  std::string last_event_id;  ///< A resumed stream continues after this event.
};

/// The fields of a target's answer that the gateway uses.
struct TargetHead {
  int status = 0;
  std::string
      request_id;  ///< Id of the request that the target claims to answer.
  bool authentic = false;  ///< Carries proof that the target produced it.
  bool reported_not_run =
      false;  ///< The target reports that the request did not run.
  /// The target did not run the request, as it is meant for another one: by its
  /// name or by what the request asks for.
  bool misdirected = false;
  bool event_stream = false;
  std::string at_fault;  ///< Name of the target that caused the refusal.
  bool leaving = false;  ///< The answering target accepts no new work.
  /// The target refused the request and asks this host to send none for this
  /// long.
  std::optional<Duration> back_off;
  bool back_off_unreadable = false;  ///< The back-off time could not be parsed.
  /// Requests per second that the target accepts from all hosts together. It
  /// applies until an answer comes without it.
  std::optional<double> rate_limit;
  bool rate_limit_unreadable = false;  ///< The rate limit could not be parsed.
};

/// Which request the answer names: the one with this id, another one or none.
inline http::AnswerOwner OwnerOf(const TargetHead& answer,
                                 const std::string& request_id) {
  if (answer.request_id.empty()) return http::AnswerOwner::kUnnamed;
  return answer.request_id == request_id ? http::AnswerOwner::kThisCall
                                         : http::AnswerOwner::kOtherCall;
}

struct EdgeHooks {
  std::function<CallerRequest(const http::Request&)> read_request;
  std::function<http::Request(const http::Request&, const ForwardHead&)>
      write_request;
  std::function<TargetHead(const http::Response&)> read_head;
  /// Translates the head of a target's answer for the caller.
  std::function<http::Response(const http::Response&)> write_head;
  /// Requests that reserve memory at a target, or release it, under an id.
  std::function<http::Request(const std::string& target, const std::string& id,
                              std::uint32_t tokens, Duration life)>
      write_reserve;
  std::function<http::Request(const std::string& target, const std::string& id)>
      write_release;
  /// Sets the id by which the answer names the request.
  std::function<void(http::Request&, const std::string& id)> set_id;
  /// Whether the answer confirms the reservation.
  std::function<bool(const http::Response&)> read_reserved;
  /// The final answer to a request that the gateway itself fails.
  std::function<http::Response(Errc, Duration retry_after,
                               const std::string& request_id)>
      write_failure;
};

}  // namespace comfreyflow::gateway
