// Executes the output of the membership protocol.
#include "node/membership-actor.h"

#include <utility>

#include "node/clock.h"
#include "node/log.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

using comfreyflow::detail::Now;

std::vector<ListedHost> ToListedHosts(
    const std::vector<PlatformMember>& hosts) {
  std::vector<ListedHost> list;
  for (const auto& host : hosts) {
    list.push_back({{host.name}, host.address, host.leaving});
  }
  return list;
}

}  // namespace

MembershipActor::MembershipActor(caf::actor_config& config, MembershipDeps deps)
    : Actor(config),
      deps_(std::move(deps)),
      membership_(deps_.settings, Now()) {}

caf::behavior MembershipActor::make_behavior() {
  Subscribe();
  PublishView(Now());
  return {
      [this](const DatagramArrived& message) {
        Execute(membership_.Handle(message.datagram, message.from, Now()));
      },
      [this](const TargetMarkChanged& message) {
        membership_.ShareTarget(message.mark);
      },
      [this](const PlatformListed& message) {
        membership_.SetPlatformList(ToListedHosts(message.hosts));
      },
      [this](const LeaveRequested&) { Execute(membership_.Leave(Now())); },
      [this](const TimerTick& message) { Tick(message.now); },
      [this](const DumpRequested& message) { message.done(Dump()); },
      [this](const ActorRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void MembershipActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kMembershipTick});
}

void MembershipActor::Tick(Time now) {
  membership_.SetFacts(deps_.hooks.facts());
  membership_.SetConfig(deps_.hooks.config_mark());
  Execute(membership_.Tick(now));
  if (now >= next_view_at_) PublishView(now);
  if (deps_.platform != nullptr && now >= next_list_at_) ReadPlatformList(now);
}

void MembershipActor::Execute(const MembershipOutput& output) {
  for (const auto& datagram : output.datagrams) deps_.socket->Send(datagram);
  for (const auto& event : output.events) {
    std::visit([this](const auto& typed) { HandleEvent(typed); }, event);
  }
}

void MembershipActor::HandleEvent(const MemberChanged& event) {
  LogLine(Severity::kInfo, Event::kMemberChanged)
      .With("member", event.record.name)
      .With("member_incarnation", event.record.incarnation.value)
      .With("state", ToString(event.state));
  deps_.hooks.member_changed(event);
  PublishView(Now());
}

void MembershipActor::HandleEvent(const ConfigAnnounced& event) {
  deps_.hooks.config_announced(event);
}

void MembershipActor::HandleEvent(const TargetMark& event) {
  deps_.hooks.target_marked(event);
}

void MembershipActor::PublishView(Time now) {
  next_view_at_ = now + kViewPublishPeriod;
  deps_.hooks.view(membership_.members(), membership_.Serving());
}

void MembershipActor::ReadPlatformList(Time now) {
  next_list_at_ = now + kPlatformListPeriod;
  deps_.platform->Hosts(
      [self = deps_.self,
       listed = deps_.hooks.targets_listed](const HostsAnswer& answer) {
        if (answer.error) return;
        self->Send(PlatformListed{answer.hosts});
        listed(answer.targets);
      });
}

nlohmann::ordered_json MembershipActor::Dump() const {
  auto all = nlohmann::ordered_json::array();
  for (const auto& [name, member] : membership_.members()) {
    all.push_back({{"name", name.value},
                   {"incarnation", member.record.incarnation.value},
                   {"state", ToString(member.state)},
                   {"failure_domain", member.record.failure_domain.value},
                   {"generation", member.facts.generation},
                   {"load", member.facts.load},
                   {"draining", member.facts.draining},
                   {"unready", member.facts.unready}});
  }
  return {{"members", std::move(all)},
          {"datagrams_sent", membership_.datagrams_sent()}};
}

}  // namespace comfreyflow::node
