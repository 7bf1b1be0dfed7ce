/// The streams between this host and targets: opens them, turns what comes
/// back into events for the entry actor, and cancels until confirmed.
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

/// What a link tells; called on I/O threads.
using LinkEvent = std::variant<TextArrived, PlainAnswered, EntryPosted>;
using LinkSink = std::function<void(LinkEvent)>;

/// Used by one actor only.
class TargetLinks {
 public:
  TargetLinks(boost::asio::io_context& io, http::Client& client,
              Duration silence_limit, LinkSink sink);
  ~TargetLinks();
  TargetLinks(const TargetLinks&) = delete;
  TargetLinks& operator=(const TargetLinks&) = delete;

  /// Sends the call to the targets at `addresses`, in the order of
  /// `open.targets`; the first streams, the others are the rest of a gang.
  void Open(const OpenStream& open, const std::vector<std::string>& addresses,
            const CallPtr& call);

  /// Drops the attempt's connections; nothing of it is told any more.
  void Close(const AttemptId& attempt);

  /// Asks the target to cancel, again and again until it confirms or
  /// `give_up`, when the target drops the attempt by itself.
  void Cancel(const AttemptId& attempt, const std::string& address,
              Time give_up);

  std::size_t open_links() const { return links_.size(); }

 private:
  void OpenEngine(const OpenStream& open,
                  const std::vector<std::string>& addresses,
                  const CallPtr& call);
  void OpenPlain(const OpenStream& open, const std::string& address,
                 const CallPtr& call);

  boost::asio::io_context& io_;
  http::Client& client_;
  const Duration silence_limit_;
  const LinkSink sink_;
  std::map<AttemptId, std::vector<std::shared_ptr<http::Call>>> links_;
};

}  // namespace comfreyflow::node
