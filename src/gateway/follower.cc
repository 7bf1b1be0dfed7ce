// Lists, watches and waits.
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

}  // namespace

struct Follower::State : std::enable_shared_from_this<State> {
  struct Track {
    FollowedKind kind;
    Time confirmed;          ///< When the store last answered about the kind.
    std::uint64_t call = 0;  ///< Answers to earlier calls are not taken.
    std::unique_ptr<asio::steady_timer> timer;
  };

  State(asio::io_context& io, ObjectStore given,
        std::vector<FollowedKind> kinds, FollowerHooks hooks)
      : store(std::move(given)),
        hooks(std::move(hooks)),
        plan(kinds.size(), std::random_device{}()) {
    for (auto& kind : kinds) {
      Track& track = tracks.emplace_back();
      track.kind = std::move(kind);
      track.timer = std::make_unique<asio::steady_timer>(io);
    }
  }

  void Step(std::size_t index) {
    if (stopped) return;
    const auto step = plan.Next(index, hooks.part().hosts);
    if (!step) return;
    step->list ? List(index) : Watch(index, step->wait);
  }

  /// Takes an answer unless another call was begun since.
  template <class Answer>
  std::function<void(const Answer&)> Taking(
      std::size_t index, void (State::*take)(std::size_t, const Answer&)) {
    const std::uint64_t call = ++tracks[index].call;
    return
        [self = shared_from_this(), index, take, call](const Answer& answer) {
          if (self->stopped || self->tracks[index].call != call) return;
          (*self.*take)(index, answer);
        };
  }

  void List(std::size_t index) {
    store.list(tracks[index].kind.kind,
               Taking<ListAnswer>(index, &State::Listed));
  }

  void Listed(std::size_t index, const ListAnswer& list) {
    if (list.error) return Failed(index, list.error, list.timed_out);
    Track& track = tracks[index];
    track.confirmed = Now();
    const auto effect = plan.Listed(index, list.version);
    Tell(effect, index);
    track.kind.listed(list.items);
    if (track.kind.told) track.kind.told();
    Go(index, effect);
  }

  FleetInfo PartFor(std::size_t index) const {
    FleetInfo part = hooks.part();
    part.needs_short_pause =
        part.needs_short_pause || tracks[index].kind.one_document;
    return part;
  }

  void Watch(std::size_t index, Duration wait) {
    store.watch(tracks[index].kind.kind, plan.version(index), wait,
                Taking<WatchAnswer>(index, &State::Changed));
  }

  void Changed(std::size_t index, const WatchAnswer& changes) {
    Track& track = tracks[index];
    if (changes.history_expired) {
      LogLine(Severity::kInfo, Event::kStoreHistoryGone)
          .With("kind", track.kind.kind)
          .With("version", plan.version(index));
      return Go(index, plan.HistoryExpired(index));
    }
    if (changes.error) return Failed(index, changes.error, changes.timed_out);
    track.confirmed = Now();
    const auto effect = plan.Changed(index, changes.version,
                                     !changes.changes.empty(), PartFor(index));
    Tell(effect, index);
    for (const auto& change : changes.changes) track.kind.changed(change);
    if (track.kind.told && !changes.changes.empty()) track.kind.told();
    Go(index, effect);
  }

  void Failed(std::size_t index, const std::error_code& error, bool silent) {
    LogLine(Severity::kInfo, Event::kStoreCallFailed)
        .With("kind", tracks[index].kind.kind)
        .With(ToErrc(error))
        .With("silent", silent)
        .With("version", plan.version(index))
        .With("age", Age(index));
    const auto effect = plan.Failed(index);
    Tell(effect, index);
    Go(index, effect);
  }

  void Tell(const FollowPlan::Effect& effect, std::size_t index) {
    if (effect.store_lost) {
      LogLine(Severity::kWarning, Event::kStoreLost)
          .With("kind", tracks[index].kind.kind);
      hooks.lost();
    }
    if (effect.store_recovered) {
      LogLine(Severity::kInfo, Event::kStoreBack);
      hooks.back();
    }
  }

  void Go(std::size_t index, const FollowPlan::Effect& effect) {
    for (const std::size_t resumed : effect.resumed) Later(resumed, {});
    if (!effect.pause) return;
    if (*effect.pause == Duration::zero()) return Step(index);
    Later(index, *effect.pause);
  }

  /// Since the store answered about the kind; zero before its first answer.
  milliseconds Age(std::size_t index) const {
    if (!plan.listed(index)) return {};
    return std::chrono::duration_cast<milliseconds>(Now() -
                                                    tracks[index].confirmed);
  }

  void Later(std::size_t index, Duration wait) {
    auto& timer = *tracks[index].timer;
    timer.expires_after(wait);
    timer.async_wait([self = shared_from_this(),
                      index](const boost::system::error_code& error) {
      if (!error) self->Step(index);
    });
  }

  ObjectStore store;
  FollowerHooks hooks;
  std::vector<Track> tracks;
  FollowPlan plan;
  bool stopped = false;
};

Follower::Follower(asio::io_context& io, ObjectStore store,
                   std::vector<FollowedKind> kinds, FollowerHooks hooks)
    : state_(std::make_shared<State>(io, std::move(store), std::move(kinds),
                                     std::move(hooks))) {}

Follower::~Follower() {
  state_->stopped = true;
  for (auto& track : state_->tracks) track.timer->cancel();
}

void Follower::Start() {
  for (std::size_t i = 0; i < state_->tracks.size(); ++i) state_->Step(i);
}

void Follower::Behind(const std::string& kind) {
  for (std::size_t i = 0; i < state_->tracks.size(); ++i) {
    if (state_->tracks[i].kind.kind != kind || !state_->plan.Behind(i)) {
      continue;
    }
    LogLine(Severity::kInfo, Event::kStoreCallFailed)
        .With("kind", kind)
        .With("behind", true)
        .With("version", state_->plan.version(i))
        .With("age", state_->Age(i));
    state_->Step(i);
  }
}

std::vector<KindKnown> Follower::Known() const {
  std::vector<KindKnown> known;
  for (std::size_t i = 0; i < state_->tracks.size(); ++i) {
    const auto& track = state_->tracks[i];
    known.push_back(
        {track.kind.kind, state_->plan.version(i), track.confirmed});
  }
  return known;
}

bool Follower::store_up() const { return state_->plan.store_up(); }

}  // namespace comfreyflow::gateway
