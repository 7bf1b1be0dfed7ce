// Issues the list and watch calls of a follower and delivers their answers.
#include "gateway/follower.h"

#include <random>
#include <utility>

#include "node/clock.h"
#include "node/log.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;
using std::chrono::milliseconds;

/// How long a host that starts waits for peers to tell a small state before it
/// lists it. Peers answer within about 100 ms; the spread lets the first hosts
/// of a fleet that starts tell the others.
constexpr Duration kMinPeerWait = milliseconds(150);
constexpr Duration kMaxPeerWait = milliseconds(600);

}  // namespace

struct Follower::State : std::enable_shared_from_this<State> {
  struct Track {
    FollowedKind kind;
    Time confirmed_at;  ///< Time of the store's last answer for the kind.
    std::uint64_t call_number = 0;  ///< Answers to earlier calls are ignored.
    std::unique_ptr<asio::steady_timer> timer;
    /// The next step waits for the timer.
    bool is_scheduled = false;
    std::uint64_t step_number = 0;  ///< Timers of earlier steps are ignored.
  };

  State(asio::io_context& io, ObjectStore object_store,
        std::vector<FollowedKind> kinds, FollowerHooks hooks)
      : store(std::move(object_store)),
        hooks(std::move(hooks)),
        plan(kinds.size(), std::random_device{}()),
        era_timer(io) {
    for (auto& kind : kinds) {
      Track& track = tracks.emplace_back();
      track.kind = std::move(kind);
      track.timer = std::make_unique<asio::steady_timer>(io);
    }
  }

  void Step(std::size_t index) {
    if (stopped) return;
    Unschedule(index);
    const FleetInfo fleet = hooks.fleet_part();
    if (tracks[index].kind.is_told_by_peers) {
      const auto& is_known = tracks[index].kind.is_known;
      const auto rest =
          plan.RestTime(index, fleet, is_known && is_known(), Now());
      if (rest) return ScheduleStep(index, *rest);
    }
    const auto step = plan.Next(index, fleet);
    if (!step) return;
    step->list ? List(index) : Watch(index, step->wait);
  }

  /// Returns a handler that ignores its answer if another call has been started
  /// for the kind meanwhile.
  template <class Answer>
  std::function<void(const Answer&)> IgnoringStale(
      std::size_t index, void (State::*handle)(std::size_t, const Answer&)) {
    const std::uint64_t call_number = ++tracks[index].call_number;
    return [self = shared_from_this(), index, handle,
            call_number](const Answer& answer) {
      if (self->stopped || self->tracks[index].call_number != call_number)
        return;
      (*self.*handle)(index, answer);
    };
  }

  void List(std::size_t index) {
    store.list(tracks[index].kind.kind,
               IgnoringStale<ListAnswer>(index, &State::OnListed));
  }

  void OnListed(std::size_t index, const ListAnswer& list) {
    if (list.error) return OnFailure(index, list.error, list.timed_out);
    Track& track = tracks[index];
    track.confirmed_at = Now();
    const auto effect = plan.Listed(index, list.version);
    ReportStoreState(effect, index);
    // A list of an earlier era is made again.
    if (!plan.listed(index)) return Continue(index, effect);
    track.kind.on_listed(list.items);
    if (track.kind.on_batch_end) track.kind.on_batch_end();
    Continue(index, effect);
  }

  FleetInfo FleetPartFor(std::size_t index) const {
    FleetInfo part = hooks.fleet_part();
    part.needs_short_pause =
        part.needs_short_pause || tracks[index].kind.is_single_document;
    return part;
  }

  void Watch(std::size_t index, Duration wait) {
    store.watch(tracks[index].kind.kind, plan.version(index), wait,
                IgnoringStale<WatchAnswer>(index, &State::OnChanged));
  }

  void OnChanged(std::size_t index, const WatchAnswer& changes) {
    Track& track = tracks[index];
    if (changes.history_expired) {
      LogLine(Severity::kInfo, Event::kStoreHistoryGone)
          .With("kind", track.kind.kind)
          .With("version", plan.version(index).revision)
          .With("era", plan.version(index).era);
      return Continue(index, plan.HistoryExpired(index));
    }
    if (changes.error)
      return OnFailure(index, changes.error, changes.timed_out);
    track.confirmed_at = Now();
    const auto effect = plan.Changed(
        index, changes.version, !changes.changes.empty(), FleetPartFor(index));
    ReportStoreState(effect, index);
    for (const auto& change : changes.changes) track.kind.on_changed(change);
    if (track.kind.on_batch_end && !changes.changes.empty())
      track.kind.on_batch_end();
    Continue(index, effect);
  }

  void OnFailure(std::size_t index, const std::error_code& error,
                 bool timed_out) {
    LogLine(Severity::kInfo, Event::kStoreCallFailed)
        .With("kind", tracks[index].kind.kind)
        .With(ToErrc(error))
        .With("silent", timed_out)
        .With("version", plan.version(index).revision)
        .With("era", plan.version(index).era)
        .With("age", AgeOf(index));
    const auto effect = plan.Failed(index);
    ReportStoreState(effect, index);
    Continue(index, effect);
  }

