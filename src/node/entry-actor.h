/// The actor that owns the entry role. It passes events to `Entry` and executes
/// the resulting commands.
#pragma once

#include <caf/all.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "comfreyflow/entry.h"
#include "node/actor.h"
#include "node/call.h"
#include "node/messages.h"
#include "node/metrics.h"
#include "node/supervisor.h"
#include "node/target-links.h"

namespace comfreyflow::node {

/// Handlers of commands that other components execute. Without `request_claim`
/// claims are answered as unavailable, without `request_grant` all grants are
/// given; other commands without a handler are ignored.
struct EntryHooks {
  /// This host's shares of the account limits, read when the actor starts.
  std::function<std::vector<LimitChanged>()> limits;
  /// The known targets, read when the actor starts.
  std::function<std::vector<TargetInfo>()> targets;
  std::function<void(const WantClaim&)> request_claim;
  std::function<void(const RecordOutcome&)> record_outcome;
  std::function<void(const RequestGrant&)> request_grant;
  std::function<void(const ReleaseGrant&)> release_grant;
  std::function<void(const PrefillDone&)> prefill_done;
  std::function<void(const ShareSuspect&)> share_suspect;
  std::function<void(const ShareClosed&)> share_closed;
  std::function<void(const TargetName&, const std::string& address)>
      fetch_prefix_list;
  /// Creates the token that lets the caller resume the attempt at another host.
  std::function<std::string(const Call&, const AttemptId&, const TargetName&)>
      sign_resume;
  /// Called after each event with the numbers of requests without a final
  /// answer and of open attempts.
  std::function<void(std::size_t open_requests, std::size_t open_attempts)>
      open_changed;
};

struct EntryDeps {
  EntrySettings settings;
  boost::asio::io_context* io = nullptr;
  http::Client* client = nullptr;
  Metrics* metrics = nullptr;
  ActorRefPtr self;
  ActorRefPtr timer;
  EntryHooks hooks;
};

class EntryActor : public Actor {
 public:
  EntryActor(caf::actor_config& config, EntryDeps deps);

  caf::behavior make_behavior() override;

 private:
  void HandleCall(const CallPtr& call);
  void HandleText(const TextArrived& text);
  void HandlePlain(const PlainAnswered& answer);
  void HandleTick(Time now);
  void HandleOwnerQuery(const OwnersQueried& query) const;
  /// Passes the event to `Entry` and executes the resulting commands. Events
  /// that occur meanwhile are queued.
  void Run(const EntryEvent& event);
  /// Updates this actor's own state from an event and logs failures.
  void Observe(const EntryEvent& event);
  void Subscribe();
  Call* Find(const RequestId& id);

  void Do(const WantClaim& command);
  void Do(const RecordOutcome& command);
  void Do(const RequestGrant& command);
  void Do(const ReleaseGrant& command);
  void Do(const PrefillDone& command);
  void Do(const OpenStream& command);
  void Do(const CancelAttempt& command);
  void Do(const Forward& command);
  void Do(const Finish& command);
  void Do(const ShareSuspect& command);
  void Do(const ShareClosed& command);
  void Do(const FetchPrefixList& command);

  void LogRequestEnd(const Call& call, const Finish& finish);
  nlohmann::ordered_json Dump() const;

  EntryDeps deps_;
  Entry entry_;
  TargetLinks links_;
  std::map<RequestId, CallPtr> calls_;
  /// The last opened attempt of each open request; earlier attempts have ended.
  std::map<RequestId, AttemptId> attempts_;
  /// All targets ever seen, including removed ones: an attempt may have to
  /// be cancelled after its target was removed.
  std::map<TargetName, TargetInfo> targets_;
  /// Events to handle after the current one.
  std::deque<EntryEvent> pending_events_;
  bool is_running_ = false;
  std::string_view chunk_text_;  ///< Text of the chunk that is being handled.
  Time now_;
  Time last_heartbeats_at_;
};

}  // namespace comfreyflow::node
