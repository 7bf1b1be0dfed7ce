// Datagrams, time-outs and state of placement requests.
#include "gateway/placement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "comfreyflow/holder.h"
#include "comfreyflow/target-rests.h"
#include "gateway/limit-exchange.h"
#include "gateway/placement-socket.h"
#include "node/clock.h"
#include "node/log.h"
#include "node/run-loop.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;
using std::chrono::milliseconds;

/// An unanswered placement request is sent again after this time, which is a
/// little over a round trip between failure domains.
constexpr Duration kUnansweredResendDelay = milliseconds(30);
/// A holder that has not answered for this long counts as unresponsive.
constexpr Duration kHolderTimeout = milliseconds(100);
/// An unresponsive host is not chosen as holder for this long, unless a
/// datagram from it arrives.
constexpr Duration kUnresponsiveHostExclusion = std::chrono::seconds(2);
/// Period at which a request that waits at its placer is sent again.
constexpr Duration kWaitingResendPeriod = milliseconds(250);
constexpr Duration kSyncPeriod = milliseconds(500);
/// Maximum time that a new holder waits for the other hosts to report their
/// running work before it grants targets.
constexpr Duration kSyncTimeout = milliseconds(120);
/// Time in which the other hosts learn that this one can't assign targets, and
/// use another holder.
constexpr Duration kStepBackTime = milliseconds(1000);
/// A holder that received no placement request for this long starts over and
/// collects the running work again.
constexpr Duration kHoldingExpiry = std::chrono::seconds(2);
/// Time after the start of a process until it knows its peers.
constexpr Duration kStartupSettleTime = milliseconds(350);
/// Time after the start of a process until it knows the fleet and has heard
/// what the other hosts were granted.
constexpr Duration kFleetLearningTime = std::chrono::seconds(2);
constexpr Duration kBusyTick = milliseconds(10);
constexpr Duration kIdleTick = milliseconds(250);
/// Number of reports still sent for a service after its last work has ended,
/// because datagrams may be lost.
constexpr int kIdleSyncRounds = 4;
constexpr std::size_t kMaxWorkItemsPerDatagram = 400;
/// Period at which a holder recomputes its share of the target limits.
constexpr Duration kLimitShareUpdatePeriod = milliseconds(500);

/// Processes number their requests from their incarnation on, so that no two of
/// a host use the same sequence: an older holder's answer names its asker by
/// host and sequence only. A process stays below the next start's numbers with
/// up to 2^20 requests per millisecond.
std::uint64_t FirstSequence(Incarnation incarnation) {
  constexpr int kSequenceBits = 20;
  return incarnation.value << kSequenceBits;
}

}  // namespace

struct Placement::State : std::enable_shared_from_this<State> {
  /// A request of this host. Invariant: `done` is set exactly while the request
  /// waits for a placement decision.
  struct LocalRequest {
    ServiceName service;
    PlaceJob job;
    Callback done;
    HostName placer_host;   ///< Host that received the placement request.
    Time first_request_at;  ///< Time of the first request to that host.
    Time last_request_at;
    /// That host confirmed that the request waits there.
    bool is_acknowledged = false;
    bool is_placed = false;
    bool is_started = false;
    std::vector<PlacedTarget> targets;
  };

  /// State of this host as the holder of a service's placer.
  struct Holding {
    Time last_placement_request_at;  ///< From any host.
    /// Hosts that reported their running work since this host became the
    /// holder.
    std::set<HostName> synced_hosts;
    /// Time of the last placement request of each host.
    std::map<HostName, Time> last_request_by_host;
    /// When this host became the holder.
    Time taken_at;
    /// When each host last told what other holders granted it.
    std::map<HostName, Time> grants_told_at;
    Time share_update_at;
    /// Whether this host grants the full limits, as of the last update.
    bool grants_all_limits = false;
  };

  State(asio::io_context& io, PlacementSettings initial_settings)
      : settings(std::move(initial_settings)),
        io(io),
        timer(io),
        limits(settings.self, LimitHooks()) {}

  // ---- Local placers ----

  Placer& PlacerOf(const ServiceName& service) {
    const auto [at, added] = placers.try_emplace(service, settings.placer);
    if (added) {
      const auto known = services.find(service);
      if (known != services.end()) {
        at->second.SetEngine(known->second.engine, known->second.streams);
        at->second.SetCold(known->second.cold, Now());
      }
      at->second.SetTargets(targets[service], Now());
      at->second.SetHosts(peers.size());
    }
    return at->second;
  }

  /// Logs and counts what the cost-aware queue of a placer decided.
  void RecordQueueNotes(const ServiceName& service) {
    for (const auto& note : PlacerOf(service).TakeNotes()) {
      ++queue_decisions[{note.outcome, note.measure}];
      LogLine line(Severity::kInfo, Event::kQueueDecision);
      line.With(note.id)
          .With("service", service)
          .With("outcome", ToString(note.outcome))
          .With("by", ToString(note.measure));
      if (note.preferred) line.With("preferred", ToString(*note.preferred));
      line.With("ahead", std::uint64_t{note.ahead});
      if (note.outcome != PlanOutcome::kRefused) continue;
      line.With("retry_after",
                std::chrono::duration_cast<milliseconds>(note.retry_after));
    }
  }