  void OnEraChange(std::uint64_t era) {
    for (const auto& relist : plan.EraChanged(era, hooks.fleet_part().hosts)) {
      Track& track = tracks[relist.kind];
      ++track.call_number;
      LogLine(Severity::kInfo, Event::kStoreRelisted)
          .With("kind", track.kind.kind)
          .With("version", plan.version(relist.kind).revision)
          .With("before", plan.version(relist.kind).era)
          .With("era", era)
          .With("wait", std::chrono::duration_cast<milliseconds>(relist.wait));
      ScheduleStep(relist.kind, relist.wait);
    }
  }

  bool OnEraAnnounced(std::uint64_t era, std::uint64_t known) {
    const auto wait =
        plan.EraAnnounced(era, known, hooks.fleet_part().hosts, Now());
    if (!wait) return false;
    era_timer.expires_after(*wait);
    era_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->stopped) return;
          for (std::size_t i = 0; i < self->tracks.size(); ++i) {
            self->RefreshStale(i);
          }
        });
    return true;
  }

  void RefreshStale(std::size_t index) {
    if (!plan.Behind(index)) return;
    LogLine(Severity::kInfo, Event::kStoreCallFailed)
        .With("kind", tracks[index].kind.kind)
        .With("behind", true)
        .With("version", plan.version(index).revision)
        .With("era", plan.version(index).era)
        .With("age", AgeOf(index));
    Step(index);
  }

  /// Makes this host a reader of the store: what waits for a later call is
  /// called now, and an open watch, perhaps on a dead connection, is abandoned.
  void StartReading() {
    for (std::size_t i = 0; i < tracks.size(); ++i) {
      if (!plan.listed(i) || !plan.store_up()) continue;
      const bool is_behind = plan.Behind(i);
      if (is_behind || tracks[i].is_scheduled) Step(i);
    }
  }

  void ReportStoreState(const FollowPlan::Effect& effect, std::size_t index) {
    if (effect.store_lost) {
      LogLine(Severity::kWarning, Event::kStoreLost)
          .With("kind", tracks[index].kind.kind);
      hooks.on_store_lost();
    }
    if (effect.store_recovered) {
      LogLine(Severity::kInfo, Event::kStoreBack);
      hooks.on_store_recovered();
    }
  }

  void Continue(std::size_t index, const FollowPlan::Effect& effect) {
    for (const std::size_t resumed : effect.resumed) ScheduleStep(resumed, {});
    if (!effect.pause) return;
    if (*effect.pause == Duration::zero()) return Step(index);
    ScheduleStep(index, *effect.pause);
  }

  /// Time since the store last answered for the kind; zero before its first
  /// answer.
  milliseconds AgeOf(std::size_t index) const {
    if (!plan.listed(index)) return {};
    return std::chrono::duration_cast<milliseconds>(Now() -
                                                    tracks[index].confirmed_at);
  }

  void Unschedule(std::size_t index) {
    Track& track = tracks[index];
    ++track.step_number;
    if (std::exchange(track.is_scheduled, false)) track.timer->cancel();
  }

  void ScheduleStep(std::size_t index, Duration wait) {
    Unschedule(index);
    Track& track = tracks[index];
    track.is_scheduled = true;
    track.timer->expires_after(wait);
    // The handler of a cancelled wait may already be queued without an error.
    track.timer->async_wait(
        [self = shared_from_this(), index, step_number = track.step_number](
            const boost::system::error_code& error) {
          if (error || self->tracks[index].step_number != step_number) return;
          self->Step(index);
        });
  }

  ObjectStore store;
  FollowerHooks hooks;
  std::vector<Track> tracks;
  FollowPlan plan;
  asio::steady_timer era_timer;
  bool stopped = false;
};

Follower::Follower(asio::io_context& io, ObjectStore store,
                   std::vector<FollowedKind> kinds, FollowerHooks hooks)
    : state_(std::make_shared<State>(io, std::move(store), std::move(kinds),
                                     std::move(hooks))) {}

Follower::~Follower() {
  state_->stopped = true;
  for (auto& track : state_->tracks) track.timer->cancel();
  state_->era_timer.cancel();
}

void Follower::Start() {
  std::mt19937 random(std::random_device{}());
  for (std::size_t i = 0; i < state_->tracks.size(); ++i) {
    if (!state_->tracks[i].kind.is_known) {
      state_->Step(i);
      continue;
    }
    std::uniform_int_distribution<Duration::rep> draw(kMinPeerWait.count(),
                                                      kMaxPeerWait.count());
    state_->ScheduleStep(i, Duration(draw(random)));
  }
}

void Follower::RefreshStale(const std::string& kind) {
  for (std::size_t i = 0; i < state_->tracks.size(); ++i) {
    if (state_->tracks[i].kind.kind == kind) state_->RefreshStale(i);
  }
}

std::vector<KindStatus> Follower::KindStatuses() const {
  std::vector<KindStatus> statuses;
  for (std::size_t i = 0; i < state_->tracks.size(); ++i) {
    const auto& track = state_->tracks[i];
    statuses.push_back(
        {track.kind.kind, state_->plan.version(i), track.confirmed_at});
  }
  return statuses;
}

bool Follower::OnEraAnnounced(std::uint64_t era, std::uint64_t known) {
  return state_->OnEraAnnounced(era, known);
}

void Follower::StartReading() { state_->StartReading(); }

void Follower::OnEraChange(std::uint64_t era) { state_->OnEraChange(era); }

bool Follower::store_up() const { return state_->plan.store_up(); }

}  // namespace comfreyflow::gateway
