// A run of the exploration: workload, faults and the final checks.
#include "explore/world.h"

#include <algorithm>
#include <random>

#include "explore/host.h"

namespace comfreyflow::explore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kRequests = 24;
constexpr int kLastRequestMs = 10'000;
constexpr Duration kHorizon = seconds(28);
constexpr Duration kPollPeriod = milliseconds(250);
constexpr Duration kGossipPeriod = milliseconds(500);
constexpr std::uint32_t kPoisonTimes = 4;
constexpr unsigned kAgeShift = 16;
constexpr std::int64_t kPoisonCrashes = 2;
constexpr Duration kPoisonGap = milliseconds(1500);
constexpr Duration kAnswerPeriod = milliseconds(100);
constexpr std::size_t kAnswersKept = 10;  ///< A second's worth.
constexpr Duration kResumeDelay = milliseconds(300);
constexpr std::uint64_t kPlainBytes = 10;
constexpr std::uint64_t kLongAnswer = 100'000;  ///< Bodies from here on.
constexpr std::uint32_t kFingerprintShift = 32;

TargetInfo TargetOf(std::uint32_t number) {
  TargetInfo info;
  info.name = {"t" + std::to_string(number)};
  info.address = "127.0.0.1:" + std::to_string(9000 + number);
  info.kind = number < kEngines ? TargetKind::kEngine : TargetKind::kPlain;
  info.service = {number < kEngines ? "chat" : "pay"};
  info.failure_domain = {"d" + std::to_string(number % 2)};
  if (number < kEngines) info.models = {{"m"}};
  info.kv_capacity = 100'000;
  info.max_running = 64;
  return info;
}

/// One thing that a caller wants, before it chose a host.
struct Wish {
  AccountName account;
  std::string key;
  std::uint64_t body = 0;
  Duration patience{};
};

std::uint64_t BytesOf(const Wish& wish) {
  if (!wish.key.empty()) return kPlainBytes;
  return (wish.body >= kLongAnswer ? 500 : 20) + 10 * (wish.body % 6);
}

class Callers {
 public:
  Callers(World& world, std::uint64_t seed) : world_(world), random_(~seed) {}

  void Plan() {
    Duration at{};
    for (std::uint32_t i = 0; i < kRequests; ++i) {
      Wish wish;
      wish.account = {random_() % 2 == 0 ? "a" : "b"};
      // Some keys are used by both accounts.
      if (random_() % 5 < 3) wish.key = "k" + std::to_string(i / 2);
      wish.body = 1000 + i;
      const bool long_answer = wish.key.empty() && random_() % 3 == 0;
      if (long_answer) wish.body += kLongAnswer;
      wish.patience =
          milliseconds((long_answer ? 5000 : 1200) + random_() % 1800);
      // Requests with the same key come well within its retention.
      if (i % 2 == 0) at = milliseconds(random_() % kLastRequestMs);
      SendAt(at, wish, random_());
      if (!wish.key.empty()) PlanResends(at, wish);
    }
  }

  /// One body that crashes engines, through one host after the other.
  void SendPoison(std::uint32_t which) {
    Wish wish;
    wish.account = {"a"};
    wish.body = kPoisonBody + which;
    wish.patience = seconds(3);
    for (std::uint32_t i = 0; i < kPoisonTimes; ++i) {
      SendAt(kPoisonGap * i, wish, which + i);
    }
  }

  void HangUp(std::uint32_t which) {
    const auto& all = world_.checks.submissions();
    if (all.empty()) return;
    auto at = all.begin();
    std::advance(at, which % all.size());
    world_.checks.Find(at->first)->caller_gone = true;
    Host* host = world_.Named(at->first.host);
    if (host->incarnation() == at->first.incarnation) {
      host->CallerHangsUp(at->first);
    }
  }

  /// Callers whose host died go on with their streams at another one.
  void ResumeFrom(const HostName& host, Incarnation incarnation) {
    std::vector<Submission> broken;
    for (const auto& [id, submission] : world_.checks.submissions()) {
      if (id.host != host || id.incarnation != incarnation) continue;
      const bool open = !submission.final && !submission.caller_gone;
      if (open && submission.key.empty()) broken.push_back(submission);
    }
    for (const Submission& submission : broken) {
      world_.network.After(kResumeDelay, [this, submission] {
        if (world_.network.now() >= submission.deadline) return;
        Host* next = Pick(submission.id.sequence);
        if (next == nullptr) return;
        Submission rest = submission;
        RequestArrived arrival = ArrivalOf(rest);
        arrival.info.deadline = submission.deadline;
        arrival.resume = ResumePoint{
            {submission.id, 1}, world_.targets[0]->info().name, submission.got};
        next->To([next, arrival, rest] { next->Submit(arrival, rest); });
      });
    }
  }

