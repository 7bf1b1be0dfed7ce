// Datagrams and time-outs of asking for placement.
#include "gateway/placement.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

#include "comfreyflow/holder.h"
#include "comfreyflow/target-rests.h"
#include "http/address.h"
#include "node/clock.h"
#include "node/log.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;
using std::chrono::milliseconds;
using Udp = asio::ip::udp;

/// An ask that had no answer at all is sent again after this long: a little
/// over a round trip between failure domains.
constexpr Duration kFirstResend = milliseconds(30);
/// Without any answer for this long the holder counts as silent.
constexpr Duration kSilentAfter = milliseconds(100);
/// A silent holder is left out for this long, unless it is heard of.
constexpr Duration kSilentFor = std::chrono::seconds(2);
/// A request that waits at its placer is asked for again this often.
constexpr Duration kRenewal = milliseconds(250);
constexpr Duration kSyncPeriod = milliseconds(500);
/// A new holder waits so long for the other hosts' running work.
constexpr Duration kSyncWait = milliseconds(120);
/// A holder that was not asked for so long begins anew.
constexpr Duration kHoldingLapse = std::chrono::seconds(2);
/// From the start of a process until it knows its peers.
constexpr Duration kSettleTime = milliseconds(350);
constexpr Duration kBusyTick = milliseconds(10);
constexpr Duration kIdleTick = milliseconds(250);
/// A service without work is still told of so often, as datagrams get lost.
constexpr int kIdleSyncs = 4;
constexpr std::size_t kLongestDatagram = 60 * 1024;
constexpr std::size_t kWorksPerDatagram = 400;
/// The part of limits that this host may grant is looked at this often.
constexpr Duration kSharePeriod = milliseconds(500);
/// A holder tells all hosts the limits it knows at changes and this often, as
/// datagrams get lost.
constexpr Duration kLimitsPeriod = std::chrono::seconds(5);
constexpr std::size_t kLimitsPerDatagram = 600;

}  // namespace

struct Placement::State : std::enable_shared_from_this<State> {
  /// A request of this host. Invariant: `done` is set while it waits.
  struct Own {
    ServiceName service;
    PlaceJob job;
    Callback done;
    HostName asked;    ///< Whom.
    Time first_asked;  ///< That host.
    Time last_asked;
    bool heard = false;  ///< That host said that the request waits.
    bool placed = false;
    bool begun = false;
    std::vector<PlacedTarget> targets;
  };

  /// This host as the holder of a service's placer.
  struct Holding {
    Time last_ask;                    ///< By anybody.
    std::set<HostName> heard;         ///< Told their work since.
    std::map<HostName, Time> askers;  ///< When each asked last.
    Time share_due;
    bool whole = false;  ///< Grants all of the limits, as of `share_due`.
    Time limits_due;
    bool limits_changed = false;
  };

  State(asio::io_context& io, PlacementSettings given)
      : settings(std::move(given)), io(io), socket(io), timer(io) {}

  // ---- Placers of this host ----

  Placer& PlacerOf(const ServiceName& service) {
    const auto [at, added] = placers.try_emplace(service, settings.placer);
    if (added) {
      const auto known = services.find(service);
      if (known != services.end()) at->second.SetEngine(known->second.engine);
      at->second.SetTargets(targets[service], Now());
      at->second.SetHosts(peers.size());
    }
    return at->second;
  }

  /// Tells the verdicts of a placer to the hosts that asked.
  void Deliver(const ServiceName& service) {
    for (auto& verdict : PlacerOf(service).TakeDecisions()) {
      const RequestId id =
          std::visit([](const auto& typed) { return typed.id; }, verdict);
      if (id.host == settings.self) {
        Take(id.sequence, verdict);
        continue;
      }
      wire::PlaceAnswerMessage answer;
      answer.sequence = id.sequence;
      answer.number =
          std::visit([](const auto& typed) { return typed.number; }, verdict);
      answer.verdict = std::move(verdict);
      To(id.host).answers.push_back(std::move(answer));
    }
  }

  // ---- Requests of this host ----

  HostName Holder(const ServiceName& service) const {
    const Time now = Now();
    return HolderAmong(service, [this, now](const HostName& name) {
      const auto silent = silent_until.find(name);
      return silent == silent_until.end() || silent->second <= now;
    });
  }

