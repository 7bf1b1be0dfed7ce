/// A replayed host that is the product's entry role as it serves.
#pragma once

#include <map>

#include "comfreyflow/entry.h"
#include "core/replay/policy.h"

namespace comfreyflow::replay {

class EntryHost : public HostPolicy {
 public:
  explicit EntryHost(EntrySettings settings);

  void Seen(const TargetInfo& info, Time now) override;
  void Gone(const TargetName& target, Time now) override;
  void Limit(const AccountSetup& account, double share, Time now) override;
  void Reported(const TargetReport& report, Time now) override;
  HostActions Prefixes(const TargetName& target, bool whole_list,
                       const std::vector<PrefixEvent>& events,
                       std::uint64_t next, Time now) override;
  HostActions Arrived(const RequestInfo& info, Time now) override;
  HostActions Answered(const TargetName& target, const ReservationReply& answer,
                       Time now) override;
  HostActions FirstToken(const AttemptId& attempt, Time now) override;
  HostActions Ended(const AttemptId& attempt, std::uint32_t cached,
                    Time now) override;
  HostActions Failed(const AttemptId& attempt, const TargetName& target,
                     bool crashed, Time now) override;
  HostActions Tick(Time now) override;

 private:
  void Tell(const EntryEvent& event, Time now);
  void Take(const EntryCommands& commands, Time now);
  void On(const WantClaim& command, Time now);
  void On(const RecordOutcome&, Time) {}
  void On(const RequestGrant& command, Time now);
  void On(const ReleaseGrant& command, Time now);
  void On(const PrefillDone& command, Time now);
  void On(const OpenStream& command, Time now);
  void On(const CancelAttempt& command, Time now);
  void On(const Forward&, Time) {}
  void On(const Finish& command, Time now);
  void On(const ShareSuspect&, Time) {}
  void On(const ShareClosed&, Time) {}
  void On(const FetchPrefixList& command, Time now);

  Entry entry_;
  HostActions out_;
  /// Streams that are up; heartbeats come for them from the ticks.
  std::map<AttemptId, Time> streams_;
};

}  // namespace comfreyflow::replay
