// Carries out the steward role.
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

/// Retry advice until a new steward has read the target's load.
constexpr Duration kNotReportedYet = milliseconds(100);
constexpr Duration kStewardTick = milliseconds(20);
/// Wait of an asker whose view of the stewards is older or newer than ours.
constexpr Duration kViewsDiffer = milliseconds(200);
/// Time between two polls of a target, by what is asked.
constexpr std::array<Duration, 3> kPollPeriods = {
    milliseconds(200), milliseconds(1000), milliseconds(500)};

const HostName& HostOf(const OwnerNews& message) {
  return std::visit(
      [](const auto& news) -> const HostName& { return news.host; },
      message.news);
}

}  // namespace

StewardActor::StewardActor(caf::actor_config& config, StewardDeps deps)
    : caf::event_based_actor(config), deps_(std::move(deps)) {}

caf::behavior StewardActor::make_behavior() {
  Subscribe();
  if (deps_.hooks.targets) TakeTargets(deps_.hooks.targets());
  return {
      [this](const ReserveWanted& message) { Reserve(message); },
      [this](const ReserveReleased& message) {
        if (Ward* ward = Find(message.target)) {
          CarryOut(*ward, ward->steward.Release(message.attempt, Now()));
        }
      },
      [this](const ReservePrefilled& message) {
        if (Ward* ward = Find(message.target)) {
          CarryOut(*ward, ward->steward.PrefillDone(message.attempt, Now()));
        }
      },
      [this](const StewardshipsChanged& message) {
        TakeTargets(message.targets);
      },
      [this](const LoadRead& message) { TakeLoad(message.report); },
      [this](const AttemptsRead& message) { TakeAttempts(message); },
      [this](const CacheRead& message) {
        if (Ward* ward = Find(message.events.target)) {
          ward->cache_next = message.events.next;
          deps_.hooks.cache_events(message.events);
        }
      },
      [this](const PollEnded& message) {
        Ward* ward = Find(message.target);
        if (ward == nullptr) return;
        const auto poll = static_cast<std::size_t>(message.poll);
        ward->under_way.at(poll) = false;
        ward->due.at(poll) = Now() + kPollPeriods.at(poll);
      },
      [this](const OwnerNews& message) { TakeOwnerNews(message); },
      [this](const CrashSeen& message) {
        if (Ward* ward = Find(message.target))
          ward->steward.SuspendGrants(Now());
      },
      [this](const TimerTick& message) { Tick(message.now); },
      [this](const DumpWanted& message) { message.done(Dump()); },
      [this](const PeerRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void StewardActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kStewardTick});
}

StewardActor::Ward* StewardActor::Find(const TargetName& name) {
  const auto at = wards_.find(name);
  return at == wards_.end() ? nullptr : &at->second;
}

void StewardActor::TakeTargets(const std::vector<TargetInfo>& targets) {
  std::map<TargetName, TargetInfo> wanted;
  for (const auto& target : targets) wanted.emplace(target.name, target);
  std::erase_if(wards_, [&wanted](const auto& item) {
    const auto at = wanted.find(item.first);
    return at == wanted.end() || at->second.address != item.second.info.address;
  });
  for (const auto& [name, info] : wanted) {
    const auto [at, added] = wards_.try_emplace(
        name, Ward{info, Steward(info), Sweep(), 0, 0, false, {}, {}});
    if (!added) continue;
    LogLine(Severity::kInfo, Event::kStewardshipBegan).With("target", name);
    for (const auto& [host, news] : owners_) {
      std::visit([&ward = at->second](
                     const auto& typed) { ward.sweep.Handle(typed, Now()); },
                 news.news);
    }
  }
}

void StewardActor::TakeOwnerNews(const OwnerNews& message) {
  const bool lasts = !std::holds_alternative<OwnerAnswered>(message.news);
  if (lasts) owners_[HostOf(message)] = message;
  const Time now = Now();
  for (auto& [name, ward] : wards_) {
    const auto commands = std::visit(
        [&ward = ward, now](const auto& news) {
          return ward.sweep.Handle(news, now);
        },
        message.news);
    CarryOut(ward, commands);
  }
}