  /// Sends the decisions of a placer to the hosts that requested them.
  void DeliverDecisions(const ServiceName& service) {
    RecordQueueNotes(service);
    for (auto& decision : PlacerOf(service).TakeDecisions()) {
      const RequestId id =
          std::visit([](const auto& typed) { return typed.id; }, decision);
      if (id.host == settings.self) {
        OnDecision(id.sequence, decision);
        continue;
      }
      wire::PlaceAnswerMessage answer;
      answer.sequence = id.sequence;
      answer.asker = id.incarnation;
      answer.number =
          std::visit([](const auto& typed) { return typed.number; }, decision);
      answer.decision = std::move(decision);
      MessagesFor(id.host).answers.push_back(std::move(answer));
    }
  }

  // ---- Requests of this host ----

  HostName HolderOf(const ServiceName& service) const {
    const Time now = Now();
    return HolderAmong(service, [this, now](const HostName& name) {
      const auto excluded = excluded_until.find(name);
      return excluded == excluded_until.end() || excluded->second <= now;
    });
  }

  HostName HolderAmong(
      const ServiceName& service,
      const std::function<bool(const HostName&)>& is_responsive) const {
    std::vector<HolderCandidate> candidates;
    for (const auto& [name, peer] : peers) {
      if (!peer.may_hold || !is_responsive(name)) continue;
      candidates.push_back(
          {name, peer.incarnation, peer.capacity, peer.was_detached});
    }
    const HostName holder = ChooseHolder(candidates, service);
    return holder.value.empty() ? settings.self : holder;
  }

  static bool IsActive(const Holding& state, Time now) {
    return now - state.last_placement_request_at <= kHoldingExpiry;
  }

  /// Records a placement request. A placer that had none recently first waits
  /// for the other hosts to report their running work.
  void RecordPlacementRequest(const ServiceName& service,
                              const HostName& sender, Time now) {
    Holding& state = holding[service];
    state.last_request_by_host[sender] = now;
    if (!IsActive(state, now)) {
      state.synced_hosts.clear();
      state.taken_at = now;
      Placer& placer = PlacerOf(service);
      const Duration wait = is_able ? kSyncTimeout : kStepBackTime;
      placer.HoldUntil(std::max(now + wait, settled_at));
      const bool granted_all_limits = state.grants_all_limits;
      UpdateLimitShare(service, state, now);
      if (!granted_all_limits || !state.grants_all_limits)
        placer.limits().RestartPermits(now);
      LogLine(Severity::kInfo, Event::kPlacerTaken)
          .With("service", service)
          .With("peers", std::uint64_t{peers.size()});
    }
    state.last_placement_request_at = now;
  }

  // ---- Rate limits reported by targets ----

  /// Computes the share of the target limits that this host may grant. Hosts
  /// that are not known to be alive, or that use another holder, may also be
  /// granting targets.
  void UpdateLimitShare(const ServiceName& service, Holding& state, Time now) {
    state.share_update_at = now + kLimitShareUpdatePeriod;
    std::erase_if(state.last_request_by_host, [now](const auto& entry) {
      return now - entry.second > kHoldingExpiry;
    });
    const HostName holder =
        HolderAmong(service, [](const HostName&) { return true; });
    const FleetView view{std::max(fleet.size(now), peers.size()),
                         fleet.RankOf(settings.self), peers.size(),
                         state.last_request_by_host.size(),
                         holder == settings.self};
    const LimitPart part = PartOfLimits(view);
    state.grants_all_limits = part.share >= 1 && view.is_holder;
    PlacerOf(service).SetPart(part, now);
    UpdateUnknownShare(service, state, now);
  }

  /// What hosts got from earlier holders, and have not told, counts as used
  /// until it has left the window of the retry budget.
  void UpdateUnknownShare(const ServiceName& service, const Holding& state,
                          Time now) {
    for (const auto& [name, peer] : peers) fleet.MarkLive(name, now);
    const auto hosts = fleet.SeenSince(now - settings.placer.retries.window);
    const auto unknown =
        std::count_if(hosts.begin(), hosts.end(), [&](const HostName& host) {
          if (host == settings.self) return false;
          const auto told = state.grants_told_at.find(host);
          if (told == state.grants_told_at.end()) return true;
          return !peers.contains(host) && told->second < state.taken_at;
        });
    const Duration window = settings.placer.retries.window;
    const bool is_settled = now - state.taken_at > window;
    // A host that has just started doesn't know yet who else grants.
    const bool knows_nothing =
        settings.expects_peers && now - opened_at <= kFleetLearningTime;
    double share = 0;
    if (knows_nothing) {
      share = 1;
    } else if (!is_settled && !hosts.empty()) {
      share = static_cast<double>(unknown) / static_cast<double>(hosts.size());
    }
    PlacerOf(service).retries().SetUnknownShare(share);
  }

