/// One open request of a caller on this host.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "comfreyflow/entry.h"
#include "http/server.h"
#include "node/completion.h"

namespace comfreyflow::node {

/// The entry actor owns a call once it has received it. Target links, which run
/// on other threads, read only the members that are constant after arrival.
struct Call {
  // Set on arrival and constant afterwards.
  RequestInfo info;
  TargetKind kind = TargetKind::kEngine;
  http::ExchangePtr exchange;
  Completion completion;  ///< For engine targets.
  /// For plain services; `path` is relative to the service.
  http::Request plain;
  /// The body's share of the memory for request bodies.
  http::BodyLease lease;
  std::string idempotency_key;
  std::uint64_t cache_salt = 0;
  std::optional<ResumePoint> resume;
  bool stream = false;

  // Modified by the entry actor only.
  bool head_sent = false;
  std::string chunk_prefix;  ///< JSON of each event before its text.
  std::string chunk_suffix;  ///< JSON of each event after its text.
  std::string text;          ///< The answer so far, if it is not streamed.
  std::uint64_t offset = 0;  ///< Bytes of the answer passed on to the caller.
  std::string resume_token;  ///< Continues the current attempt at another host.
  bool resume_token_sent = false;
  Time last_write_at;
  Time last_text_at;
  bool first_text_seen = false;
  http::Response plain_answer;
};

using CallPtr = std::shared_ptr<Call>;

}  // namespace comfreyflow::node
