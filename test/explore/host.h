/// A host in a run: its decisions, and a small stand-in of the shell that
/// carries their commands out.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "comfreyflow/claims.h"
#include "comfreyflow/drain.h"
#include "comfreyflow/entry.h"
#include "comfreyflow/steward.h"
#include "comfreyflow/sweep.h"
#include "explore/world.h"

namespace comfreyflow::explore {

class Host {
 public:
  Host(World& world, std::uint32_t number);

  const HostName& name() const { return name_; }
  Incarnation incarnation() const { return incarnation_; }
  bool alive() const { return cores_ != nullptr; }
  bool paused() const;
  bool Serving() const { return alive() && !paused(); }
  Time last_resume() const { return last_resume_; }
  /// When the incarnation died; empty while it runs.
  std::optional<Time> DiedAt(Incarnation incarnation) const;
  bool Streams(const AttemptId& attempt) const;

  void Start();
  void Crash();
  void Pause(Duration length);
  /// Begins a planned stop.
  void Stop();
  bool in_answers() const { return Serving() && drain_.in_answers(); }
  bool stopped() const { return stopped_; }

  /// Runs `action` in this incarnation: later when paused, never when dead.
  void To(Incarnation incarnation, std::function<void()> action);
  void To(std::function<void()> action) { To(incarnation_, std::move(action)); }

  void Give(EntryEvent event);
  void GiveClaims(ClaimEvent event);
  void GiveSweep(std::uint32_t target, SweepEvent event);
  /// Names the next request of a caller and gives it to the entry role.
  RequestId Submit(RequestArrived arrival, Submission submission);

  void Tick();
  void PollTarget(std::uint32_t target);
  void Gossip();
  void HearClosed(const TargetName& target);
  void CallerHangsUp(const RequestId& request);

 private:
  struct Stream {
    std::uint32_t target = 0;
    OpenStream open;
  };
  struct Cores {
    Entry entry;
    Claims claims;
    std::vector<Sweep> sweeps;
    std::vector<Steward> stewards;
    std::vector<bool> reported;  ///< By target; nothing is granted before.
  };

  template <class Command>
  void Carry(const Command&) {}
  void Carry(const WantClaim& command) { GiveClaims(command); }
  void Carry(const RecordOutcome& command) { GiveClaims(command); }
  void Carry(const RequestGrant& command);
  void Carry(const ReleaseGrant& command);
  void Carry(const OpenStream& command);
  void Carry(const CancelAttempt& command);
  void Carry(const Forward& command);
  void Carry(const Finish& command);
  void Carry(const ShareSuspect& command);
  void Carry(const ShareClosed& command) { closed_.insert(command.target); }
  void Carry(const PrefillDone& command);
  void AdvanceStop();

  void CarryClaim(const ClaimCommand& command);
  void CallStore(const ClaimCommand& command);
  void AnswerStore(StoreAnswered answer, Duration delay);
  void CarrySweep(std::uint32_t target, const SweepCommand& command);
  void Reserve(std::uint32_t target, const ReservationRequest& ask);
  void CarrySteward(std::uint32_t target, const StewardResult& turn);

  void Connected(const AttemptId& attempt);
  void SendCall(const Stream& stream);
  void OnMessage(const TargetMessage& message);
  void ResendBroken(const AttemptId& attempt);
  ClaimSettings SettingsOfClaims() const;

  World& world_;
  std::uint32_t number_;
  HostName name_;
  Incarnation incarnation_{0};
  std::unique_ptr<Cores> cores_;
  std::uint64_t next_request_ = 1;
  std::map<AttemptId, Stream> streams_;
  std::optional<TargetMessage> chunk_;  ///< Being given to the entry role.
  Time paused_until_{};
  Time last_resume_{};
  std::deque<std::function<void()>> backlog_;
  std::map<Incarnation, Time> died_;
  Drain drain_;
  bool stopped_ = false;         ///< By a planned stop.
  std::set<TargetName> closed_;  ///< Targets that others are to close.
};

}  // namespace comfreyflow::explore
