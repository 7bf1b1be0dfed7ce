// Lists, watches and waits.
#include "gateway/follower.h"

#include <algorithm>
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

/// How long a watch waits at the store; each one that ends is a call.
constexpr Duration kWatchTime = std::chrono::seconds(30);
/// A watch may be cut off by itself: the first failure is tried again at once.
constexpr Duration kFirstRetry = milliseconds(50);
constexpr Duration kLongestRetry = milliseconds(1000);
/// Before the first list a host can't serve at all.
constexpr Duration kLongestFirstRetry = milliseconds(300);
constexpr std::uint32_t kFailuresOfOutage = 2;
/// Shortest time between two watches of a kind, so that a storm of changes
/// comes in few answers. It grows with the hosts, which keeps the calls of all
/// of them flat, up to a part of the time in which changes must be in force.
constexpr Duration kWatchPausePerHost = milliseconds(10);
constexpr Duration kLeastWatchPause = milliseconds(60);
constexpr Duration kMostWatchPause = milliseconds(600);

}  // namespace

struct Follower::State : std::enable_shared_from_this<State> {
  struct Track {
    FollowedKind kind;
    bool listed = false;
    bool waits_for_store = false;
    std::uint64_t version = 0;
    Time confirmed;  ///< When the store last answered about the kind.
    std::unique_ptr<asio::steady_timer> timer;
  };

  State(asio::io_context& io, ObjectStore given,
        std::vector<FollowedKind> kinds, FollowerHooks hooks)
      : store(std::move(given)), hooks(std::move(hooks)) {
    for (auto& kind : kinds) {
      Track& track = tracks.emplace_back();
      track.kind = std::move(kind);
      track.timer = std::make_unique<asio::steady_timer>(io);
    }
  }

  void Step(std::size_t index) {
    if (stopped) return;
    if (failures >= kFailuresOfOutage && index != prober) {
      tracks[index].waits_for_store = true;
      return;
    }
    tracks[index].listed ? Watch(index) : List(index);
  }

  void List(std::size_t index) {
    store.list(tracks[index].kind.kind,
               [self = shared_from_this(), index](const ListAnswer& list) {
                 if (!self->stopped) self->Listed(index, list);
               });
  }

  void Listed(std::size_t index, const ListAnswer& list) {
    Track& track = tracks[index];
    if (list.error) return Failed(index, list.error, list.silent);
    Answered();
    track.listed = true;
    track.version = list.version;
    track.confirmed = Now();
    track.kind.listed(list.items);
    if (track.kind.told) track.kind.told();
    Step(index);
  }

  void Watch(std::size_t index) {
    // A probe must not wait: it has to tell soon whether the store is back.
    const Duration wait =
        failures >= kFailuresOfOutage ? Duration::zero() : kWatchTime;
    store.watch(tracks[index].kind.kind, tracks[index].version, wait,
                [self = shared_from_this(), index](const WatchAnswer& changes) {
                  if (!self->stopped) self->Changed(index, changes);
                });
  }

  void Changed(std::size_t index, const WatchAnswer& changes) {
    Track& track = tracks[index];
    if (changes.forgotten) {
      LogLine(Severity::kInfo, Event::kStoreHistoryGone)
          .With("kind", track.kind.kind)
          .With("version", track.version);
      track.listed = false;
      return Step(index);
    }
    if (changes.error) return Failed(index, changes.error, changes.silent);
    const bool was_out = failures >= kFailuresOfOutage;
    Answered();
    track.version = std::max(track.version, changes.version);
    track.confirmed = Now();
    for (const auto& change : changes.changes) track.kind.changed(change);
    if (track.kind.told && !changes.changes.empty()) track.kind.told();
    if (was_out) return Step(index);
    Later(index, changes.changes.empty() ? Duration::zero() : Pause());
  }

  Duration Pause() const {
    const auto hosts = static_cast<int>(hooks.hosts());
    return std::clamp(hosts * kWatchPausePerHost, kLeastWatchPause,
                      kMostWatchPause);
  }

  void Answered() {
    if (std::exchange(failures, 0) < kFailuresOfOutage) return;
    LogLine(Severity::kInfo, Event::kStoreBack);
    hooks.back();
    for (std::size_t i = 0; i < tracks.size(); ++i) {
      if (std::exchange(tracks[i].waits_for_store, false)) Later(i, {});
    }
  }

  void Failed(std::size_t index, const std::error_code& error, bool silent) {
    LogLine(Severity::kInfo, Event::kStoreCallFailed)
        .With("kind", tracks[index].kind.kind)
        .With(ToErrc(error))
        .With("silent", silent)
        .With("version", tracks[index].version)
        .With("age", Age(tracks[index]));
    if (failures >= kFailuresOfOutage && index != prober) {
      tracks[index].waits_for_store = true;
      return;
    }
    ++failures;
    if (failures == kFailuresOfOutage) {
      prober = index;
      LogLine(Severity::kWarning, Event::kStoreLost)
          .With("kind", tracks[index].kind.kind);
      hooks.lost();
    }
    const Duration longest =
        tracks[index].listed ? kLongestRetry : kLongestFirstRetry;
    const Duration wait =
        std::min(longest, kFirstRetry * (1 << std::min(failures, 8U)));
    Later(index, wait);
  }

  /// Since the store answered about the kind; zero before its first answer.
  static milliseconds Age(const Track& track) {
    if (!track.listed) return {};
    return std::chrono::duration_cast<milliseconds>(Now() - track.confirmed);
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
  std::uint32_t failures = 0;  ///< In a row, of all kinds.
  std::size_t prober = 0;      ///< The kind that tries during an outage.
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

std::vector<KindKnown> Follower::Known() const {
  std::vector<KindKnown> known;
  for (const auto& track : state_->tracks) {
    known.push_back({track.kind.kind, track.version, track.confirmed});
  }
  return known;
}

bool Follower::store_up() const { return state_->failures < kFailuresOfOutage; }

}  // namespace comfreyflow::gateway