  /// Applies what a host was granted by other holders, and what it knows of
  /// hosts that have ended.
  void OnGrantsTold(const wire::PlaceSyncMessage& sync, const HostName& host,
                    Incarnation incarnation, Time now) {
    RetryWindow& window = PlacerOf(sync.service).retries();
    for (const auto& grants : sync.departed) window.AddDeparted(grants);
    if (!sync.elsewhere) return;
    window.SetElsewhere({host, incarnation, *sync.elsewhere});
    Holding& state = holding[sync.service];
    state.grants_told_at[host] = now;
    UpdateUnknownShare(sync.service, state, now);
  }

  bool HasEnded(const HostName& host, Incarnation incarnation) const {
    if (host == settings.self) return incarnation != settings.incarnation;
    const auto at = peers.find(host);
    return at == peers.end() || at->second.incarnation != incarnation;
  }

  std::vector<HostGrants> DepartedGrants(const ServiceName& service, Time now) {
    const auto at = placers.find(service);
    if (at == placers.end()) return {};
    return at->second.retries().Departed(
        [this](const HostName& host, Incarnation incarnation) {
          return HasEnded(host, incarnation);
        },
        now);
  }

  Incarnation IncarnationOf(const HostName& host) const {
    if (host == settings.self) return settings.incarnation;
    const auto at = peers.find(host);
    return at == peers.end() ? Incarnation{} : at->second.incarnation;
  }

  GrantLog& GrantsOf(const ServiceName& service) {
    return grants.try_emplace(service, settings.placer.retries.window)
        .first->second;
  }

  LimitExchangeHooks LimitHooks() {
    LimitExchangeHooks hooks;
    hooks.limits = [this](const ServiceName& service) -> TargetLimits& {
      return PlacerOf(service).limits();
    };
    hooks.listed =
        [this](const ServiceName& service) -> const std::vector<PoolTarget>& {
      return targets[service];
    };
    hooks.holder = [this](const ServiceName& service) {
      return HolderOf(service);
    };
    hooks.hosts = [this] {
      std::vector<HostName> hosts;
      for (const auto& [name, peer] : peers) hosts.push_back(name);
      return hosts;
    };
    hooks.messages_for = [this](const HostName& host) -> wire::PlaceMessages& {
      return MessagesFor(host);
    };
    return hooks;
  }

  /// Records that a host reported its running work. Once all peers have done
  /// so, the placer may grant targets.
  void OnSync(const ServiceName& service, const HostName& host, Time now) {
    Holding& state = holding[service];
    state.synced_hosts.insert(host);
    Placer& placer = PlacerOf(service);
    if (!is_able || placer.held_until() <= now || now < settled_at) return;
    for (const auto& [name, peer] : peers) {
      if (name != settings.self && !state.synced_hosts.contains(name)) return;
    }
    placer.HoldUntil(now);
  }

  void RequestPlacement(LocalRequest& request) {
    const Time now = Now();
    const HostName holder = HolderOf(request.service);
    if (request.placer_host != holder) {
      request.placer_host = holder;
      request.first_request_at = now;
      request.is_acknowledged = false;
      SendSync(request.service, holder);
      back_offs.ForEach(now, [&](const TargetName& target, Duration left) {
        SendBackOff(request.service, holder, target, left);
      });
      limits.SendAll(request.service, holder, now);
    }
    request.last_request_at = now;
    if (holder == settings.self) {
      const ServiceName service = request.service;
      RecordPlacementRequest(service, settings.self, now);
      PlacerOf(service).Submit(request.job, now);
      request.is_acknowledged = true;
      DeliverDecisions(service);  // May destroy `request`.
      return;
    }
    MessagesFor(holder).requests.push_back({request.service, request.job});
  }

  /// Sends requests that wait at a former holder to the current one.
  void RedirectWaitingRequests() {
    std::vector<std::uint64_t> moved;
    for (const auto& [sequence, request] : local_requests) {
      if (!request.done) continue;
      if (HolderOf(request.service) != request.placer_host)
        moved.push_back(sequence);
    }
    for (const auto sequence : moved) {
      const auto at = local_requests.find(sequence);
      if (at == local_requests.end() || !at->second.done) continue;
      ReportProgress(at->second, IdOf(sequence), WorkEnd::kCancelled, {});
      at->second.job.number = ++placement_request_count;
      RequestPlacement(at->second);
    }
  }

  void OnDecision(std::uint64_t sequence, const PlaceDecision& decision) {
    const auto at = local_requests.find(sequence);
    if (at == local_requests.end()) return;
    LocalRequest& request = at->second;
    const auto number =
        std::visit([](const auto& typed) { return typed.number; }, decision);
    if (!request.done || number != request.job.number) return;
    const auto* granted = std::get_if<PlaceGrant>(&decision);
    if (const PlacedTarget* unfit =
            granted ? FindUnfitTarget(request.service, *granted) : nullptr) {
      return DeclineGrant(request, *unfit);
    }
    if (granted != nullptr || !request.job.is_retry) {
      GrantsOf(request.service)
          .Record(request.placer_host, IncarnationOf(request.placer_host),
                  request.job.is_retry, Now());
    }
    const Callback done = std::exchange(request.done, nullptr);
    if (const auto* grant = std::get_if<PlaceGrant>(&decision)) {
      request.is_placed = true;
      request.targets = grant->targets;
      if (grant->out_of_permits > 0) ++grants_past_limits;
    } else {
      local_requests.erase(at);
    }
    done(decision);
  }