void StewardActor::Reserve(const ReserveWanted& wanted) {
  Ward* ward = Find(wanted.target);
  if (ward == nullptr) {
    return deps_.hooks.answer(
        wanted.target,
        {wanted.ask.attempt, GrantReply::kRefused, kViewsDiffer});
  }
  if (ward->info.kind == TargetKind::kPlain) {
    return deps_.hooks.answer(wanted.target,
                              {wanted.ask.attempt, GrantReply::kGranted, {}});
  }
  // A new steward does not know yet whether the target is leaving.
  if (!ward->reported) {
    return deps_.hooks.answer(
        wanted.target,
        {wanted.ask.attempt, GrantReply::kRefused, kNotReportedYet});
  }
  CarryOut(*ward, ward->steward.Reserve(wanted.ask, Now()));
}

void StewardActor::Tick(Time now) {
  for (auto& [name, ward] : wards_) {
    if (ward.info.kind == TargetKind::kPlain) continue;
    CarryOut(ward, ward.steward.Tick(now));
    CarryOut(ward, ward.sweep.Handle(SweepTick{}, now));
    StartPolls(ward, now);
  }
}

void StewardActor::StartPolls(Ward& ward, Time now) {
  for (int poll = 0; poll < kPolls; ++poll) {
    const auto at = static_cast<std::size_t>(poll);
    if (ward.under_way.at(at) || now < ward.due.at(at)) continue;
    ward.under_way.at(at) = true;
    StartPoll(ward, static_cast<Poll>(poll));
  }
}

void StewardActor::StartPoll(Ward& ward, Poll poll) {
  const auto self = deps_.self;
  const TargetName name = ward.info.name;
  const auto end = [self, name, poll] { self->Send(PollEnded{name, poll}); };
  if (poll == kLoadPoll) {
    ReadLoad(*deps_.client, ward.info, [self, end](const TargetReport* report) {
      if (report != nullptr) self->Send(LoadRead{*report});
      end();
    });
  } else if (poll == kAttemptsPoll) {
    ReadAttempts(*deps_.client, ward.info,
                 [self, name, end](const AttemptsListed* list) {
                   if (list != nullptr) self->Send(AttemptsRead{name, *list});
                   end();
                 });
  } else {
    const auto* since = ward.cache_next == 0 ? nullptr : &ward.cache_next;
    ReadCache(*deps_.client, ward.info, since,
              [self, end](const PrefixReported* events) {
                if (events != nullptr) self->Send(CacheRead{*events});
                end();
              });
  }
}

void StewardActor::TakeLoad(const TargetReport& report) {
  Ward* ward = Find(report.target);
  if (ward == nullptr) return;
  if (report.epoch != ward->epoch) ward->cache_next = 0;
  ward->epoch = report.epoch;
  ward->reported = true;
  ward->steward.Reported(report, Now());
  if (report.closing) CarryOut(*ward, ward->steward.Close());
  deps_.hooks.report(report);
}

void StewardActor::TakeAttempts(const AttemptsRead& read) {
  Ward* ward = Find(read.target);
  if (ward == nullptr) return;
  const Time now = Now();
  CarryOut(*ward,
           ward->steward.Listed(read.list.epoch, read.list.attempts, now));
  CarryOut(*ward, ward->sweep.Handle(read.list, now));
}

void StewardActor::CarryOut(Ward& ward, const StewardResult& turn) {
  for (const auto& answer : turn.answers) {
    deps_.hooks.answer(ward.info.name, answer);
  }
  for (const auto& attempt : turn.cancels) {
    SendCancel(*deps_.client, ward.info, attempt);
  }
}

void StewardActor::CarryOut(Ward& ward, const SweepCommands& commands) {
  for (const auto& command : commands) {
    if (const auto* cancel = std::get_if<CancelOnTarget>(&command)) {
      LogLine(Severity::kWarning, Event::kSweepCancel)
          .With(cancel->attempt)
          .With("target", ward.info.name);
      SendCancel(*deps_.client, ward.info, cancel->attempt);
    } else if (const auto* ask = std::get_if<QueryOwner>(&command)) {
      deps_.hooks.ask_owner(*ask);
    }
  }
}

nlohmann::ordered_json StewardActor::Dump() const {
  auto all = nlohmann::ordered_json::array();
  for (const auto& [name, ward] : wards_) {
    all.push_back({{"target", name.value},
                   {"granted", ward.steward.granted()},
                   {"queued", ward.steward.queued()},
                   {"kv_granted", ward.steward.kv_granted()},
                   {"cancelling", ward.sweep.cancelling()}});
  }
  return {{"stewardships", std::move(all)}};
}

}  // namespace comfreyflow::node
