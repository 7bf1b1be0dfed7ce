// A host of the exploration: its life, and the paths to its decisions.
#include "explore/host.h"

#include <utility>

namespace comfreyflow::explore {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGossipLag = milliseconds(500);
constexpr std::uint32_t kShards = 2;
constexpr Duration kAnswerLife = milliseconds(500);
constexpr Duration kStopTime = std::chrono::seconds(2);

}  // namespace

Host::Host(World& world, std::uint32_t number)
    : world_(world), number_(number), name_{"h" + std::to_string(number)} {}

bool Host::paused() const { return world_.network.now() < paused_until_; }

std::optional<Time> Host::DiedAt(Incarnation incarnation) const {
  const auto at = died_.find(incarnation);
  if (at == died_.end()) return std::nullopt;
  return at->second;
}

bool Host::Streams(const AttemptId& attempt) const {
  return alive() && streams_.contains(attempt);
}

ClaimSettings Host::SettingsOfClaims() const {
  ClaimSettings settings;
  settings.host = name_;
  settings.incarnation = incarnation_;
  settings.shards = kShards;
  settings.batch_period = milliseconds(20);
  settings.max_outcome_delay = milliseconds(100);
  settings.store_timeout = milliseconds(150);
  settings.peer_timeout = milliseconds(80);
  settings.claim_timeout = milliseconds(600);
  settings.probe_period = milliseconds(200);
  settings.max_confirmation_age = milliseconds(300);
  settings.retention = std::chrono::seconds(7);
  settings.trim_period = milliseconds(500);
  settings.delete_period = milliseconds(20);
  if (world_.sabotage.claim_settings) world_.sabotage.claim_settings(settings);
  return settings;
}

void Host::Start() {
  if (alive()) return;
  ++incarnation_.value;
  next_request_ = 1;
  drain_ = Drain();
  stopped_ = false;

  EntrySettings entry;
  entry.dispatcher.router.failure_domain = {"d" + std::to_string(number_ % 2)};
  entry.seed = number_ * 1000 + incarnation_.value;
  entry.attempt.silence_limit = milliseconds(400);
  cores_ = std::make_unique<Cores>(Cores{Entry(entry),
                                         Claims(SettingsOfClaims()),
                                         {},
                                         {},
                                         std::vector<bool>(kTargets)});
  SweepSettings sweep;
  sweep.resume_window = kResumeWindow;
  sweep.query_period = milliseconds(300);
  sweep.cancel_period = milliseconds(100);
  StewardSettings steward;
  steward.resume_window = kResumeWindow;
  for (const auto& target : world_.targets) {
    cores_->sweeps.emplace_back(sweep);
    cores_->stewards.emplace_back(target->info(), steward);
    Give(TargetUpdated{target->info()});
  }
}

void Host::Crash() {
  if (!alive()) return;
  cores_.reset();
  died_[incarnation_] = world_.network.now();
  for (const auto& target : world_.targets) {
    target->Disconnect(name_, incarnation_);
  }
  streams_.clear();
  backlog_.clear();
  closed_.clear();

  paused_until_ = {};
}

void Host::Pause(Duration length) {
  if (!Serving()) return;
  paused_until_ = world_.network.now() + length;
  world_.network.After(length, [this, life = incarnation_] {
    if (!alive() || incarnation_ != life || paused()) return;
    last_resume_ = world_.network.now();
    std::deque<std::function<void()>> backlog;
    backlog.swap(backlog_);
    for (const auto& action : backlog) {
      if (alive()) action();
    }
  });
}

void Host::To(Incarnation incarnation, std::function<void()> action) {
  if (!alive() || incarnation_ != incarnation) return;
  if (paused()) {
    backlog_.push_back(std::move(action));
  } else {
    action();
  }
}

void Host::Give(EntryEvent event) {
  const auto& hooks = world_.sabotage;
  if (hooks.entry_event && !hooks.entry_event(event)) return;
  for (EntryCommand& command :
       cores_->entry.Handle(event, world_.network.now())) {
    if (hooks.entry_command && !hooks.entry_command(command)) continue;
    std::visit([this](const auto& typed) { Carry(typed); }, command);
  }
}

void Host::GiveClaims(ClaimEvent event) {
  const auto& hooks = world_.sabotage;
  if (hooks.claim_event && !hooks.claim_event(event)) return;
  for (ClaimCommand& command :
       cores_->claims.Handle(event, world_.network.now())) {
    if (hooks.claim_command && !hooks.claim_command(command)) continue;
    CarryClaim(command);
  }
}