  /// Returns a granted target that accepts no request of this host: it is
  /// leaving or evacuated, has been removed, or asked this host to back off,
  /// and the holder does not know this yet; or it is a target of another
  /// service.
  const PlacedTarget* FindUnfitTarget(const ServiceName& service,
                                      const PlaceGrant& grant) const {
    for (const auto& target : grant.targets) {
      const auto at = listed_targets.find(target.name);
      const bool is_removed = at == listed_targets.end() &&
                              settings.is_removed &&
                              settings.is_removed(target.version);
      const bool is_leaving = at != listed_targets.end() &&
                              (at->second.leaving || at->second.evacuated);
      const bool is_foreign =
          at != listed_targets.end() && at->second.service != service;
      if (is_removed || is_leaving || is_foreign ||
          RemainingBackOff(target) > Duration::zero())
        return &target;
    }
    return nullptr;
  }

  Duration RemainingBackOff(const PlacedTarget& target) const {
    return back_offs.Remaining(target.name, target.born, Now());
  }

  /// Requests another grant in place of one with an unfit target.
  void DeclineGrant(LocalRequest& request, const PlacedTarget& unfit) {
    const Duration back_off = RemainingBackOff(unfit);
    LogLine(Severity::kInfo, Event::kGrantDeclined)
        .With("target", unfit.name)
        .With("service", request.service)
        .With("listed", ListedServiceOf(unfit.name))
        .With("holder", request.placer_host)
        .With("rest", std::chrono::duration_cast<milliseconds>(back_off));
    if (back_off > Duration::zero()) {
      SendBackOff(request.service, request.placer_host, unfit.name, back_off);
    } else {
      request.job.excluded.push_back(unfit.name);
      ExcludeEvacuated(request);
    }
    request.job.number = ++placement_request_count;
    RequestPlacement(request);
  }

  /// A holder that granted a target of an evacuated domain may know none of
  /// its evacuations yet. Excluding one target at a time would take as many
  /// grants as the domain has targets.
  void ExcludeEvacuated(LocalRequest& request) const {
    auto& excluded = request.job.excluded;
    for (const auto& [name, listing] : listed_targets) {
      if (listing.service != request.service || !listing.evacuated) continue;
      if (std::find(excluded.begin(), excluded.end(), name) == excluded.end())
        excluded.push_back(name);
    }
  }

  ServiceName ListedServiceOf(const TargetName& target) const {
    const auto at = listed_targets.find(target);
    return at == listed_targets.end() ? ServiceName() : at->second.service;
  }

  void SendBackOff(const ServiceName& service, const HostName& holder,
                   const TargetName& target, Duration back_off) {
    if (holder == settings.self) {
      const Time now = Now();
      PlacerOf(service).BackOff(target, settings.self, now + back_off, now);
    } else {
      MessagesFor(holder).back_offs.push_back({service, target, back_off});
    }
  }

  void BroadcastLeaving(const TargetMark& mark) {
    std::set<HostName> holders;
    for (const auto& [service, pool] : targets)
      holders.insert(HolderOf(service));
    holders.erase(settings.self);
    for (const auto& holder : holders)
      MessagesFor(holder).leaving.push_back(mark);
  }

  void RebuildListedTargets() {
    listed_targets.clear();
    for (const auto& [service, pool] : targets) {
      for (const auto& target : pool)
        listed_targets[target.name] = {service, target.leaving,
                                       target.evacuated};
    }
  }

  void ReportProgress(const LocalRequest& request, const RequestId& id,
                      std::optional<WorkEnd> end, const TargetName& at) {
    if (request.placer_host == settings.self ||
        request.placer_host.value.empty()) {
      Placer& placer = PlacerOf(request.service);
      if (end) {
        placer.Ended(id, *end, Now(), at);
      } else {
        placer.Started(id, Now());
      }
      const ServiceName service = request.service;
      DeliverDecisions(service);
      return;
    }
    MessagesFor(request.placer_host)
        .notes.push_back({id.sequence, request.service, end.has_value(),
                          end.value_or(WorkEnd::kDone), at});
  }

