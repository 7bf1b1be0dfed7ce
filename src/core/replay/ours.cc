// A host that decides through the product's dispatcher.
#include "core/replay/ours.h"

namespace comfreyflow::replay {

OursHost::OursHost(DispatcherSettings settings)
    : dispatcher_(std::move(settings)) {}

void OursHost::Seen(const TargetInfo& info, Time) {
  dispatcher_.router().UpsertTarget(info);
}

void OursHost::Gone(const TargetName& target, Time) {
  dispatcher_.router().RemoveTarget(target);
}

void OursHost::Limit(const AccountSetup& account, double share, Time now) {
  AccountLimit limit = account.limit;
  limit.tokens_per_second *= share;
  limit.burst_tokens *= share;
  dispatcher_.admission().SetLimit(account.account, limit, now);
  dispatcher_.scheduler().SetWeight(account.account, account.weight);
}

void OursHost::Reported(const TargetReport& report, Time now) {
  dispatcher_.router().ApplyReport(report, now);
}

HostActions OursHost::Prefixes(const TargetName& target, bool whole_list,
                               const std::vector<PrefixEvent>& events,
                               std::uint64_t next, Time) {
  if (dispatcher_.router().ApplyPrefixEvents(target, whole_list, events,
                                             next)) {
    return {FetchList{target}};
  }
  return {};
}

HostActions OursHost::Answered(const TargetName& target,
                               const ReservationReply& answer, Time now) {
  out_.clear();
  Carry(dispatcher_.Answered(target, answer, now), now);
  return std::move(out_);
}

Errc OursHost::Judge(const RequestInfo& info, Time now) {
  return dispatcher_.Arrived(info, now).code;
}

void OursHost::Dispatch(Open& open, Time now) {
  Carry(dispatcher_.Enqueue(AttemptOf(open), open.info, open.excluded, now),
        now);
}

void OursHost::OnFirstToken(const AttemptId& attempt, Time now) {
  Carry(dispatcher_.FirstToken(attempt, now), now);
}

void OursHost::OnLeft(const Open&, const AttemptId& attempt, bool whole,
                      Time now) {
  Carry(dispatcher_.Leave(attempt, whole, now), now);
}

void OursHost::OnDone(const RequestId& id) { dispatcher_.Done(id); }

void OursHost::OnSuspect(const TargetName& target, Time now) {
  dispatcher_.router().Refused(target, kSuspectPause, now);
  out_.push_back(SuspectTarget{target});
}

void OursHost::OnTick(Time now) { Carry(dispatcher_.Tick(now), now); }

void OursHost::Carry(const DispatchCommands& commands, Time now) {
  for (const DispatchCommand& command : commands) {
    std::visit([&](const auto& typed) { On(typed, now); }, command);
  }
}

void OursHost::On(const Dispatched& done, Time) {
  Open* open = Find(done.attempt);
  if (open != nullptr) Start(*open, done.targets, done.engine_priority);
}

void OursHost::On(const Unplaced& unplaced, Time now) {
  Open* open = Find(unplaced.attempt);
  if (open != nullptr) Settle(*open, unplaced.code, now);
}

}  // namespace comfreyflow::replay
