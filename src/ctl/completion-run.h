/// Runs one streamed completion, resumed at other hosts when a stream breaks:
/// opens the streams that `CallerSession` selects and measures the time to the
/// first token.
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

struct CompletionRequest {
  std::string path;     ///< `/v1/completions` or `/v1/chat/completions`
  std::string body;     ///< JSON; a resume sends it again unchanged.
  http::Fields fields;  ///< Header fields: key, service, idempotency key.
  std::chrono::milliseconds deadline{};  ///< From the start of the run.
  CallerSessionSettings session;
};

struct CompletionHooks {
  /// Called with each new piece of the answer's text.
  std::function<void(const std::string& text)> on_text;
  /// Called with a line for the user when the first token arrives and when a
  /// stream continues at another host.
  std::function<void(const std::string& message)> on_progress;
};

struct CompletionResult {
  bool is_complete = false;
  std::string text;
  Json error;  ///< Error from the last host; null if it sent none.
  Json usage = Json::object();
  Duration first_token{};  ///< Time until the first text; zero if none arrived.
  Duration total{};
  std::uint32_t opens = 0;    ///< Streams opened, including resumes.
  std::uint32_t resumes = 0;  ///< Streams that resumed a broken answer.
  std::string host;           ///< Host of the last stream.
};

/// Runs the request to its end. Blocks until then.
CompletionResult RunCompletion(const CompletionRequest& request,
                               const CompletionHooks& hooks);

}  // namespace comfreyflow::ctl