  /// Sends the placed requests of this host, up to the number that a datagram
  /// holds, so that the holder knows the load exactly.
  void SendSync(const ServiceName& service, const HostName& holder) {
    std::vector<RunningWork> running;
    for (const auto& [sequence, request] : local_requests) {
      if (!request.is_placed || request.service != service) continue;
      running.push_back({IdOf(sequence), request.targets, request.job.stream,
                         request.is_started, request.job.prompt_tokens,
                         request.job.output_tokens, request.job.max_gap});
      if (running.size() >= kMaxWorkItemsPerDatagram) break;
    }
    const Time now = Now();
    auto elsewhere =
        GrantsOf(service).GrantedByOthers(holder, IncarnationOf(holder), now);
    told_holder[service] = {holder, IncarnationOf(holder)};
    if (holder == settings.self) {
      PlacerOf(service).retries().SetElsewhere(
          {settings.self, settings.incarnation, std::move(elsewhere)});
      PlacerOf(service).Adopt(settings.self, running, now);
      DeliverDecisions(service);
      return;
    }
    MessagesFor(holder).syncs.push_back({service, std::move(running),
                                         std::move(elsewhere),
                                         DepartedGrants(service, now)});
  }

  RequestId IdOf(std::uint64_t sequence) const {
    return {settings.self, settings.incarnation, sequence};
  }

  // ---- Datagrams ----

  wire::PlaceMessages& MessagesFor(const HostName& host) {
    return socket->MessagesFor(host);
  }

  PlacementSocketHooks SocketHooks() {
    PlacementSocketHooks hooks;
    hooks.on_messages = [self = weak_from_this()](const auto& messages) {
      if (const auto state = self.lock()) state->OnMessages(messages);
    };
    hooks.address_of = [self = weak_from_this()](const HostName& host) {
      const auto state = self.lock();
      if (!state) return std::string();
      const auto at = state->peers.find(host);
      return at == state->peers.end() ? std::string() : at->second.address;
    };
    hooks.on_send = [self = weak_from_this()] {
      if (const auto state = self.lock()) state->limits.OnSend();
    };
    return hooks;
  }

  /// Whether a process that its host has replaced sent the datagram. The work
  /// of former processes ends with the first datagram of a later one, which may
  /// arrive before the membership tells.
  bool IsFromFormerProcess(const HostName& host, Incarnation incarnation) {
    Incarnation& latest = latest_processes[host];
    latest = std::max(latest, IncarnationOf(host));
    if (incarnation < latest) {
      LogLine(Severity::kInfo, Event::kPlacementOutdated)
          .With("host", host)
          .With("incarnation", incarnation.value)
          .With("latest", latest.value);
      return true;
    }
    if (incarnation > latest) Forget(host, incarnation);
    latest = incarnation;
    return false;
  }

  void Forget(const HostName& host, Incarnation incarnation) {
    for (auto& [service, placer] : placers) placer.Forget(host, incarnation);
  }

  void OnMessages(const wire::PlaceMessages& messages) {
    const Time now = Now();
    if (IsFromFormerProcess(messages.sender, messages.incarnation)) return;
    excluded_until.erase(messages.sender);
    for (const auto& mark : messages.leaving) {
      if (settings.target_marked) settings.target_marked(mark);
    }
    for (const auto& back_off : messages.back_offs) {
      PlacerOf(back_off.service)
          .BackOff(back_off.target, messages.sender,
                   now + std::min(back_off.back_off, kMaxBackOff), now);
    }
    for (const auto& limit : messages.limits) {
      limits.OnReport(limit, messages.sender, now);
    }
    std::set<ServiceName> affected_services;
    for (const auto& sync : messages.syncs) {
      OnGrantsTold(sync, messages.sender, messages.incarnation, now);
      PlacerOf(sync.service).Adopt(messages.sender, sync.running, now);
      OnSync(sync.service, messages.sender, now);
      affected_services.insert(sync.service);
    }
    for (const auto& note : messages.notes) {
      const RequestId id{messages.sender, messages.incarnation, note.sequence};
      Placer& placer = PlacerOf(note.service);
      if (note.ended) {
        placer.Ended(id, note.end, now, note.at);
      } else {
        placer.Started(id, now);
      }
      affected_services.insert(note.service);
    }
    for (const auto& request : messages.requests) {
      Placer& placer = PlacerOf(request.service);
      RecordPlacementRequest(request.service, messages.sender, now);
      const std::size_t waited = placer.waiting();
      placer.Submit(request.job, now);
      affected_services.insert(request.service);
      if (placer.waiting() >= waited && placer.waiting() > 0) {
        wire::PlaceAnswerMessage answer;
        answer.sequence = request.job.id.sequence;
        answer.asker = messages.incarnation;
        answer.number = request.job.number;
        answer.is_queued = true;
        MessagesFor(messages.sender).answers.push_back(std::move(answer));
      }
    }
    for (const auto& service : affected_services) DeliverDecisions(service);
    for (const auto& answer : messages.answers) {
      OnPlacementAnswer(answer, messages.sender);
    }
    if (settings.crash_news && !messages.crash_news.empty())
      settings.crash_news(messages.sender, messages.crash_news);
  }

  void OnPlacementAnswer(const wire::PlaceAnswerMessage& answer,
                         const HostName& holder) {
    if (answer.asker && *answer.asker != settings.incarnation) {
      LogLine(Severity::kInfo, Event::kPlacementOutdated)
          .With("host", holder)
          .With("incarnation", answer.asker->value)
          .With("latest", settings.incarnation.value);
      return;
    }
    const auto at = local_requests.find(answer.sequence);
    if (at == local_requests.end() || at->second.job.number != answer.number)
      return;
    at->second.is_acknowledged = true;
    if (!answer.is_queued) OnDecision(answer.sequence, answer.decision);
  }

