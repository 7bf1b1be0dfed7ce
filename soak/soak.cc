// Starts the hosts, carries the disturbances out, ends all.
#include "soak/soak.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <random>
#include <set>
#include <utility>

#include "http/client.h"
#include "node/clock.h"
#include "platform/settings.h"
#include "soak/callers.h"
#include "soak/host-process.h"
#include "soak/proxy.h"
#include "soak/schedule.h"
#include "soak/site.h"

namespace comfreyflow::soak {
namespace {

namespace asio = boost::asio;
using comfreyflow::detail::Now;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Hosts find each other and become ready.
constexpr Duration kSettleTime = seconds(3);
constexpr Duration kTick = milliseconds(20);
constexpr Duration kRestartPause = milliseconds(300);
constexpr Duration kDrainTime = milliseconds(3000);
/// A target that left is back after this time.
constexpr Duration kAwayTime = milliseconds(1500);
/// An older report arrives so long after the one that the target leaves, and
/// the next one so long after that.
constexpr Duration kLateReport = milliseconds(2500);
constexpr Duration kNextReport = milliseconds(1200);
constexpr Duration kReportPause = seconds(1);
constexpr std::size_t kTogether = 3;
constexpr int kStormChanges = 5;
constexpr Duration kStormGap = milliseconds(150);
/// How long a store that is rewound is away, and how old its copy is.
constexpr Duration kShortestAway = milliseconds(200);
constexpr Duration kLongestAway = milliseconds(2000);
constexpr Duration kYoungestCopy = milliseconds(500);
constexpr Duration kOldestCopy = milliseconds(10'000);
constexpr Duration kCopyPause = milliseconds(250);
/// Targets and the operator write again within this time of its return.
constexpr Duration kWritingAgain = milliseconds(1800);
constexpr std::size_t kSeeds = 3;
constexpr Duration kLately = seconds(1);
/// Where few disturbances are drawn, keys change besides.
constexpr Duration kKeyPause = seconds(4);
/// In `Mix::kTold` a target in use says that it leaves, besides what is drawn.
constexpr Duration kTellPause = seconds(4);
constexpr Duration kTellLife = seconds(8);
/// What callers of `Mix::kStops` do.
constexpr double kSlowShare = 0.1;
constexpr double kStaleShare = 0.5;
/// And of `Mix::kCopies`.
constexpr double kFewStreams = 0.2;
constexpr double kRepeatShare = 0.9;
/// A renamed target's entry follows within this time.
constexpr Duration kLongestRename = milliseconds(300);
constexpr Duration kRenamePause = milliseconds(500);
/// In `Mix::kStops` one host of so many stops at once.
constexpr std::size_t kHostsAStop = 12;
/// Targets fall silent once in the last third of a stop.
constexpr Duration kLateSilence = milliseconds(1200);
/// Limits that targets name, in requests a second.
constexpr std::array kLimits = {1.0, 1.5, 3.0, 0.4};

class Soak {
 public:
  explicit Soak(const SoakSettings& settings)
      : settings_(settings),
        site_(io_, records_, settings.seed),
        random_(settings.seed) {
    if (settings.mix == Mix::kCopies) records_.copies.emplace();
  }

  SoakResult Run() {
    AddTargets();
    AddHosts();
    for (auto& host : hosts_) host->Start();
    Callers callers(io_, records_, Paths(), settings_.seed);
    const Time begin = Now();
    At(kSettleTime, [&callers, this] { callers.Start(settings_.callers); });
    const Duration end = kSettleTime + settings_.length;
    for (const auto& event : Draw(settings_.seed, kSettleTime, end,
                                  settings_.mix, settings_.only)) {
      At(event.at, [this, event] { Carry(event); });
    }
    for (Duration at = kSettleTime;
         settings_.mix != Mix::kMixed && settings_.only.empty() && at < end;
         at += kKeyPause) {
      At(at, [this] { site_.ChangeKey(); });
    }
    for (Duration at = kSettleTime;
         settings_.mix == Mix::kTold && settings_.only.empty() && at < end;
         at += kTellPause) {
      At(at, [this, at] { Tell(InUse(at.count()), kTellLife); });
    }
    const Duration last = end + LongestLife(settings_.mix) + seconds(1);
    At(last, [this] { records_.quiet_from = Now(); });
    At(last + settings_.quiet, [&callers, this] {
      callers.Stop();
      AskHosts();
    });
    while (Now() - begin < last + settings_.quiet + seconds(5)) Tick();
    records_.over = Now();
    return Result();
  }

 private:
  void At(Duration time, std::function<void()> action) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, time);
    timer->async_wait([timer, action = std::move(action)](
                          const boost::system::error_code&) { action(); });
  }