void Host::GiveSweep(std::uint32_t target, SweepEvent event) {
  const auto& hooks = world_.sabotage;
  if (hooks.sweep_event && !hooks.sweep_event(event)) return;
  for (SweepCommand& command :
       cores_->sweeps[target].Handle(event, world_.network.now())) {
    if (hooks.sweep_command && !hooks.sweep_command(command)) continue;
    CarrySweep(target, command);
  }
}

RequestId Host::Submit(RequestArrived arrival, Submission submission) {
  const RequestId id{name_, incarnation_, next_request_++};
  arrival.info.id = id;
  arrival.info.arrival = world_.network.now();
  submission.id = id;
  submission.sent = arrival.info.arrival;
  submission.deadline = arrival.info.deadline;
  world_.checks.Add(std::move(submission));
  Give(std::move(arrival));
  return id;
}

void Host::Stop() {
  if (alive()) {
    drain_.Stop(world_.network.now(), kGossipLag, kAnswerLife, Time::max());
  }
}

/// Goes on with a planned stop; the process exits at its end.
void Host::AdvanceStop() {
  if (drain_.phase() == DrainPhase::kServing) return;
  const bool accepted = drain_.accepts();
  const std::size_t outcomes =
      cores_->claims.store_up() ? cores_->claims.unrecorded_outcomes() : 0;
  const std::size_t left = cores_->entry.open_requests() + outcomes;
  DrainPhase phase = drain_.Advance(left, world_.network.now());
  if (world_.sabotage.stop_at_once) phase = DrainPhase::kDone;
  if (accepted && !drain_.accepts()) Give(StopAdmitting{Errc::kDraining});
  if (phase != DrainPhase::kDone) return;
  stopped_ = true;
  for (const auto& [id, submission] : world_.checks.submissions()) {
    const bool mine = id.host == name_ && id.incarnation == incarnation_;
    if (!mine || submission.final) continue;
    world_.checks.Fail(Promise::kPlannedStop, "cut " + ToString(id));
  }
  Crash();
  world_.network.After(kStopTime, [this] { Start(); });
}

void Host::Tick() {
  Give(comfreyflow::Tick{});
  GiveClaims(comfreyflow::Tick{});
  const Time now = world_.network.now();
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    CarrySteward(i, cores_->stewards[i].Tick(now));
  }
  AdvanceStop();
}

void Host::PollTarget(std::uint32_t target) {
  FakeTarget& polled = *world_.targets[target];
  world_.network.Send(
      Link::kHostToTarget, [this, target, &polled, life = incarnation_] {
        if (!polled.up()) return;
        const AttemptsListed listed{polled.epoch(), polled.List()};
        TargetReport report = polled.Report();
        if (world_.sabotage.ignore_leaving) report.closing = false;
        world_.network.Send(
            Link::kTargetToHost, [this, target, listed, report, life] {
              To(life, [this, target, listed, report] {
                const Time now = world_.network.now();
                Give(LoadReported{report});
                Steward& steward = cores_->stewards[target];
                steward.Reported(report, now);
                cores_->reported[target] = true;
                if (report.closing) CarrySteward(target, steward.Close());
                CarrySteward(target, cores_->stewards[target].Listed(
                                         listed.epoch, listed.attempts, now));
                GiveSweep(target, listed);
              });
            });
      });
}

void Host::Gossip() {
  const Time now = world_.network.now();
  for (const auto& other : world_.hosts) {
    const bool lied =
        world_.network.Active(FaultKind::kFalseDeath, other->number_, kHosts);
    const auto died = other->DiedAt(other->incarnation());
    if (died && now - *died < kGossipLag) continue;
    const bool dead = died.has_value() || lied;
    for (std::uint32_t i = 0; i < kTargets; ++i) {
      if (dead) {
        GiveSweep(i, OwnerLost{other->name(), other->incarnation()});
      } else {
        GiveSweep(i, OwnerAlive{other->name(), other->incarnation()});
        cores_->stewards[i].HostReplaced(other->name(),
                                         {other->incarnation().value - 1}, now);
      }
    }
  }
  for (const auto& other : world_.hosts) {
    if (!other->Serving()) continue;
    for (const TargetName& name : closed_) other->HearClosed(name);
  }
  // The platform's list lags: it still calls each target live.
  for (const auto& target : world_.targets) Give(TargetUpdated{target->info()});
  std::vector<HostName> live;
  for (const auto& other : world_.hosts) {
    if (other->alive()) live.push_back(other->name());
  }
  GiveClaims(ClaimStewards{AssignClaimStewards(live, kShards)});
}

void Host::HearClosed(const TargetName& target) {
  if (!closed_.insert(target).second) return;
  To([this, target] { Give(TargetClosed{target}); });
}

void Host::CallerHangsUp(const RequestId& request) {
  To([this, request] { Give(CallerDisconnected{request}); });
}

}  // namespace comfreyflow::explore
