/// Converts the HTTP response of one engine to entry events of an attempt.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/client.h"
#include "http/sse.h"
#include "node/target-links.h"

namespace comfreyflow::node {

/// The hooks returned by `Hooks` own the object.
class EngineStream : public std::enable_shared_from_this<EngineStream> {
 public:
  /// A gang is a group of engines that run one request together. `streams` is
  /// false for its members other than the first, which stream no text.
  EngineStream(AttemptId attempt, bool streams, LinkSink sink);

  http::CallHooks Hooks();

 private:
  void OnHead(const http::Response& head);
  void OnBody(std::string_view bytes);
  void OnData(std::string_view data);
  void OnEnd(http::CallEnd end);
  /// Reports the failure, unless the end or a failure was already reported.
  void Fail(Errc code, bool not_run, bool crashed);
  void Post(EntryEvent event);

  const AttemptId attempt_;
  const bool streams_;
  const LinkSink sink_;
  http::SseParser parser_;
  int status_ = 0;
  /// Body of a response with a status other than 200.
  std::string error_body_;
  std::uint64_t offset_ = 0;  ///< After the last text.
  bool ended_ = false;        ///< The end or a failure was reported.
};

/// The request to the engine with this rank in the gang. `gang` has the
/// addresses of all members.
http::Request EngineRequest(const OpenStream& open, const Call& call,
                            const std::vector<std::string>& gang,
                            std::size_t rank);

}  // namespace comfreyflow::node