  HostName HolderAmong(
      const ServiceName& service,
      const std::function<bool(const HostName&)>& answers) const {
    std::vector<HolderCandidate> candidates;
    for (const auto& [name, peer] : peers) {
      if (!peer.may_hold || !answers(name)) continue;
      candidates.push_back(
          {name, peer.incarnation, peer.capacity, peer.returned});
    }
    const HostName holder = ChooseHolder(candidates, service);
    return holder.value.empty() ? settings.self : holder;
  }

  static bool IsAsked(const Holding& state, Time now) {
    return now - state.last_ask <= kHoldingLapse;
  }

  /// Has a placer that begins to be asked wait for the other hosts' word.
  void BeginHolding(const ServiceName& service, const HostName& asker,
                    Time now) {
    Holding& state = holding[service];
    state.askers[asker] = now;
    if (!IsAsked(state, now)) {
      state.heard.clear();
      Placer& placer = PlacerOf(service);
      placer.HoldUntil(std::max(now + kSyncWait, settled));
      const bool was_whole = state.whole;
      UpdateShare(service, state, now);
      if (!was_whole || !state.whole) placer.limits().RestartPermits(now);
      LogLine(Severity::kInfo, Event::kPlacerTaken)
          .With("service", service)
          .With("peers", std::uint64_t{peers.size()});
    }
    state.last_ask = now;
  }

  // ---- Limits that targets named ----

  /// How much of the limits this host may grant; hosts that do not live, or
  /// ask others, may be granting too.
  void UpdateShare(const ServiceName& service, Holding& state, Time now) {
    state.share_due = now + kSharePeriod;
    std::erase_if(state.askers, [now](const auto& asker) {
      return now - asker.second > kHoldingLapse;
    });
    const HostName holder =
        HolderAmong(service, [](const HostName&) { return true; });
    const FleetView view{std::max(fleet.size(now), peers.size()),
                         fleet.RankOf(settings.self), peers.size(),
                         state.askers.size(), holder == settings.self};
    const LimitPart part = PartOfLimits(view);
    state.whole = part.share >= 1 && view.is_holder;
    PlacerOf(service).SetPart(part, now);
  }

  /// Takes another host's word on a limit; one that is behind is told.
  void HearLimit(const wire::TargetLimitMessage& told, const HostName& host,
                 Time now) {
    TargetLimits& limits = PlacerOf(told.service).limits();
    const auto before = limits.RateOf(told.word.target, told.word.born);
    switch (limits.Merge(told.word, now)) {
      case TargetLimits::MergeResult::kChanged:
        return LimitChanged(told.service, told.word, before, host, "", now);
      case TargetLimits::MergeResult::kUnchanged:
        return;
      case TargetLimits::MergeResult::kOutdated:
        To(host).limits.push_back(
            {told.service, *limits.ReportOf(told.word.target, told.word.born)});
    }
  }

  void LimitChanged(const ServiceName& service, const LimitReport& word,
                    const std::optional<double>& before, const HostName& host,
                    const std::string& request, Time now) {
    const auto at = holding.find(service);
    if (at != holding.end() && IsAsked(at->second, now)) {
      at->second.limits_changed = true;
    }
    if (!word.rate && !before) return;
    LogLine line(Severity::kInfo,
                 word.rate ? Event::kTargetLimited : Event::kTargetLimitEnded);
    line.With("service", service);
    line.With("target", word.target).With("born", word.born);
    if (!request.empty()) line.With("request", request);
    if (!host.value.empty()) line.With("host", host);
    if (word.rate) line.With("rate", *word.rate);
    if (before) line.With(word.rate ? "before" : "rate", *before);
  }

  /// Tells the host that grants what this host knows of the target's limit.
  void TellLimit(const ServiceName& service, const PlacedTarget& target) {
    const HostName holder = Holder(service);
    if (holder == settings.self) return;
    const auto word =
        PlacerOf(service).limits().ReportOf(target.name, target.born);
    if (word) To(holder).limits.push_back({service, *word});
  }

