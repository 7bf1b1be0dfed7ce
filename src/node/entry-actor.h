/// The actor that owns the entry role: feeds `Entry` and carries out what it
/// commands.
#pragma once

#include <caf/all.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "comfreyflow/entry.h"
#include "node/call.h"
#include "node/messages.h"
#include "node/metrics.h"
#include "node/supervisor.h"
#include "node/target-links.h"

namespace comfreyflow::node {

/// Where commands go that this actor does not carry out itself. An empty hook
/// answers as an absent part would.
struct EntryHooks {
  /// This host's part of the accounts' limits, for an actor that starts.
  std::function<std::vector<LimitChanged>()> limits;
  /// Targets known so far, for an actor that starts.
  std::function<std::vector<TargetInfo>()> targets;
  std::function<void(const WantClaim&)> want_claim;
  std::function<void(const RecordOutcome&)> record_outcome;
  std::function<void(const RequestGrant&)> ask_grant;
  std::function<void(const ReleaseGrant&)> release_grant;
  std::function<void(const PrefillDone&)> prefill_done;
  std::function<void(const ShareSuspect&)> share_suspect;
  std::function<void(const ShareClosed&)> share_closed;
  std::function<void(const TargetName&, const std::string& address)>
      fetch_prefix_list;
  /// Token that continues the call's attempt at another host.
  std::function<std::string(const Call&, const AttemptId&, const TargetName&)>
      sign_resume;
  /// Requests that have no final answer, after each change.
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

class EntryActor : public caf::event_based_actor {
 public:
  EntryActor(caf::actor_config& config, EntryDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Arrive(const CallPtr& call);
  void TakeText(const TextArrived& text);
  void TakePlain(const PlainAnswered& answer);
  void TakeTick(Time now);
  void TakeOwners(const OwnersQueried& asked) const;
  void Run(const EntryEvent& event);
  /// Notes what this actor itself has to know of an event.
  void Watch(const EntryEvent& event);
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

  void Report(const Call& call, const Finish& finish);
  nlohmann::ordered_json Dump() const;

  EntryDeps deps_;
  Entry entry_;
  TargetLinks links_;
  std::map<RequestId, CallPtr> calls_;
  /// Attempts opened and not ended, by request; only the last one runs.
  std::map<RequestId, AttemptId> attempts_;
  /// Addresses of all targets seen, those gone included, for late cancels.
  std::map<TargetName, TargetInfo> targets_;
  std::deque<EntryEvent> pending_;  ///< Events made while commands ran.
  bool running_ = false;
  std::string_view text_;  ///< Of the chunk being handled.
  Time now_;
  Time last_heartbeats_;
};

}  // namespace comfreyflow::node