  void Tick() {
    const Time begin = Now();
    io_.run_for(kTick);
    standstill_ = std::max(standstill_, Now() - begin - kTick);
    if (settings_.mix == Mix::kRewound) KeepCopy();
    site_.ReadOrders();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i]->Running() || restarting_[i]) continue;
      restarting_[i] = true;
      NoteGone(i);
      At(kRestartPause, [this, i] { Restart(i); });
    }
  }

  /// Open disturbances of a host whose process has ended.
  std::vector<Disturbance*> OpenAt(std::size_t host) {
    std::vector<Disturbance*> out;
    for (auto& disturbance : records_.disturbances) {
      if (disturbance.subject == Subject::kHost && disturbance.number == host &&
          !disturbance.until) {
        out.push_back(&disturbance);
      }
    }
    return out;
  }

  /// Whether no signal of the soak ended the host's last process.
  bool EndedByItself(std::size_t host) {
    const int status = hosts_[host]->status();
    const int signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    // A process that has just started does not handle signals yet.
    if (signal == SIGTERM || signal == SIGHUP) return false;
    if (OpenAt(host).empty()) return true;
    return signal != SIGKILL && status != 0;
  }

  void NoteGone(std::size_t host) {
    if (EndedByItself(host)) {
      records_.ends.push_back({host, Now(), hosts_[host]->status()});
    }
    for (Disturbance* disturbance : OpenAt(host)) disturbance->gone = Now();
  }

  void Restart(std::size_t host) {
    restarting_[host] = false;
    hosts_[host]->Start();
    for (Disturbance* disturbance : OpenAt(host)) {
      disturbance->until = Now() + kSettleTime;
    }
  }

  /// Asks each host which hosts it takes for alive.
  void AskHosts() {
    records_.hosts_known.assign(hosts_.size(), 0);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      http::Request request;
      request.method = "GET";
      request.path = "/dump";
      client_.Fetch(hosts_[i]->At(platform::kMetricsPort), std::move(request),
                    {}, [this, i](http::CallEnd, const http::Response& answer) {
                      records_.hosts_known[i] = LiveHosts(answer.body);
                    });
    }
  }

  static std::size_t LiveHosts(const std::string& dump) {
    const auto json = nlohmann::json::parse(dump, nullptr, false);
    if (!json.is_object() || !json.contains("hosts")) return 0;
    return static_cast<std::size_t>(std::count_if(
        json["hosts"].begin(), json["hosts"].end(),
        [](const auto& host) { return host.value("state", "") == "alive"; }));
  }

  void AddTargets() {
    for (int i = 0; i < settings_.targets; ++i) {
      site_.AddTarget(kEngineService);
    }
    for (int i = 0; i < std::max(2, settings_.targets / 3); ++i) {
      site_.AddTarget(kPlainService);
    }
  }

  void AddHosts() {
    const auto count = static_cast<std::size_t>(std::clamp<std::size_t>(
        settings_.hosts, 1, platform::kMostLoopbackHosts));
    restarting_.assign(count, false);
    for (std::size_t i = 0; i < count; ++i) {
      HostPlan plan;
      const bool is_before = !settings_.before.empty() && i % 2 == 1;
      records_.before.push_back(is_before);
      plan.program = is_before ? settings_.before : settings_.program;
      plan.fault = is_before ? "" : settings_.fault;
      plan.directory = settings_.directory;
      plan.name = "host" + std::to_string(i);
      plan.failure_domain = "z" + std::to_string(i % 3);
      plan.ip = platform::LoopbackIp(i);
      plan.stop_time = StopTimeOf(settings_.mix);
      plan.evacuates = settings_.mix == Mix::kEvacuated;
      plan.store = site_.AddStorePath().address();
      for (std::size_t k = 0; k < std::min(kSeeds, count); ++k) {
        plan.seeds.push_back(platform::LoopbackIp(k));
      }
      hosts_.push_back(std::make_unique<HostProcess>(plan));
      caller_paths_.push_back(
          std::make_unique<Proxy>(io_, hosts_.back()->At(kCallerPort)));
    }
  }

  CallerPaths Paths() {
    CallerPaths paths;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      paths.directories.push_back(hosts_[i]->At(kDirectoryPort));
      paths.addresses.push_back(hosts_[i]->At(kCallerPort));
      paths.paths.push_back(caller_paths_[i]->address());
    }
    paths.pick_key = [this] { return site_.PickKey(); };
    if (settings_.mix == Mix::kStops) {
      paths.slow_share = kSlowShare;
      paths.stale_share = kStaleShare;
    }
    if (settings_.mix == Mix::kCopies) {
      paths.stream_share = kFewStreams;
      paths.repeat_share = kRepeatShare;
    }
    return paths;
  }

  // ---- Disturbances ----

  Disturbance& Note(Subject subject, std::size_t number, Trouble trouble,
                    std::optional<Duration> life) {
    Disturbance disturbance{subject, number, ToString(trouble), Now(), {}};
    if (life) disturbance.until = Now() + *life;
    return records_.disturbances.emplace_back(std::move(disturbance));
  }

  void Kill(std::size_t host, Trouble trouble) {
    Note(Subject::kHost, host, trouble, std::nullopt);
    hosts_[host]->Signal(SIGKILL);
  }

  /// The time to stop runs from the first SIGTERM on.
  void Stop(std::size_t host) {
    if (restarting_[host]) return;
    if (OpenAt(host).empty()) {
      Note(Subject::kHost, host, Trouble::kHostStop, std::nullopt).planned =
          true;
    }
    hosts_[host]->Signal(SIGTERM);
  }

  /// Hosts next to each other stop while targets fall silent late.
  void StopBesideSilence(const Event& event, std::size_t host) {
    for (std::size_t i = 0; i <= hosts_.size() / kHostsAStop; ++i) {
      Stop((host + i) % hosts_.size());
    }
    const Duration stop = StopTimeOf(settings_.mix);
    const Duration late =
        Duration(static_cast<Duration::rep>(event.pick / 2)) % (stop / 6);
    At(2 * stop / 3 + late, [this, pick = event.pick] {
      for (std::size_t i = 0; i < kTogether; ++i) {
        site_.Pause(InUse(pick + i), kLateSilence);
      }
    });
  }

  void Pause(std::size_t host, Duration life) {
    Note(Subject::kHost, host, Trouble::kHostPause, life);
    hosts_[host]->Signal(SIGSTOP);
    At(life, [this, host] { hosts_[host]->Signal(SIGCONT); });
  }

  /// Disturbs a path and heals it after a while.
  void Disturb(Proxy& path, PathFault fault, Subject subject,
               std::size_t number, const Event& event) {
    Note(subject, number, event.trouble, event.life);
    path.Set(fault);
    At(event.life, [&path] { path.Set(PathFault::kNone); });
  }

  void DisturbStore(PathFault fault, const Event& event) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Disturb(site_.store_path(i), fault, Subject::kStorePath, i, event);
    }
  }

  void Misbehave(std::size_t target, Behaviour behaviour, const Event& event) {
    Note(Subject::kTarget, target, event.trouble, event.life);
    site_.SetBehaviour(target, behaviour);
    At(event.life,
       [this, target] { site_.SetBehaviour(target, Behaviour::kSound); });
  }

  /// Listed as leaving, then gone, then back.
  void Leave(std::size_t target, Duration life) {
    if (!leaving_.insert(target).second) return;
    const std::size_t number = records_.leaving.size();
    records_.leaving.push_back({target, Now(), std::nullopt});
    site_.List(target, "draining");
    At(kDrainTime, [this, target] { site_.Unlist(target); });
    At(kDrainTime + life, [this, target, number] {
      records_.leaving[number].until = Now();
      leaving_.erase(target);
      site_.List(target, "ready");
    });
  }

  /// Leaves for long and serves on, told or untold, then starts anew.
  void Depart(std::size_t target, bool told, Duration life) {
    if (!leaving_.insert(target).second) return;
    const std::size_t number = records_.leaving.size();
    records_.leaving.push_back({target, Now(), std::nullopt});
    told ? site_.List(target, "draining") : site_.Unlist(target);
    At(life, [this, target] { site_.Unlist(target); });
    At(life + kAwayTime, [this, target, number] {
      records_.leaving[number].until = Now();
      leaving_.erase(target);
      site_.Restart(target);
    });
  }

  void DepartTogether(std::size_t first, Duration life) {
    for (std::size_t i = 0; i < kTogether; ++i) {
      Depart((first + i) % site_.targets(), i % 2 == 0, life);
    }
  }

  void DepartWithLateReport(std::size_t target, Duration life) {
    if (leaving_.contains(target)) return;
    Depart(target, true, life);
    if (life < kLateReport + kNextReport) return;
    At(kLateReport, [this, target] { site_.ListLate(target, "ready"); });
    At(kLateReport + kNextReport,
       [this, target] { site_.List(target, "draining"); });
  }

  /// Says in its answers that it leaves, while its reports call it ready; goes
  /// and comes back as a new start.
  void Tell(std::size_t target, Duration life) {
    if (!leaving_.insert(target).second) return;
    site_.SetTells(target, true);
    for (Duration at = kReportPause; at < life; at += kReportPause) {
      At(at, [this, target] { site_.List(target, "ready"); });
    }
    At(life, [this, target] { site_.Unlist(target); });
    At(life + kAwayTime, [this, target] {
      leaving_.erase(target);
      site_.SetTells(target, false);
      site_.Restart(target);
    });
  }

  /// Names a limit, another one after half of the time, then none.
  void Limit(std::size_t target, const Event& event) {
    if (!limited_.insert(target).second) return;
    const double first = kLimits[event.pick / 7 % kLimits.size()];
    const double second = kLimits[event.pick / 31 % kLimits.size()];
    site_.SetLimit(target, first);
    At(event.life / 2, [this, target, second] {
      if (!leaving_.contains(target)) site_.SetLimit(target, second);
    });
    At(event.life, [this, target] {
      limited_.erase(target);
      site_.SetLimit(target, std::nullopt);
    });
  }

  /// Each `step`-th target of the service of `target`.
  void LimitMany(std::size_t target, std::size_t step, const Event& event) {
    std::size_t number = 0;
    for (std::size_t i = 0; i < site_.targets(); ++i) {
      if (site_.ServiceOf(i) != site_.ServiceOf(target)) continue;
      if (number++ % step == 0) Limit(i, event);
    }
  }

  /// Another writer's bytes stand in the entry until the target reports again.
  void Overwrite(std::size_t target, Duration life) {
    if (!leaving_.insert(target).second) return;
    const std::size_t number = records_.leaving.size();
    records_.leaving.push_back({target, Now(), std::nullopt});
    site_.ListUnreadable(target);
    At(life, [this, target, number] {
      records_.leaving[number].until = Now();
      leaving_.erase(target);
      site_.List(target, "ready");
    });
  }

  /// An entry beside the others that no reader expects, one at a time and each
  /// kind in turn. A target that leaves meanwhile shows who follows the list.
  void ListOddEntry(const Event& event) {
    if (std::exchange(has_odd_entry_, true)) return;
    const std::size_t kind = settings_.seed + records_.odd_entries.size();
    records_.odd_entries.push_back(
        {site_.ListOdd(kind), Now(), Now() + event.life});
    At(event.life / 4,
       [this, event] { Depart(InUse(event.pick), true, 3 * event.life / 4); });
    At(event.life, [this] {
      site_.UnlistOdd();
      has_odd_entry_ = false;
    });
  }

  /// A moment's disturbance: what connects anew works.
  void ForgetLinks(std::size_t host, Trouble trouble) {
    Note(Subject::kStorePath, host, trouble, Duration::zero());
    site_.store_path(host).ForgetLinks();
  }

  /// What leaves meanwhile does not come back with the lapse's end.
  void Lapse(std::size_t target, Duration life) {
    if (leaving_.contains(target)) return;
    Note(Subject::kTarget, target, Trouble::kTargetLapses, life);
    site_.Unlist(target);
    At(life, [this, target] {
      if (!leaving_.contains(target)) site_.List(target, "ready");
    });
  }

  void Storm() {
    for (int i = 0; i < kStormChanges; ++i) {
      At(i * kStormGap, [this] { site_.ChangeKey(); });
    }
  }

  /// Keeps copies of the store, as old as a drill may need.
  void KeepCopy() {
    if (!copies_.empty() && Now() - copies_.back().first < kCopyPause) return;
    copies_.emplace_back(Now(), site_.store().TakeCopy());
    while (Now() - copies_.front().first > kOldestCopy) copies_.pop_front();
  }

  /// The youngest copy that is at least so old.
  const platform::FakeStore::Copy& CopyOf(Duration age) const {
    const auto at = std::find_if(
        copies_.rbegin(), copies_.rend(),
        [age](const auto& copy) { return Now() - copy.first >= age; });
    return at == copies_.rend() ? copies_.front().second : at->second;
  }

  void RewindStore(const Event& event) {
    if (std::exchange(is_rewinding_, true)) return;
    std::mt19937_64 random(event.pick);
    const auto draw = [&random](Duration least, Duration most) {
      return Duration(std::uniform_int_distribution<Duration::rep>(
          least.count(), most.count())(random));
    };
    const Duration away = draw(kShortestAway, kLongestAway);
    const Duration age = draw(kYoungestCopy, kOldestCopy);
    const bool catches_up = random() % 2 == 0;
    const PathFault fault =
        random() % 2 == 0 ? PathFault::kSilent : PathFault::kReset;
    records_.rewinds.push_back({Now(), Now() + away});
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Note(Subject::kStorePath, i, event.trouble, away);
      site_.store_path(i).Set(fault);
    }
    At(away, [this, copy = CopyOf(age), catches_up] {
      site_.Rewind(copy, catches_up);
      is_rewinding_ = false;
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        site_.store_path(i).Set(PathFault::kNone);
      }
    });
    At(away + draw({}, kWritingAgain), [this] { site_.WriteConfigAgain(); });
    for (std::size_t i = 0; i < site_.targets(); ++i) {
      At(away + draw({}, kWritingAgain),
         [this, i] { site_.WriteEntryAgain(i); });
    }
  }

  /// Kills all hosts or some. The store, which serves the others, turns some
  /// away when they are back, until the event is over. Hosts that start
  /// together share the placers.
  void TurnAway(const Event& event) {
    if (std::exchange(is_turning_away_, true)) return;
    std::mt19937_64 random(event.pick);
    std::vector<std::size_t> hosts(hosts_.size());
    std::iota(hosts.begin(), hosts.end(), 0);
    std::shuffle(hosts.begin(), hosts.end(), random);
    const std::size_t most = std::max<std::size_t>(1, (hosts.size() - 1) / 2);
    const std::size_t turned_away = 1 + random() % most;
    const bool kills_all = random() % 4 != 0;
    const Time killed_at = Now();
    const PathFault fault =
        random() % 2 == 0 ? PathFault::kSilent : PathFault::kReset;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      const std::size_t host = hosts[i];
      if (kills_all || i < turned_away) {
        Kill(host, event.trouble);
        records_.disturbances.back().from = killed_at;
      }
      if (i >= turned_away) continue;
      Disturb(site_.store_path(host), fault, Subject::kStorePath, host, event);
    }
    records_.turned_away.push_back(
        {killed_at, killed_at + kRestartPause, killed_at + event.life});
    At(event.life, [this] { is_turning_away_ = false; });
  }

  void Down(const Event& event) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Note(Subject::kStorePath, i, event.trouble, event.life);
    }
    site_.store().SetDown(true);
    At(event.life, [this] { site_.store().SetDown(false); });
  }

  void Carry(const Event& event) {
    const std::size_t host = event.pick % hosts_.size();
    const std::size_t target = event.pick % site_.targets();
    story_.push_back(Describe(event, host, target));
    if (event.trouble == Trouble::kStoreRewinds) return RewindStore(event);
    if (event.trouble == Trouble::kTimeoutChange) return site_.ChangeTimeouts();
    if (event.trouble == Trouble::kTargetPauses) {
      return site_.Pause(InUse(event.pick), event.life);
    }
    if (event.trouble == Trouble::kTargetOddEntry) return ListOddEntry(event);
    if (event.trouble == Trouble::kDomainEvacuated) return Evacuate(event);
    if (event.trouble == Trouble::kHostsTurnedAway) return TurnAway(event);
    if (event.trouble >= Trouble::kTargetCopies) {
      return CarryCopies(event, host);
    }
    if (event.trouble <= Trouble::kHostsKill) return CarryHost(event, host);
    if (event.trouble <= Trouble::kStoreAnswersLost) {
      return CarryStore(event, host);
    }
    if (event.trouble <= Trouble::kTargetLapses) {
      if (settings_.mix != Mix::kStops) return CarryTarget(event, target);
      return CarryInUse(event);
    }
    if (event.trouble <= Trouble::kCallersSlow) return CarryOther(event, host);
    if (event.trouble <= Trouble::kTargetReportLate) {
      return CarryLeaving(event, host, target);
    }
    CarryTold(event);
  }

  /// At most two of the three domains are out of service at once.
  void Evacuate(const Event& event) {
    const std::string domain = Site::DomainOf(event.pick % 3);
    if (evacuated_.size() == 2 || !evacuated_.insert(domain).second) return;
    site_.SetEvacuated(domain, true);
    const std::size_t first = records_.evacuated.size();
    for (std::size_t i = 0; i < site_.targets(); ++i) {
      if (Site::DomainOf(i) != domain) continue;
      records_.evacuated.push_back({i, Now(), std::nullopt});
    }
    const std::size_t end = records_.evacuated.size();
    At(event.life, [this, domain, first, end] {
      for (std::size_t i = first; i < end; ++i)
        records_.evacuated[i].until = Now();
      evacuated_.erase(domain);
      site_.SetEvacuated(domain, false);
    });
  }

  std::vector<std::size_t> PlainTargets() const {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < site_.targets(); ++i) {
      if (site_.ServiceOf(i) == kPlainService) out.push_back(i);
    }
    return out;
  }

  /// The host reaches no plain target, so that others carry its requests.
  void Cut(std::size_t host, Duration life) {
    std::vector<std::string> ports;
    for (const std::size_t target : PlainTargets()) {
      const std::string address = site_.target_path(target).address();
      ports.push_back(address.substr(address.find(':') + 1));
    }
    hosts_[host]->CutFrom(ports);
    for (const std::size_t target : PlainTargets()) {
      Note(Subject::kTarget, target, Trouble::kHostCut, Duration::zero());
      site_.target_path(target).Set(PathFault::kReset);
      site_.target_path(target).Set(PathFault::kNone);
    }
    At(life, [this, host] { hosts_[host]->CutFrom({}); });
  }

  /// Requests that come before the new entry are told 421, and may come again
  /// behind it.
  void Rename(std::size_t target) {
    std::uniform_int_distribution<Duration::rep> late(0,
                                                      kLongestRename.count());
    site_.Rename(target, Duration(late(random_)));
  }

  void CarryCopies(const Event& event, std::size_t host) {
    const auto plain = PlainTargets();
    const std::size_t target = plain[event.pick / 3 % plain.size()];
    switch (event.trouble) {
      case Trouble::kTargetCopies:
        return Misbehave(InUse(event.pick), Behaviour::kCopies, event);
      case Trouble::kServiceCopies:
        for (const std::size_t one : plain) {
          Misbehave(one, Behaviour::kCopies, event);
        }
        return;
      case Trouble::kTargetRenamed:
        for (const std::size_t one : plain) {
          if (one != target) Misbehave(one, Behaviour::kCopies, event);
        }
        for (Duration at{}; at < event.life; at += kRenamePause) {
          At(at, [this, target] { Rename(target); });
        }
        return;
      default:
        Cut(host, event.life);
    }
  }

  /// A target that got requests lately: one that gets none tells nobody
  /// anything.
  std::size_t InUse(std::uint64_t pick) const {
    std::vector<std::size_t> used;
    for (auto run = records_.runs.rbegin(); run != records_.runs.rend();
         ++run) {
      if (Now() - run->at > kLately) break;
      if (!leaving_.contains(run->target)) used.push_back(run->target);
    }
    if (used.empty()) return pick % site_.targets();
    std::sort(used.begin(), used.end());
    used.erase(std::unique(used.begin(), used.end()), used.end());
    return used[pick % used.size()];
  }

  void CarryTold(const Event& event) {
    const std::size_t target = InUse(event.pick);
    switch (event.trouble) {
      case Trouble::kTargetTells:
        return Tell(target, event.life);
      case Trouble::kTargetLimits:
        return Limit(target, event);
      case Trouble::kTargetsLimit:
        return LimitMany(target, 3, event);
      case Trouble::kServiceLimits:
        return LimitMany(target, 1, event);
      case Trouble::kTargetRests:
        return Misbehave(target, Behaviour::kRests, event);
      default:
        return Misbehave(target, Behaviour::kPours, event);
    }
  }

  void CarryLeaving(const Event& event, std::size_t host, std::size_t target) {
    switch (event.trouble) {
      case Trouble::kStoreForgetsLinks:
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
          ForgetLinks(i, event.trouble);
        }
        return;
      case Trouble::kStoreForgetsHostLinks:
        return ForgetLinks(host, event.trouble);
      case Trouble::kTargetDrains:
        return Depart(target, true, event.life);
      case Trouble::kTargetGoes:
        return Depart(target, false, event.life);
      case Trouble::kTargetsGo:
        return DepartTogether(target, event.life);
      case Trouble::kTargetUnreadable:
        return Overwrite(target, event.life);
      default:
        return DepartWithLateReport(target, event.life);
    }
  }

  void CarryHost(const Event& event, std::size_t host) {
    switch (event.trouble) {
      case Trouble::kHostKill:
        return Kill(host, event.trouble);
      case Trouble::kHostStop:
        if (settings_.mix != Mix::kStops) return Stop(host);
        return StopBesideSilence(event, host);
      case Trouble::kHostPause:
        return Pause(host, event.life);
      case Trouble::kHostReload:
        records_.reloads.push_back({host, Now()});
        return hosts_[host]->Signal(SIGHUP);
      default:
        for (std::size_t i = 0; i < hosts_.size(); i += 2) {
          Kill((host + i) % hosts_.size(), event.trouble);
        }
    }
  }

  void CarryStore(const Event& event, std::size_t host) {
    switch (event.trouble) {
      case Trouble::kStoreSilent:
        return DisturbStore(PathFault::kSilent, event);
      case Trouble::kStoreReset:
        return DisturbStore(PathFault::kReset, event);
      case Trouble::kStoreSlow:
        return DisturbStore(PathFault::kSlow, event);
      case Trouble::kStoreDown:
        return Down(event);
      case Trouble::kStoreForgets:
        return site_.store().Forget();
      default: {
        const bool answers = event.trouble == Trouble::kStoreAnswersLost;
        Disturb(site_.store_path(host),
                answers ? PathFault::kSilentBack : PathFault::kSilent,
                Subject::kStorePath, host, event);
      }
    }
  }

  /// Resets several targets at once, so that streams are resumed.
  void CarryInUse(const Event& event) {
    const bool resets = event.trouble == Trouble::kTargetReset;
    for (std::size_t i = 0; i < (resets ? kTogether : 1); ++i) {
      CarryTarget(event, InUse(event.pick + i));
    }
  }

  void CarryTarget(const Event& event, std::size_t target) {
    switch (event.trouble) {
      case Trouble::kTargetDark:
        return Disturb(site_.target_path(target), PathFault::kSilent,
                       Subject::kTarget, target, event);
      case Trouble::kTargetReset:
        return Disturb(site_.target_path(target), PathFault::kReset,
                       Subject::kTarget, target, event);
      case Trouble::kTargetErrors:
        return Misbehave(target, Behaviour::kErrors, event);
      case Trouble::kTargetRefuses:
        return Misbehave(target, Behaviour::kRefuses, event);
      case Trouble::kTargetLoses:
        return Misbehave(target, Behaviour::kLoses, event);
      case Trouble::kTargetHangs:
        return Misbehave(target, Behaviour::kHangs, event);
      case Trouble::kTargetLeaves:
        return Leave(target, event.life);
      default:
        Lapse(target, event.life);
    }
  }

  void CarryOther(const Event& event, std::size_t host) {
    switch (event.trouble) {
      case Trouble::kKeyChange:
        return site_.ChangeKey();
      case Trouble::kKeyStorm:
        return Storm();
      default: {
        const bool slow = event.trouble == Trouble::kCallersSlow;
        Disturb(*caller_paths_[host],
                slow ? PathFault::kSlow : PathFault::kReset,
                Subject::kCallerPath, host, event);
      }
    }
  }

  static std::string Describe(const Event& event, std::size_t host,
                              std::size_t target) {
    const auto ms = [](Duration time) {
      return std::to_string(
          std::chrono::duration_cast<milliseconds>(time).count());
    };
    return ms(event.at) + " ms: " + ToString(event.trouble) + ", host " +
           std::to_string(host) + " or target " + std::to_string(target) +
           ", " + ms(event.life) + " ms";
  }

  SoakResult Result() {
    SoakResult out;
    out.requests = records_.sent.size();
    out.served = static_cast<std::size_t>(std::count_if(
        records_.sent.begin(), records_.sent.end(), [](const Sent& sent) {
          return sent.whole && sent.status >= 200 && sent.status < 300;
        }));
    for (const auto& sent : records_.sent) {
      sent.left ? ++out.left : ++out.statuses[sent.status];
    }
    out.disturbances = story_.size();
    out.standstill = standstill_;
    for (const auto& host : hosts_) {
      if (!records_.copies) break;
      records_.copies->carried += host->LogLines("\"request_carried\"");
    }
    Bounds bounds;
    bounds.stop = StopTimeOf(settings_.mix);
    out.breaches = Check(records_, bounds, settings_.timed);
    const auto by_before = std::stable_partition(
        out.breaches.begin(), out.breaches.end(),
        [](const Breach& breach) { return !breach.is_before; });
    out.breaches_before.assign(by_before, out.breaches.end());
    out.breaches.erase(by_before, out.breaches.end());
    out.judged = CountJudged(records_, bounds, settings_.timed);
    out.story = std::move(story_);
    return out;
  }

  const SoakSettings settings_;
  asio::io_context io_{1};
  http::Client client_{io_};
  Records records_;
  Site site_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  std::vector<std::unique_ptr<Proxy>> caller_paths_;
  std::vector<bool> restarting_;
  Duration standstill_{};
  std::deque<std::pair<Time, platform::FakeStore::Copy>> copies_;
  bool is_rewinding_ = false;
  bool is_turning_away_ = false;
  bool has_odd_entry_ = false;
  std::set<std::size_t> leaving_;    ///< Targets.
  std::set<std::string> evacuated_;  ///< Failure domains.
  std::set<std::size_t> limited_;    ///< Targets.
  std::vector<std::string> story_;
};

}  // namespace

SoakResult RunSoak(const SoakSettings& settings) {
  return Soak(settings).Run();
}

}  // namespace comfreyflow::soak