  /// What this host knows of the limits of listed targets.
  std::vector<wire::TargetLimitMessage> LimitsOf(const ServiceName& service,
                                                 Time now) {
    std::vector<wire::TargetLimitMessage> out;
    const TargetLimits& limits = PlacerOf(service).limits();
    for (const auto& target : targets[service]) {
      const auto word = limits.RecentReportOf(target.name, target.born, now);
      if (word) out.push_back({service, *word});
      if (out.size() >= kLimitsPerDatagram) break;
    }
    return out;
  }

  void TellLimits(const std::vector<wire::TargetLimitMessage>& known,
                  const HostName& host) {
    if (host == settings.self || known.empty()) return;
    auto& limits = To(host).limits;
    limits.insert(limits.end(), known.begin(), known.end());
  }

  /// Hosts that would grant next, or go by themselves, know the limits.
  void ShareLimits(Time now) {
    for (auto& [service, state] : holding) {
      if (!IsAsked(state, now)) continue;
      if (!state.limits_changed && now < state.limits_due) continue;
      state.limits_due = now + kLimitsPeriod;
      state.limits_changed = false;
      const auto known = LimitsOf(service, now);
      for (const auto& [name, peer] : peers) TellLimits(known, name);
    }
  }

  /// A host told its running work; with the last one's the wait is over.
  void Heard(const ServiceName& service, const HostName& host, Time now) {
    Holding& state = holding[service];
    state.heard.insert(host);
    Placer& placer = PlacerOf(service);
    if (placer.held_until() <= now || now < settled) return;
    for (const auto& [name, peer] : peers) {
      if (name != settings.self && !state.heard.contains(name)) return;
    }
    placer.HoldUntil(now);
  }

  void Ask(Own& own) {
    const Time now = Now();
    const HostName holder = Holder(own.service);
    if (own.asked != holder) {
      own.asked = holder;
      own.first_asked = now;
      own.heard = false;
      SendSync(own.service, holder);
      rests.ForEach(now, [&](const TargetName& target, Duration left) {
        SendRest(own.service, holder, target, left);
      });
      // Once for all asks of a datagram.
      if (limits_sent.emplace(holder, own.service).second) {
        TellLimits(LimitsOf(own.service, now), holder);
      }
    }
    own.last_asked = now;
    if (holder == settings.self) {
      const ServiceName service = own.service;
      BeginHolding(service, settings.self, now);
      PlacerOf(service).Submit(own.job, now);
      own.heard = true;
      Deliver(service);  // `own` may be gone.
      return;
    }
    To(holder).asks.push_back({own.service, own.job});
  }

  /// Requests that wait at a host which holds the placer no more go to the one
  /// that does.
  void FollowHolders() {
    std::vector<std::uint64_t> moved;
    for (const auto& [sequence, request] : own) {
      if (!request.done) continue;
      if (Holder(request.service) != request.asked) moved.push_back(sequence);
    }
    for (const auto sequence : moved) {
      const auto at = own.find(sequence);
      if (at == own.end() || !at->second.done) continue;
      Note(at->second, IdOf(sequence), WorkEnd::kCancelled, {});
      at->second.job.number = ++asks;
      Ask(at->second);
    }
  }

  void Take(std::uint64_t sequence, const PlaceDecision& verdict) {
    const auto at = own.find(sequence);
    if (at == own.end()) return;
    Own& request = at->second;
    const auto number =
        std::visit([](const auto& typed) { return typed.number; }, verdict);
    if (!request.done || number != request.job.number) return;
    const auto* granted = std::get_if<PlaceGrant>(&verdict);
    if (const PlacedTarget* unfit = granted ? Unfit(*granted) : nullptr) {
      return Decline(request, *unfit);
    }
    const Callback done = std::exchange(request.done, nullptr);
    if (const auto* grant = std::get_if<PlaceGrant>(&verdict)) {
      request.placed = true;
      request.targets = grant->targets;
      if (grant->out_of_permits > 0) ++grants_past_limits;
    } else {
      own.erase(at);
    }
    done(verdict);
  }

  /// A target of the grant that takes no request of this host: it leaves, is
  /// gone, or asked for a rest, which the holder does not know yet.
  const PlacedTarget* Unfit(const PlaceGrant& grant) const {
    const std::uint64_t known =
        settings.list_version ? settings.list_version() : 0;
    for (const auto& target : grant.targets) {
      const auto at = listed.find(target.name);
      const bool gone =
          at == listed.end() && known > 0 && target.version <= known;
      const bool leaves = at != listed.end() && at->second;
      if (gone || leaves || RestOf(target) > Duration::zero()) return &target;
    }
    return nullptr;
  }