  // ---- Timer ----

  void ArmTimer() {
    const bool is_busy =
        std::any_of(local_requests.begin(), local_requests.end(),
                    [](const auto& entry) {
                      return static_cast<bool>(entry.second.done);
                    }) ||
        std::any_of(placers.begin(), placers.end(), [](const auto& entry) {
          return entry.second.waiting() > 0;
        });
    is_ticking_fast = is_busy;
    timer.expires_after(is_busy ? kBusyTick : kIdleTick);
    timer.async_wait([self = shared_from_this()](const error_code& error) {
      if (error || !self->socket->is_open()) return;
      const node::AtExit repeat([&self] { self->ArmTimer(); });
      self->Tick();
    });
  }

  /// Switches to the short tick because a request now waits.
  void SwitchToBusyTick() {
    if (is_ticking_fast) return;
    timer.cancel();
    ArmTimer();
  }

  void Tick() {
    const Time now = Now();
    std::vector<std::uint64_t> due;
    for (auto& [sequence, request] : local_requests) {
      if (!request.done) continue;
      const Duration since = now - request.last_request_at;
      if (!request.is_acknowledged &&
          now - request.first_request_at > kHolderTimeout &&
          request.placer_host != settings.self) {
        excluded_until[request.placer_host] = now + kUnresponsiveHostExclusion;
        LogLine(Severity::kWarning, Event::kPlacerSilent)
            .With("host", request.placer_host)
            .With("service", request.service);
        due.push_back(sequence);
      } else if (since > (request.is_acknowledged ? kWaitingResendPeriod
                                                  : kUnansweredResendDelay)) {
        due.push_back(sequence);
      }
    }
    for (const auto sequence : due) {
      const auto at = local_requests.find(sequence);
      if (at != local_requests.end() && at->second.done)
        RequestPlacement(at->second);
    }
    std::vector<ServiceName> names;
    for (auto& [service, placer] : placers) {
      if (placer.waiting() > 0 || now >= next_sync_at) names.push_back(service);
    }
    for (const auto& service : names) {
      PlacerOf(service).Tick(now);
      DeliverDecisions(service);
    }
    for (auto& [service, state] : holding) {
      if (now < state.share_update_at || !IsActive(state, now)) continue;
      UpdateLimitShare(service, state, now);
    }
    if (now >= next_sync_at) Sync(now);
  }

  /// State of the local placers that receive placement requests.
  std::map<ServiceName, Placer::Summary> PlacerSummaries(Time now) {
    std::map<ServiceName, Placer::Summary> out;
    for (const auto& [service, state] : holding) {
      if (!IsActive(state, now)) continue;
      out[service] = PlacerOf(service).Summarize(now);
    }
    return out;
  }

  void LogState(Time now) {
    for (const auto& [service, sum] : PlacerSummaries(now)) {
      LogLine line(Severity::kInfo, Event::kPlacement);
      if (sum.cold > 0) line.With("cold", std::uint64_t{sum.cold});
      line.With("service", service)
          .With("waiting", std::uint64_t{sum.waiting})
          .With("running", std::uint64_t{sum.running})
          .With("unread", std::uint64_t{sum.prefilling})
          .With("targets", std::uint64_t{sum.targets})
          .With("closed", std::uint64_t{sum.closed})
          .With("short_engines", std::uint64_t{sum.short_engines})
          .With("long_engines", std::uint64_t{sum.long_engines})
          .With("reserve", std::uint64_t{sum.reserve})
          .With("closing", std::uint64_t{sum.closing})
          .With("full", std::uint64_t{sum.full})
          .With("poor", std::uint64_t{sum.degraded})
          .With("limited", std::uint64_t{sum.limited})
          .With("reading",
                std::chrono::duration_cast<milliseconds>(sum.prefill_backlog))
          .With("repeats_left",
                static_cast<std::uint64_t>(std::max(0.0, sum.retries_left)))
          .With("repeats_elsewhere", sum.retries_elsewhere)
          .With("memory", sum.memory);
    }
  }

  void Sync(Time now) {
    next_sync_at = now + kSyncPeriod;
    LogState(now);
    for (const auto& [name, peer] : peers) fleet.MarkLive(name, now);
    for (const auto& [service, state] : holding) {
      if (IsActive(state, now)) limits.Broadcast(service, now);
    }
    for (const auto& [sequence, request] : local_requests) {
      if (request.is_placed) sync_rounds[request.service] = kIdleSyncRounds;
    }
    for (auto& [service, log] : grants) {
      const bool knows_departed = !DepartedGrants(service, now).empty();
      if (log.has_retries(now) || knows_departed) {
        sync_rounds[service] = kIdleSyncRounds;
      }
    }
    std::set<ServiceName> names;
    for (const auto& [service, pool] : targets) names.insert(service);
    for (const auto& [service, rounds] : sync_rounds) names.insert(service);
    for (const auto& service : names) {
      const HostName holder = HolderOf(service);
      // A new holder hears from hosts without requests, too.
      const bool is_new =
          told_holder[service] != std::pair(holder, IncarnationOf(holder));
      if (sync_rounds[service] == 0 && !is_new) continue;
      if (sync_rounds[service] > 0) --sync_rounds[service];
      SendSync(service, holder);
    }
  }