 private:
  void PlanResends(Duration at, const Wish& wish) {
    const std::uint64_t times = random_() % 3;
    for (std::uint64_t i = 0; i < times; ++i) {
      const std::uint64_t lags[] = {0, 1, 30, 70, 200, 900, 1800};
      Wish again = wish;
      // The same key mostly means the same body.
      if (random_() % 12 == 0) ++again.body;
      const std::uint64_t choice = random_();
      const Duration lag = milliseconds(lags[random_() % std::size(lags)]);
      SendAt(at + lag, again, choice);
    }
  }

  void SendAt(Duration at, const Wish& wish, std::uint64_t choice) {
    world_.network.After(at, [this, wish, choice] {
      Host* host = Pick(choice);
      if (host == nullptr) return;
      Submission submission;
      submission.account = wish.account;
      submission.key = wish.key;
      submission.answer = wish.body;
      submission.total = BytesOf(wish);
      RequestArrived arrival = ArrivalOf(submission);
      arrival.info.deadline = world_.network.now() + wish.patience;
      host->To(
          [host, arrival, submission] { host->Submit(arrival, submission); });
    });
  }

  static RequestArrived ArrivalOf(const Submission& submission) {
    RequestArrived arrival;
    arrival.info.account = submission.account;
    arrival.info.repeatable = submission.key.empty();
    arrival.info.service = {submission.key.empty() ? "chat" : "pay"};
    if (submission.key.empty()) arrival.info.model = {"m"};
    arrival.info.prompt_tokens = 1000;
    arrival.info.max_output_tokens = 100;
    arrival.info.fingerprint =
        (submission.answer << kFingerprintShift) +
        static_cast<std::uint64_t>(submission.account.value.front());
    arrival.idempotency_key = submission.key;
    return arrival;
  }

  Host* Pick(std::uint64_t choice) { return world_.AnswerFor(choice); }

  World& world_;
  std::mt19937_64 random_;
};

void Schedule(World& world, Callers& callers, const Fault& fault) {
  Host* host = world.hosts[fault.which % kHosts].get();
  FakeTarget* target = world.targets[fault.which % kTargets].get();
  world.network.After(fault.at, [&world, &callers, fault, host, target] {
    switch (fault.kind) {
      case FaultKind::kCrashHost: {
        const Incarnation life = host->incarnation();
        if (!host->alive()) return;
        host->Crash();
        callers.ResumeFrom(host->name(), life);
        world.network.After(fault.length, [host] { host->Start(); });
        return;
      }
      case FaultKind::kPauseHost:
        return host->Pause(fault.length);
      case FaultKind::kCrashTarget:
        target->Crash();
        world.network.After(fault.length, [target] { target->Restart(); });
        return;
      case FaultKind::kTargetLeaves:
        // One engine and one service may go; the others take the work.
        if (target == world.targets[0].get()) target->Leave();
        return;
      case FaultKind::kStopHost:
        return host->Stop();
      case FaultKind::kPoison:
        return callers.SendPoison(fault.which);
      case FaultKind::kSilence:
        return target->Silence();
      case FaultKind::kCallerGone:
        return callers.HangUp(fault.which);
      default:
        return;  // Looked up by those it concerns.
    }
  });
}

void Every(World& world, Duration period, const std::function<void()>& action) {
  world.network.After(period, [&world, period, action] {
    action();
    Every(world, period, action);
  });
}

void StartClocks(World& world) {
  world.RefreshAnswers();
  Every(world, kAnswerPeriod, [&world] { world.RefreshAnswers(); });
  Every(world, kEntryTickPeriod, [&world] {
    for (const auto& host : world.hosts) {
      if (host->Serving()) host->Tick();
    }
  });
  Every(world, kGossipPeriod, [&world] {
    for (const auto& host : world.hosts) {
      if (host->Serving()) host->Gossip();
    }
  });
  Every(world, kPollPeriod, [&world] {
    for (std::uint32_t i = 0; i < kTargets; ++i) {
      for (Host* steward : world.StewardsOf(i)) steward->PollTarget(i);
    }
  });
}