  Duration RestOf(const PlacedTarget& target) const {
    return rests.Remaining(target.name, target.born, Now());
  }

  /// Asks for another grant.
  void Decline(Own& request, const PlacedTarget& unfit) {
    const Duration rest = RestOf(unfit);
    LogLine(Severity::kInfo, Event::kGrantDeclined)
        .With("target", unfit.name)
        .With("holder", request.asked)
        .With("rest", std::chrono::duration_cast<milliseconds>(rest));
    if (rest > Duration::zero()) {
      SendRest(request.service, request.asked, unfit.name, rest);
    } else {
      request.job.excluded.push_back(unfit.name);
    }
    request.job.number = ++asks;
    Ask(request);
  }

  void SendRest(const ServiceName& service, const HostName& holder,
                const TargetName& target, Duration rest) {
    if (holder == settings.self) {
      const Time now = Now();
      PlacerOf(service).BackOff(target, settings.self, now + rest, now);
    } else {
      To(holder).rests.push_back({service, target, rest});
    }
  }

  void ShareLeaving(const TargetMark& mark) {
    std::set<HostName> holders;
    for (const auto& [service, pool] : targets) holders.insert(Holder(service));
    holders.erase(settings.self);
    for (const auto& holder : holders) To(holder).leaving.push_back(mark);
  }

  void NoteListed() {
    listed.clear();
    for (const auto& [service, pool] : targets) {
      for (const auto& target : pool) listed[target.name] = target.leaving;
    }
  }

  void Note(const Own& request, const RequestId& id, std::optional<WorkEnd> end,
            const TargetName& at) {
    if (request.asked == settings.self || request.asked.value.empty()) {
      Placer& placer = PlacerOf(request.service);
      if (end) {
        placer.Ended(id, *end, Now(), at);
      } else {
        placer.Started(id, Now());
      }
      const ServiceName service = request.service;
      Deliver(service);
      return;
    }
    To(request.asked)
        .notes.push_back({id.sequence, request.service, end.has_value(),
                          end.value_or(WorkEnd::kDone), at});
  }

  /// All that this host has placed, so that a holder knows it exactly.
  void SendSync(const ServiceName& service, const HostName& holder) {
    std::vector<RunningWork> running;
    for (const auto& [sequence, request] : own) {
      if (!request.placed || request.service != service) continue;
      running.push_back({IdOf(sequence), request.targets, request.job.stream,
                         request.begun, request.job.prompt_tokens,
                         request.job.output_tokens, request.job.max_gap});
      if (running.size() >= kWorksPerDatagram) break;
    }
    if (holder == settings.self) {
      PlacerOf(service).Adopt(settings.self, running, Now());
      Deliver(service);
      return;
    }
    To(holder).syncs.push_back({service, std::move(running)});
  }

  RequestId IdOf(std::uint64_t sequence) const {
    return {settings.self, settings.incarnation, sequence};
  }

  // ---- Datagrams ----

  wire::PlaceMessages& To(const HostName& host) {
    if (outgoing.empty()) {
      asio::post(io, [self = shared_from_this()] { self->Flush(); });
    }
    auto& messages = outgoing[host];
    messages.sender = settings.self;
    messages.incarnation = settings.incarnation;
    return messages;
  }

  void Flush() {
    limits_sent.clear();
    for (auto& [host, messages] : std::exchange(outgoing, {})) {
      const auto at = peers.find(host);
      if (at == peers.end() || messages.empty()) continue;
      asio::ip::tcp::endpoint to;
      if (http::ParseEndpoint(at->second.address, to)) continue;
      const auto bytes = wire::EncodePlacement(messages, settings.key, Now());
      error_code ignored;  // A lost datagram is asked for again.
      socket.send_to(asio::buffer(bytes),
                     Udp::endpoint(to.address(), to.port()), 0, ignored);
    }
  }