  const PlacementSettings settings;
  asio::io_context& io;
  std::shared_ptr<PlacementSocket> socket;
  asio::steady_timer timer;
  std::map<ServiceName, RoutedService> services;
  std::map<ServiceName, std::vector<PoolTarget>> targets;
  std::map<ServiceName, Placer> placers;
  std::map<ServiceName, Holding> holding;
  Time opened_at;
  Time settled_at;  ///< Until then this host may not know all its peers.
  std::map<HostName, PlacementPeer> peers;
  std::map<HostName, Time> excluded_until;
  std::map<std::uint64_t, LocalRequest> local_requests;
  LimitExchange limits;
  RecentHosts fleet;
  std::uint64_t grants_past_limits = 0;
  QueueDecisions queue_decisions;
  TargetBackOffs back_offs;  ///< Back-offs that targets asked of this host.
  struct Listing {
    ServiceName service;
    bool leaving = false;
    bool evacuated = false;
  };
  std::map<TargetName, Listing> listed_targets;  ///< All in `targets`.
  std::uint32_t placement_request_count = 0;
  std::map<ServiceName, int> sync_rounds;  ///< Reports still to send.
  /// What the requests of this host were granted.
  std::map<ServiceName, GrantLog> grants;
  /// The holders that were last told of `grants`.
  std::map<ServiceName, std::pair<HostName, Incarnation>> told_holder;
  std::uint64_t last_sequence = FirstSequence(settings.incarnation);
  /// The latest process of each host from which a datagram came.
  std::map<HostName, Incarnation> latest_processes;
  Time next_sync_at;
  bool is_ticking_fast = false;
  bool is_able = true;
};

Placement::Placement(asio::io_context& io, PlacementSettings settings)
    : state_(std::make_shared<State>(io, std::move(settings))) {
  state_->socket = std::make_shared<PlacementSocket>(
      io, state_->settings.self, state_->settings.incarnation,
      state_->settings.key, state_->SocketHooks());
}

Placement::~Placement() {
  state_->socket->Close();
  state_->timer.cancel();
}

std::error_code Placement::Open() {
  if (const auto error = state_->socket->Open(state_->settings.address))
    return error;
  state_->opened_at = Now();
  state_->settled_at = state_->opened_at + kStartupSettleTime;
  state_->ArmTimer();
  return {};
}

void Placement::SetServices(
    const std::map<ServiceName, RoutedService>& services) {
  state_->services = services;
  for (const auto& [name, service] : services) {
    const auto at = state_->placers.find(name);
    if (at == state_->placers.end()) continue;
    at->second.SetEngine(service.engine, service.streams);
    at->second.SetCold(service.cold, Now());
  }
}

void Placement::SetTargets(
    const std::map<ServiceName, std::vector<PoolTarget>>& targets) {
  state_->targets = targets;
  state_->RebuildListedTargets();
  std::vector<ServiceName> names;
  for (const auto& [name, placer] : state_->placers) names.push_back(name);
  for (const auto& name : names) {
    state_->PlacerOf(name).SetTargets(state_->targets[name], Now());
    state_->DeliverDecisions(name);
  }
}

void Placement::SetPeers(std::vector<PlacementPeer> peers) {
  std::map<HostName, PlacementPeer> next;
  for (auto& peer : peers) next[peer.name] = std::move(peer);
  if (next == state_->peers) return;
  state_->peers = std::move(next);
  // A host that comes back after its membership has ended may have a clock that
  // is behind its former one.
  std::erase_if(state_->latest_processes, [this](const auto& entry) {
    return !state_->peers.contains(entry.first);
  });
  for (auto& [service, placer] : state_->placers) {
    placer.SetHosts(state_->peers.size());
  }
  state_->RedirectWaitingRequests();
  state_->next_sync_at = Now();
  state_->SwitchToBusyTick();
}

void Placement::SetAble(bool able) {
  if (std::exchange(state_->is_able, able) || !able) return;
  const Time until = Now() + kSyncTimeout;
  for (auto& [service, placer] : state_->placers) {
    if (placer.held_until() > until) placer.HoldUntil(until);
  }
}

void Placement::Forget(const HostName& host, Incarnation incarnation) {
  state_->Forget(host, incarnation);
}

RequestId Placement::NextId() { return state_->IdOf(++state_->last_sequence); }

void Placement::Place(const ServiceName& service, const PlaceJob& job,
                      Callback done) {
  State::LocalRequest& request = state_->local_requests[job.id.sequence];
  request = {};
  request.service = service;
  request.job = job;
  request.job.number = ++state_->placement_request_count;
  request.done = std::move(done);
  state_->RequestPlacement(request);
  if (state_->local_requests.contains(job.id.sequence))
    state_->SwitchToBusyTick();
}