/// What must hold once all work has ended and all faults are over.
void CheckEnd(World& world, const Plan& plan) {
  std::uint32_t crashes = 0;
  for (const auto& target : world.targets) crashes += target->poison_crashes();
  // A host that did not hear of the first crashes can't know better.
  const bool heard =
      !Has(plan, {FaultKind::kCrashHost, FaultKind::kPauseHost,
                  FaultKind::kCutLink, FaultKind::kDropMessage,
                  FaultKind::kDelayMessage, FaultKind::kStopHost});
  const auto poisons = std::count_if(
      plan.faults.begin(), plan.faults.end(),
      [](const Fault& fault) { return fault.kind == FaultKind::kPoison; });
  if (heard && crashes > kPoisonCrashes * poisons) {
    world.checks.Fail(Promise::kPoison, std::to_string(crashes) + " crashes");
  }
  for (const auto& target : world.targets) {
    if (target->running() == 0) continue;
    world.checks.Fail(Promise::kNoLeak,
                      target->info().name.value + " still runs " +
                          ToString(target->List().front().id));
  }
  for (const auto& [id, submission] : world.checks.submissions()) {
    if (submission.final) continue;
    if (world.Named(id.host)->DiedAt(id.incarnation)) continue;
    world.checks.Fail(Promise::kOneFinalAnswer, "no answer " + ToString(id));
  }
}

}  // namespace

World::World(const Plan& plan, const Sabotage& hooks)
    : sabotage(hooks), network(plan) {
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    targets.push_back(std::make_unique<FakeTarget>(network, TargetOf(i), i));
  }
  for (std::uint32_t i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>(*this, i));
  }
}

World::~World() = default;

Host* World::Named(const HostName& name) {
  return hosts.at(name.value.back() - '0').get();
}

void World::RefreshAnswers() {
  std::vector<Host*> named;
  for (const auto& host : hosts) {
    if (host->in_answers()) named.push_back(host.get());
  }
  answers.push_front(std::move(named));
  if (answers.size() > kAnswersKept) answers.pop_back();
}

Host* World::AnswerFor(std::uint64_t choice) {
  const auto& named = answers[(choice >> kAgeShift) % answers.size()];
  for (std::size_t i = 0; i < named.size(); ++i) {
    Host* host = named[(choice + i) % named.size()];
    if (host->alive()) return host;
    if (!host->stopped()) continue;
    checks.Fail(Promise::kPlannedStop, "an answer outlived its host");
  }
  return nullptr;
}

std::uint32_t World::TargetNumber(const TargetName& name) const {
  return static_cast<std::uint32_t>(name.value.back() - '0');
}

std::vector<Host*> World::StewardsOf(std::uint32_t target) {
  const std::size_t wanted =
      network.Active(FaultKind::kTwoStewards, target, kTargets) ? 2 : 1;
  std::vector<Host*> found;
  for (std::uint32_t i = 0; i < kHosts && found.size() < wanted; ++i) {
    Host* host = hosts[(target + i) % kHosts].get();
    if (host->Serving()) found.push_back(host);
  }
  return found;
}

void World::SweepCancel(std::uint32_t target, const AttemptId& attempt) {
  const auto list = targets[target]->List();
  const auto run =
      std::find_if(list.begin(), list.end(),
                   [&](const auto& item) { return item.id == attempt; });
  if (run == list.end()) return;
  targets[target]->Cancel(attempt);
  if (run->expires_in <= Duration::zero()) return;
  Host* owner = Named(attempt.request.host);
  const auto died = owner->DiedAt(attempt.request.incarnation);
  const bool window = died && network.now() - *died < kResumeWindow;
  const bool live = !died && owner->Streams(attempt);
  if (window || live) {
    checks.Fail(Promise::kLiveStreamKept, "cancelled " + ToString(attempt));
  }
}

RunReport Run(const Plan& plan, const Sabotage& sabotage) {
  World world(plan, sabotage);
  for (const auto& host : world.hosts) host->Start();
  Callers callers(world, plan.seed);
  callers.Plan();
  for (const Fault& fault : plan.faults) Schedule(world, callers, fault);
  StartClocks(world);
  world.network.RunUntil(kStart + kHorizon);
  CheckEnd(world, plan);
  RunReport report;
  report.violations = world.checks.violations();
  report.faults = world.network.injected();
  for (const Fault& fault : plan.faults) {
    if (fault.kind <= FaultKind::kCrashTarget ||
        fault.kind == FaultKind::kSilence ||
        fault.kind == FaultKind::kCallerGone) {
      ++report.faults;
    }
  }
  for (const auto& [id, submission] : world.checks.submissions()) {
    ++report.requests;
    if (!submission.final) {
      ++report.unanswered;
      continue;
    }
    const Errc code = submission.final->code;
    ++report.codes[Info(code).name];
    if (code == Errc::kOk) ++report.done;
  }
  return report;
}

std::string Describe(const Plan& plan, const RunReport& report) {
  std::string text = "seed " + std::to_string(plan.seed) + "\n";
  for (const Fault& fault : plan.faults) text += "  " + ToString(fault) + "\n";
  for (const Violation& violation : report.violations) {
    text += "  broken: " + std::string(ToString(violation.promise)) + ": " +
            violation.detail + "\n";
  }
  return text;
}

}  // namespace comfreyflow::explore