  void Receive() {
    socket.async_receive_from(
        asio::buffer(buffer), from,
        [self = shared_from_this()](const error_code& error, std::size_t size) {
          if (!self->socket.is_open()) return;
          if (!error) self->Received({self->buffer.data(), size});
          self->Receive();
        });
  }

  void Received(std::string_view bytes) {
    wire::PlaceMessages messages;
    const Time now = Now();
    if (wire::DecodePlacement(bytes, settings.key, now, messages)) return;
    silent_until.erase(messages.sender);
    for (const auto& mark : messages.leaving) {
      if (settings.target_marked) settings.target_marked(mark);
    }
    for (const auto& rest : messages.rests) {
      PlacerOf(rest.service)
          .BackOff(rest.target, messages.sender,
                   now + std::min(rest.rest, kMaxBackOff), now);
    }
    for (const auto& limit : messages.limits) {
      HearLimit(limit, messages.sender, now);
    }
    std::set<ServiceName> touched;
    for (const auto& sync : messages.syncs) {
      PlacerOf(sync.service).Adopt(messages.sender, sync.running, now);
      Heard(sync.service, messages.sender, now);
      touched.insert(sync.service);
    }
    for (const auto& note : messages.notes) {
      const RequestId id{messages.sender, messages.incarnation, note.sequence};
      Placer& placer = PlacerOf(note.service);
      if (note.ended) {
        placer.Ended(id, note.end, now, note.at);
      } else {
        placer.Started(id, now);
      }
      touched.insert(note.service);
    }
    for (const auto& ask : messages.asks) {
      Placer& placer = PlacerOf(ask.service);
      BeginHolding(ask.service, messages.sender, now);
      const std::size_t waited = placer.waiting();
      placer.Submit(ask.job, now);
      touched.insert(ask.service);
      if (placer.waiting() >= waited && placer.waiting() > 0) {
        wire::PlaceAnswerMessage answer;
        answer.sequence = ask.job.id.sequence;
        answer.number = ask.job.number;
        answer.waits = true;
        To(messages.sender).answers.push_back(std::move(answer));
      }
    }
    for (const auto& service : touched) Deliver(service);
    for (const auto& answer : messages.answers) TakeAnswer(answer);
  }

  void TakeAnswer(const wire::PlaceAnswerMessage& answer) {
    const auto at = own.find(answer.sequence);
    if (at == own.end() || at->second.job.number != answer.number) return;
    at->second.heard = true;
    if (!answer.waits) Take(answer.sequence, answer.verdict);
  }

  // ---- Time ----

  void Wait() {
    const bool busy =
        std::any_of(own.begin(), own.end(),
                    [](const auto& entry) {
                      return static_cast<bool>(entry.second.done);
                    }) ||
        std::any_of(placers.begin(), placers.end(), [](const auto& entry) {
          return entry.second.waiting() > 0;
        });
    fast = busy;
    timer.expires_after(busy ? kBusyTick : kIdleTick);
    timer.async_wait([self = shared_from_this()](const error_code& error) {
      if (error || !self->socket.is_open()) return;
      self->Tick();
      self->Wait();
    });
  }

  /// Has the timer run soon, as something waits now.
  void Hurry() {
    if (fast) return;
    timer.cancel();
    Wait();
  }

  void Tick() {
    const Time now = Now();
    std::vector<std::uint64_t> due;
    for (auto& [sequence, request] : own) {
      if (!request.done) continue;
      const Duration since = now - request.last_asked;
      if (!request.heard && now - request.first_asked > kSilentAfter &&
          request.asked != settings.self) {
        silent_until[request.asked] = now + kSilentFor;
        LogLine(Severity::kWarning, Event::kPlacerSilent)
            .With("host", request.asked)
            .With("service", request.service);
        due.push_back(sequence);
      } else if (since > (request.heard ? kRenewal : kFirstResend)) {
        due.push_back(sequence);
      }
    }
    for (const auto sequence : due) {
      const auto at = own.find(sequence);
      if (at != own.end() && at->second.done) Ask(at->second);
    }
    std::vector<ServiceName> names;
    for (auto& [service, placer] : placers) {
      if (placer.waiting() > 0 || now >= sync_due) names.push_back(service);
    }
    for (const auto& service : names) {
      PlacerOf(service).Tick(now);
      Deliver(service);
    }
    for (auto& [service, state] : holding) {
      if (now < state.share_due || !IsAsked(state, now)) continue;
      UpdateShare(service, state, now);
    }
    if (now >= sync_due) Sync(now);
  }