void Placement::Started(const RequestId& id) {
  const auto at = state_->local_requests.find(id.sequence);
  if (at == state_->local_requests.end() || at->second.is_started) return;
  at->second.is_started = true;
  state_->ReportProgress(at->second, id, std::nullopt, {});
}

void Placement::Ended(const RequestId& id, WorkEnd end,
                      const TargetName& cause) {
  const auto at = state_->local_requests.find(id.sequence);
  if (at == state_->local_requests.end()) return;
  const State::LocalRequest request = std::move(at->second);
  state_->local_requests.erase(at);
  state_->ReportProgress(request, id, end, cause);
}

void Placement::BackOffReported(const ServiceName& service,
                                const PlacedTarget& target, Duration back_off) {
  if (!state_->back_offs.Add(target.name, target.born, back_off, Now())) return;
  state_->SendBackOff(service, state_->HolderOf(service), target.name,
                      state_->RemainingBackOff(target));
}

void Placement::LimitReported(const ServiceName& service,
                              const PlacedTarget& target, double rate,
                              const std::string& request) {
  state_->limits.OnNamed(service, target, rate, request, Now());
}

void Placement::NoLimitReported(const ServiceName& service,
                                const PlacedTarget& target, Time sent,
                                const std::string& request) {
  state_->limits.OnNoneNamed(service, target, sent, request, Now());
}

std::optional<ListedTarget> Placement::FindListed(
    const TargetName& name, const std::string& address) const {
  for (const auto& [service, pool] : state_->targets) {
    for (const auto& target : pool) {
      if (target.name != name || target.address != address) continue;
      return ListedTarget{service,
                          {name, address, 0, target.version, target.born}};
    }
  }
  return std::nullopt;
}

std::optional<PlacedTarget> Placement::FindAccepting(
    const ServiceName& service, const std::string& address) const {
  const auto at = state_->targets.find(service);
  if (at == state_->targets.end()) return std::nullopt;
  for (const auto& target : at->second) {
    if (target.address != address || target.leaving || target.evacuated)
      continue;
    const PlacedTarget placed{target.name, address, 0, target.version,
                              target.born};
    if (state_->RemainingBackOff(placed) > Duration::zero()) continue;
    return placed;
  }
  return std::nullopt;
}

std::size_t Placement::limited_targets() const {
  std::size_t count = 0;
  for (const auto& [service, placer] : state_->placers) {
    count += placer.limits().size();
  }
  return count;
}

std::size_t Placement::cold_targets() const {
  const Time now = Now();
  std::size_t count = 0;
  for (const auto& [service, pool] : state_->targets) {
    count += static_cast<std::size_t>(std::count_if(
        pool.begin(), pool.end(),
        [now](const auto& target) { return target.cold_until > now; }));
  }
  return count;
}

std::uint64_t Placement::grants_past_limits() const {
  return state_->grants_past_limits;
}

const QueueDecisions& Placement::queue_decisions() const {
  return state_->queue_decisions;
}

void Placement::BroadcastLeaving(const TargetMark& mark) {
  state_->BroadcastLeaving(mark);
}

void Placement::SendCrashNews(const wire::CrashNewsMessage& news,
                              const std::vector<HostName>& hosts) {
  const auto append = [](auto& to, const auto& from) {
    to.insert(to.end(), from.begin(), from.end());
  };
  for (const auto& host : hosts) {
    auto& out = state_->MessagesFor(host).crash_news;
    append(out.crashes, news.crashes);
    append(out.acquittals, news.acquittals);
    append(out.verdicts, news.verdicts);
    out.wanted = out.wanted || news.wanted;
  }
}

std::vector<HostName> Placement::OtherHosts() const {
  std::vector<HostName> hosts;
  for (const auto& [name, peer] : state_->peers) {
    if (name != state_->settings.self) hosts.push_back(name);
  }
  return hosts;
}

std::optional<TargetName> Placement::FindUnfitTarget(
    const ServiceName& service, const PlaceGrant& grant) const {
  const PlacedTarget* unfit = state_->FindUnfitTarget(service, grant);
  return unfit == nullptr ? std::nullopt : std::optional(unfit->name);
}

std::size_t Placement::targets_backing_off() const {
  return state_->back_offs.size(Now());
}

HostName Placement::HolderOf(const ServiceName& service) const {
  return state_->HolderOf(service);
}

bool Placement::holds_active_placer() const {
  const Time now = Now();
  return std::any_of(
      state_->holding.begin(), state_->holding.end(),
      [now](const auto& entry) { return State::IsActive(entry.second, now); });
}

std::map<ServiceName, Placer::Summary> Placement::PlacerSummaries() {
  return state_->PlacerSummaries(Now());
}

std::vector<Placer::TargetLoad> Placement::Loads(
    const ServiceName& service) const {
  const auto at = state_->placers.find(service);
  return at == state_->placers.end() ? std::vector<Placer::TargetLoad>{}
                                     : at->second.Loads();
}

}  // namespace comfreyflow::gateway
