/// One request of a caller while it is open on this host.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "comfreyflow/entry.h"
#include "http/server.h"
#include "node/completion.h"

namespace comfreyflow::node {

/// Owned by the entry actor once it has arrived there; target links read the
/// parts that do not change.
struct Call {
  // Set at arrival, then constant.
  RequestInfo info;
  TargetKind kind = TargetKind::kEngine;
  http::ExchangePtr exchange;
  Completion completion;  ///< Of engines.
  http::Request plain;    ///< Of plain services; path cut to theirs.
  http::BodyLease lease;  ///< Memory counted for the body.
  std::string idempotency_key;
  std::uint64_t cache_salt = 0;
  std::optional<ResumePoint> resume;
  bool stream = false;

  // Changed by the entry actor only.
  bool head_sent = false;
  std::string chunk_begin;   ///< Of each event's JSON, up to its text.
  std::string chunk_end;     ///< From behind the text.
  std::string text;          ///< The answer so far, unless streamed.
  std::uint64_t offset = 0;  ///< Bytes of the answer given to the caller.
  std::string resume_token;  ///< Of the attempt under way.
  bool token_sent = false;
  Time last_write;
  Time last_text;
  bool first_text_seen = false;
  http::Response plain_answer;
};

using CallPtr = std::shared_ptr<Call>;

}  // namespace comfreyflow::node