  /// What the placers that are asked here believe.
  std::map<ServiceName, Placer::Summary> Held(Time now) {
    std::map<ServiceName, Placer::Summary> out;
    for (const auto& [service, state] : holding) {
      if (!IsAsked(state, now)) continue;
      out[service] = PlacerOf(service).Summarize(now);
    }
    return out;
  }

  void LogState(Time now) {
    for (const auto& [service, sum] : Held(now)) {
      LogLine(Severity::kInfo, Event::kPlacement)
          .With("service", service)
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
          .With("memory", sum.memory);
    }
  }

  void Sync(Time now) {
    sync_due = now + kSyncPeriod;
    LogState(now);
    for (const auto& [name, peer] : peers) fleet.MarkLive(name, now);
    ShareLimits(now);
    for (const auto& [sequence, request] : own) {
      if (request.placed) sync_rounds[request.service] = kIdleSyncs;
    }
    for (auto& [service, rounds] : sync_rounds) {
      if (rounds == 0) continue;
      --rounds;
      SendSync(service, Holder(service));
    }
  }

  const PlacementSettings settings;
  asio::io_context& io;
  Udp::socket socket;
  asio::steady_timer timer;
  Udp::endpoint from;
  std::array<char, kLongestDatagram> buffer{};
  std::map<ServiceName, RoutedService> services;
  std::map<ServiceName, std::vector<PoolTarget>> targets;
  std::map<ServiceName, Placer> placers;
  std::map<ServiceName, Holding> holding;
  Time settled;  ///< Before it this host may not know all the others.
  std::map<HostName, PlacementPeer> peers;
  std::map<HostName, Time> silent_until;
  std::map<std::uint64_t, Own> own;
  std::map<HostName, wire::PlaceMessages> outgoing;
  /// Hosts that `outgoing` tells all limits of a service.
  std::set<std::pair<HostName, ServiceName>> limits_sent;
  RecentHosts fleet;
  std::uint64_t grants_past_limits = 0;
  TargetBackOffs rests;               ///< Of this host.
  std::map<TargetName, bool> listed;  ///< Of `targets`: whether it leaves.
  std::uint32_t asks = 0;
  std::map<ServiceName, int> sync_rounds;  ///< Still to come.
  std::uint64_t next_sequence = 0;
  Time sync_due;
  bool fast = false;
};

Placement::Placement(asio::io_context& io, PlacementSettings settings)
    : state_(std::make_shared<State>(io, std::move(settings))) {}

Placement::~Placement() {
  error_code ignored;
  state_->socket.close(ignored);
  state_->timer.cancel();
}

std::error_code Placement::Open() {
  asio::ip::tcp::endpoint endpoint;
  if (const auto error =
          http::ParseEndpoint(state_->settings.address, endpoint)) {
    return error;
  }
  const Udp::endpoint local(endpoint.address(), endpoint.port());
  error_code error;
  state_->socket.open(local.protocol(), error);
  if (!error) state_->socket.bind(local, error);
  if (error) return error;
  state_->settled = Now() + kSettleTime;
  state_->Receive();
  state_->Wait();
  return {};
}

void Placement::SetServices(
    const std::map<ServiceName, RoutedService>& services) {
  state_->services = services;
  for (const auto& [name, service] : services) {
    const auto at = state_->placers.find(name);
    if (at != state_->placers.end()) at->second.SetEngine(service.engine);
  }
}

void Placement::SetTargets(
    const std::map<ServiceName, std::vector<PoolTarget>>& targets) {
  state_->targets = targets;
  state_->NoteListed();
  std::vector<ServiceName> names;
  for (const auto& [name, placer] : state_->placers) names.push_back(name);
  for (const auto& name : names) {
    state_->PlacerOf(name).SetTargets(state_->targets[name], Now());
    state_->Deliver(name);
  }
}

