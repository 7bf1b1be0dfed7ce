// Carries out the steward role for the targets assigned to this host.
#include "node/steward-actor.h"

#include <utility>

#include "node/clock.h"
#include "node/log.h"
#include "node/target-poll.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

using comfreyflow::detail::Now;
using std::chrono::milliseconds;

/// Retry delay returned until a new steward has read the target's load.
constexpr Duration kNoReportRetryAfter = milliseconds(100);
constexpr Duration kTickPeriod = milliseconds(20);
/// Retry delay returned to a host that takes this one for the target's steward
/// because its membership view differs.
constexpr Duration kNotStewardRetryAfter = milliseconds(200);
/// Time between two polls of a target, indexed by `Poll`.
constexpr std::array<Duration, 3> kPollPeriods = {
    milliseconds(200), milliseconds(1000), milliseconds(500)};

const HostName& HostOf(const OwnerUpdate& message) {
  return std::visit(
      [](const auto& update) -> const HostName& { return update.host; },
      message.update);
}

}  // namespace

StewardActor::StewardActor(caf::actor_config& config, StewardDeps deps)
    : Actor(config), deps_(std::move(deps)) {}

caf::behavior StewardActor::make_behavior() {
  Subscribe();
  if (deps_.hooks.targets) UpdateTargets(deps_.hooks.targets());
  return {
      [this](const ReserveRequested& message) { Reserve(message); },
      [this](const ReserveReleased& message) {
        if (ManagedTarget* managed = Find(message.target)) {
          Execute(*managed, managed->steward.Release(message.attempt, Now()));
        }
      },
      [this](const ReservePrefilled& message) {
        if (ManagedTarget* managed = Find(message.target)) {
          Execute(*managed,
                  managed->steward.PrefillDone(message.attempt, Now()));
        }
      },
      [this](const StewardshipsChanged& message) {
        UpdateTargets(message.targets);
      },
      [this](const LoadRead& message) { HandleLoad(message.report); },
      [this](const AttemptsRead& message) { HandleAttempts(message); },
      [this](const CacheRead& message) {
        if (ManagedTarget* managed = Find(message.events.target)) {
          managed->cache_next = message.events.next;
          deps_.hooks.cache_events(message.events);
        }
      },
      [this](const PollEnded& message) {
        ManagedTarget* managed = Find(message.target);
        if (managed == nullptr) return;
        const auto poll = static_cast<std::size_t>(message.poll);
        managed->in_flight.at(poll) = false;
        managed->next_poll_at.at(poll) = Now() + kPollPeriods.at(poll);
      },
      [this](const OwnerUpdate& message) { HandleOwnerUpdate(message); },
      [this](const CrashReported& message) {
        if (ManagedTarget* managed = Find(message.target))
          managed->steward.SuspendGrants(Now());
      },
      [this](const TimerTick& message) { Tick(message.now); },
      [this](const DumpRequested& message) { message.done(Dump()); },
      [this](const ActorRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void StewardActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kTickPeriod});
}

StewardActor::ManagedTarget* StewardActor::Find(const TargetName& name) {
  const auto at = targets_.find(name);
  return at == targets_.end() ? nullptr : &at->second;
}

void StewardActor::UpdateTargets(const std::vector<TargetInfo>& targets) {
  std::map<TargetName, TargetInfo> assigned;
  for (const auto& target : targets) assigned.emplace(target.name, target);
  std::erase_if(targets_, [&assigned](const auto& item) {
    const auto at = assigned.find(item.first);
    return at == assigned.end() ||
           at->second.address != item.second.info.address;
  });
  for (const auto& [name, info] : assigned) {
    const auto [at, added] = targets_.try_emplace(
        name, ManagedTarget{info, Steward(info), Sweep(), 0, 0, false, {}, {}});
    if (!added) continue;
    LogLine(Severity::kInfo, Event::kStewardshipBegan).With("target", name);
    for (const auto& [host, update] : owner_updates_) {
      std::visit([&managed = at->second](
                     const auto& typed) { managed.sweep.Handle(typed, Now()); },
                 update.update);
    }
  }
}

void StewardActor::HandleOwnerUpdate(const OwnerUpdate& message) {
  const bool is_lasting =
      !std::holds_alternative<OwnerAnswered>(message.update);
  if (is_lasting) owner_updates_[HostOf(message)] = message;
  const Time now = Now();
  for (auto& [name, managed] : targets_) {
    const auto commands = std::visit(
        [&managed = managed, now](const auto& update) {
          return managed.sweep.Handle(update, now);
        },
        message.update);
    Execute(managed, commands);
  }
}

