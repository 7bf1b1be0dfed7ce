/// The streams between this host and targets: opens them, converts what the
/// targets send into events for the entry actor, and retries cancellations
/// until the targets confirm them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/entry.h"
#include "http/client.h"
#include "node/call.h"
#include "node/messages.h"

namespace comfreyflow::node {

/// An event of a stream. The sink is called on I/O threads.
using LinkEvent = std::variant<TextArrived, PlainAnswered, EntryPosted>;
using LinkSink = std::function<void(LinkEvent)>;

/// Not thread-safe; used by one actor only.
class TargetLinks {
 public:
  TargetLinks(boost::asio::io_context& io, http::Client& client,
              Duration progress_timeout, LinkSink sink);
  ~TargetLinks();
  TargetLinks(const TargetLinks&) = delete;
  TargetLinks& operator=(const TargetLinks&) = delete;

  /// Sends the call to the targets at `addresses`, which are in the order of
  /// `open.targets`. The first one streams the answer; the others are the
  /// further members of a gang, that is, of targets that run one attempt
  /// together.
  void Open(const OpenStream& open, const std::vector<std::string>& addresses,
            const CallPtr& call);

  /// Closes the attempt's connections; no further event of it is posted.
  void Close(const AttemptId& attempt);

  /// Sends cancellations to the target until it confirms one, or until
  /// `give_up_at`, when the target drops the attempt by itself.
  void Cancel(const AttemptId& attempt, const std::string& address,
              Time give_up_at);

  std::size_t open_links() const { return links_.size(); }

 private:
  void OpenEngine(const OpenStream& open,
                  const std::vector<std::string>& addresses,
                  const CallPtr& call);
  void OpenPlain(const OpenStream& open, const std::string& address,
                 const CallPtr& call);

  boost::asio::io_context& io_;
  http::Client& client_;
  const Duration progress_timeout_;
  const LinkSink sink_;
  std::map<AttemptId, std::vector<std::shared_ptr<http::Call>>> links_;
};

}  // namespace comfreyflow::node