void Placement::SetPeers(std::vector<PlacementPeer> peers) {
  std::map<HostName, PlacementPeer> next;
  for (auto& peer : peers) next[peer.name] = std::move(peer);
  if (next == state_->peers) return;
  state_->peers = std::move(next);
  for (auto& [service, placer] : state_->placers) {
    placer.SetHosts(state_->peers.size());
  }
  state_->FollowHolders();
  state_->sync_due = Now();
  state_->Hurry();
}

void Placement::Forget(const HostName& host, Incarnation incarnation) {
  for (auto& [name, placer] : state_->placers) {
    placer.Forget(host, incarnation);
  }
}

RequestId Placement::NextId() { return state_->IdOf(++state_->next_sequence); }

void Placement::Place(const ServiceName& service, const PlaceJob& job,
                      Callback done) {
  State::Own& own = state_->own[job.id.sequence];
  own = {};
  own.service = service;
  own.job = job;
  own.job.number = ++state_->asks;
  own.done = std::move(done);
  state_->Ask(own);
  if (state_->own.contains(job.id.sequence)) state_->Hurry();
}

void Placement::Begun(const RequestId& id) {
  const auto at = state_->own.find(id.sequence);
  if (at == state_->own.end() || at->second.begun) return;
  at->second.begun = true;
  state_->Note(at->second, id, std::nullopt, {});
}

void Placement::Ended(const RequestId& id, WorkEnd end,
                      const TargetName& cause) {
  const auto at = state_->own.find(id.sequence);
  if (at == state_->own.end()) return;
  const State::Own own = std::move(at->second);
  state_->own.erase(at);
  state_->Note(own, id, end, cause);
}

void Placement::ToldRest(const ServiceName& service, const PlacedTarget& target,
                         Duration rest) {
  if (!state_->rests.Add(target.name, target.born, rest, Now())) return;
  state_->SendRest(service, state_->Holder(service), target.name,
                   state_->RestOf(target));
}

void Placement::ToldLimit(const ServiceName& service,
                          const PlacedTarget& target, double rate,
                          const std::string& request) {
  const Time now = Now();
  TargetLimits& limits = state_->PlacerOf(service).limits();
  const auto before = limits.RateOf(target.name, target.born);
  if (limits.RecordLimit(target.name, target.born, rate, now)) {
    state_->LimitChanged(service, *limits.ReportOf(target.name, target.born),
                         before, {}, request, now);
  }
  state_->TellLimit(service, target);
}

void Placement::ToldNoLimit(const ServiceName& service,
                            const PlacedTarget& target, Time sent,
                            const std::string& request) {
  const Time now = Now();
  TargetLimits& limits = state_->PlacerOf(service).limits();
  const auto before = limits.RateOf(target.name, target.born);
  if (!limits.RecordNoLimit(target.name, target.born, sent, now)) return;
  state_->LimitChanged(service, *limits.ReportOf(target.name, target.born),
                       before, {}, request, now);
  state_->TellLimit(service, target);
}

std::optional<ListedTarget> Placement::Listed(
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

std::size_t Placement::limited() const {
  std::size_t count = 0;
  for (const auto& [service, placer] : state_->placers) {
    count += placer.limits().size();
  }
  return count;
}

std::uint64_t Placement::grants_past_limits() const {
  return state_->grants_past_limits;
}

void Placement::ShareLeaving(const TargetMark& mark) {
  state_->ShareLeaving(mark);
}

std::optional<TargetName> Placement::Misfit(const PlaceGrant& grant) const {
  const PlacedTarget* unfit = state_->Unfit(grant);
  return unfit == nullptr ? std::nullopt : std::optional(unfit->name);
}

std::size_t Placement::resting() const { return state_->rests.size(Now()); }

HostName Placement::HolderOf(const ServiceName& service) const {
  return state_->Holder(service);
}

bool Placement::holds() const {
  const Time now = Now();
  return std::any_of(
      state_->holding.begin(), state_->holding.end(),
      [now](const auto& entry) { return State::IsAsked(entry.second, now); });
}

std::map<ServiceName, Placer::Summary> Placement::Held() {
  return state_->Held(Now());
}

std::vector<Placer::TargetLoad> Placement::Loads(
    const ServiceName& service) const {
  const auto at = state_->placers.find(service);
  return at == state_->placers.end() ? std::vector<Placer::TargetLoad>{}
                                     : at->second.Loads();
}

}  // namespace comfreyflow::gateway
