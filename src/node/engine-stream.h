/// One engine's answer to an attempt, from HTTP pieces to entry events.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/client.h"
#include "http/sse.h"
#include "node/target-links.h"

namespace comfreyflow::node {

/// Lives as long as the hooks it made.
class EngineStream : public std::enable_shared_from_this<EngineStream> {
 public:
  /// `streams` is false for the members of a gang that only hold memory.
  EngineStream(AttemptId attempt, bool streams, LinkSink sink);

  http::CallHooks Hooks();

 private:
  void Head(const http::Response& head);
  void Body(std::string_view bytes);
  void Data(std::string_view data);
  void End(http::CallEnd end);
  void Fail(Errc code, bool not_run, bool crashed);
  void Post(EntryEvent event);

  const AttemptId attempt_;
  const bool streams_;
  const LinkSink sink_;
  http::SseParser parser_;
  int status_ = 0;
  std::string refusal_;       ///< Body of an answer other than 200.
  std::uint64_t offset_ = 0;  ///< Behind the last text.
  bool ended_ = false;        ///< The end or a failure was told.
};

/// Body and head of the request to an engine.
http::Request EngineRequest(const OpenStream& open, const Call& call,
                            const std::vector<std::string>& gang,
                            std::size_t rank);

}  // namespace comfreyflow::node
