/// One streamed completion over as many hosts as it needs: carries out what
/// `CallerSession` decides and measures the time to the first token.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "comfreyflow/caller-session.h"
#include "ctl/report.h"
#include "http/client.h"
#include "http/sse.h"

namespace comfreyflow::ctl {

struct CompletionOrder {
  std::string path;     ///< `/v1/completions` or `/v1/chat/completions`
  std::string body;     ///< JSON; sent again as it is on a resume.
  http::Fields fields;  ///< Key, service, idempotency key.
  std::chrono::milliseconds deadline{};
  CallerSessionSettings session;
};

struct CompletionHooks {
  std::function<void(const std::string& text)> on_text;
  std::function<void(const std::string& line)> on_progress;
};

struct CompletionResult {
  bool whole = false;
  std::string text;
  Json error;  ///< The last host's error; empty when it sent none.
  Json usage = Json::object();
  Duration first_token{};  ///< Zero when none came.
  Duration total{};
  std::uint32_t opens = 0;
  std::uint32_t resumes = 0;
  std::string host;  ///< The last one asked.
};

/// Runs the request to its end; blocks.
CompletionResult RunCompletion(const CompletionOrder& order,
                               const CompletionHooks& hooks);

}  // namespace comfreyflow::ctl