void StewardActor::Reserve(const ReserveRequested& request) {
  ManagedTarget* managed = Find(request.target);
  if (managed == nullptr) {
    return deps_.hooks.answer(
        request.target, {request.reservation.attempt, GrantReply::kRefused,
                         kNotStewardRetryAfter});
  }
  if (managed->info.kind == TargetKind::kPlain) {
    return deps_.hooks.answer(
        request.target,
        {request.reservation.attempt, GrantReply::kGranted, {}});
  }
  // Before the first report, a new steward does not know whether the target
  // still accepts work.
  if (!managed->has_report) {
    return deps_.hooks.answer(
        request.target, {request.reservation.attempt, GrantReply::kRefused,
                         kNoReportRetryAfter});
  }
  Execute(*managed, managed->steward.Reserve(request.reservation, Now()));
}

void StewardActor::Tick(Time now) {
  for (auto& [name, managed] : targets_) {
    if (managed.info.kind == TargetKind::kPlain) continue;
    Execute(managed, managed.steward.Tick(now));
    Execute(managed, managed.sweep.Handle(SweepTick{}, now));
    StartPolls(managed, now);
  }
}

void StewardActor::StartPolls(ManagedTarget& managed, Time now) {
  for (int poll = 0; poll < kPolls; ++poll) {
    const auto at = static_cast<std::size_t>(poll);
    if (managed.in_flight.at(at) || now < managed.next_poll_at.at(at)) continue;
    managed.in_flight.at(at) = true;
    StartPoll(managed, static_cast<Poll>(poll));
  }
}

void StewardActor::StartPoll(ManagedTarget& managed, Poll poll) {
  const auto self = deps_.self;
  const TargetName name = managed.info.name;
  const auto end = [self, name, poll] { self->Send(PollEnded{name, poll}); };
  if (poll == kLoadPoll) {
    ReadLoad(*deps_.client, managed.info,
             [self, end](const TargetReport* report) {
               if (report != nullptr) self->Send(LoadRead{*report});
               end();
             });
  } else if (poll == kAttemptsPoll) {
    ReadAttempts(*deps_.client, managed.info,
                 [self, name, end](const AttemptsListed* list) {
                   if (list != nullptr) self->Send(AttemptsRead{name, *list});
                   end();
                 });
  } else {
    const auto* since = managed.cache_next == 0 ? nullptr : &managed.cache_next;
    ReadCache(*deps_.client, managed.info, since,
              [self, end](const PrefixReported* events) {
                if (events != nullptr) self->Send(CacheRead{*events});
                end();
              });
  }
}

void StewardActor::HandleLoad(const TargetReport& report) {
  ManagedTarget* managed = Find(report.target);
  if (managed == nullptr) return;
  if (report.epoch != managed->epoch) managed->cache_next = 0;
  managed->epoch = report.epoch;
  managed->has_report = true;
  managed->steward.Reported(report, Now());
  if (report.closing) Execute(*managed, managed->steward.Close());
  deps_.hooks.report(report);
}

void StewardActor::HandleAttempts(const AttemptsRead& read) {
  ManagedTarget* managed = Find(read.target);
  if (managed == nullptr) return;
  const Time now = Now();
  Execute(*managed,
          managed->steward.Listed(read.list.epoch, read.list.attempts, now));
  Execute(*managed, managed->sweep.Handle(read.list, now));
}

void StewardActor::Execute(ManagedTarget& managed,
                           const StewardResult& result) {
  for (const auto& answer : result.answers) {
    deps_.hooks.answer(managed.info.name, answer);
  }
  for (const auto& attempt : result.cancels) {
    SendCancel(*deps_.client, managed.info, attempt);
  }
}

void StewardActor::Execute(ManagedTarget& managed,
                           const SweepCommands& commands) {
  for (const auto& command : commands) {
    if (const auto* cancel = std::get_if<CancelOnTarget>(&command)) {
      LogLine(Severity::kWarning, Event::kSweepCancel)
          .With(cancel->attempt)
          .With("target", managed.info.name);
      SendCancel(*deps_.client, managed.info, cancel->attempt);
    } else if (const auto* query = std::get_if<QueryOwner>(&command)) {
      deps_.hooks.query_owner(*query);
    }
  }
}

nlohmann::ordered_json StewardActor::Dump() const {
  auto all = nlohmann::ordered_json::array();
  for (const auto& [name, managed] : targets_) {
    all.push_back({{"target", name.value},
                   {"granted", managed.steward.granted()},
                   {"queued", managed.steward.queued()},
                   {"kv_granted", managed.steward.kv_granted()},
                   {"cancelling", managed.sweep.cancelling()}});
  }
  return {{"stewardships", std::move(all)}};
}

}  // namespace comfreyflow::node
