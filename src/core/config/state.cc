// Tracks the newest configuration and decides whether the host may admit
// requests.
#include <algorithm>
#include <charconv>

#include "comfreyflow/config-state.h"

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Read periods. Watchers read often, so that a broken watch delays a new
// document by seconds only. The other hosts read seldom, so that the load on
// the store grows little with the fleet. The urgent period is that of hosts
// that have no configuration, are in no quorum or admit no requests.
constexpr Duration kWatcherReadPeriod = seconds(2);
constexpr Duration kDefaultReadPeriod = seconds(60);
constexpr Duration kUrgentReadPeriod = seconds(1);
constexpr Duration kMaxBackoff = seconds(8);
constexpr Duration kReadTimeout = seconds(2);
constexpr Duration kFetchTimeout = seconds(1);
// Time added to the wait of a watch before its answer counts as lost.
constexpr Duration kWatchTimeoutMargin = seconds(2);
// Time after the first announcement of a peer for which a starting host waits
// for later generations before it applies a peer's document.
constexpr Duration kStartupWait = seconds(1);
// Hexadecimal digits of the hash in a `ConfigMark`.
constexpr int kMarkHashDigits = 16;
// Writes and reads without success after which an operator's update gives up.
constexpr int kMaxAttempts = 5;
constexpr int kMaxBackoffDoublings = 3;

}  // namespace

ConfigState::ConfigState(std::uint64_t seed, Time now)
    : random_(seed),
      fetch_deadline_(now),
      read_deadline_(now),
      watch_deadline_(now),
      next_read_at_(now),
      next_watch_at_(now),
      confirmed_at_(now) {}

ConfigCommands ConfigState::Handle(const ConfigEvent& event, Time now) {
  ConfigCommands out;
  std::visit([&](const auto& e) { On(e, now, out); }, event);
  UpdateAdmission(now, out);
  return out;
}

void ConfigState::On(const StoreDocumentReceived& event, Time now,
                     ConfigCommands& out) {
  reading_ = false;
  store_failures_ = 0;
  confirmed_at_ = now;
  AcceptDocument(event.document, true, now, out);
}

void ConfigState::On(const StoreUnchanged&, Time now, ConfigCommands&) {
  reading_ = false;
  store_failures_ = 0;
  confirmed_at_ = now;
}

void ConfigState::On(const StoreFailed&, Time now, ConfigCommands&) {
  reading_ = false;
  ++store_failures_;
  next_read_at_ = now + ReadPeriod();
}

void ConfigState::On(const WatchEnded&, Time now, ConfigCommands&) {
  watching_ = false;
  // Without the delay, a watch that fails immediately would be sent again in a
  // tight loop.
  next_watch_at_ =
      now + (store_failures_ > 0 ? ReadPeriod() : milliseconds(100));
}

void ConfigState::On(const PeerConfigAnnounced& event, Time now,
                     ConfigCommands& out) {
  if (!first_peer_at_) first_peer_at_ = now;
  if (event.config.generation <= generation_) {
    newer_peers_.erase(event.host);
    return;
  }
  newer_peers_[event.host] = event.config;
  FetchFromPeer(now, out);
}

void ConfigState::On(const PeerRemoved& event, Time now, ConfigCommands& out) {
  newer_peers_.erase(event.host);
  if (fetching_from_ == event.host) fetching_from_.reset();
  FetchFromPeer(now, out);
}

void ConfigState::On(const PeerDocumentReceived& event, Time now,
                     ConfigCommands& out) {
  if (fetching_from_ == event.host) fetching_from_.reset();
  const bool taken = AcceptDocument(event.document, false, now, out);
  const auto announced = newer_peers_.find(event.host);
  // If the peer has a newer document by now, it will announce that one.
  if (!taken && announced != newer_peers_.end()) newer_peers_.erase(announced);
  FetchFromPeer(now, out);
}

void ConfigState::On(const PeerFetchFailed& event, Time now,
                     ConfigCommands& out) {
  if (fetching_from_ == event.host) fetching_from_.reset();
  // The peer is considered again at its next announcement.
  newer_peers_.erase(event.host);
  FetchFromPeer(now, out);
}

void ConfigState::On(const ConfigUpdateAccepted& event, Time now,
                     ConfigCommands& out) {
  AcceptDocument(event.document, true, now, out);
}

void ConfigState::On(const MembershipViewReceived& event, Time,
                     ConfigCommands&) {
  has_quorum_ = event.has_quorum;
  domain_rank_ = event.domain_rank;
}

void ConfigState::On(const ConfigTick&, Time now, ConfigCommands& out) {
  if (has_quorum_) confirmed_at_ = now;
  if (pending_ && first_peer_at_ && now >= *first_peer_at_ + kStartupWait &&
      pending_->document.generation >= NewestAnnounced()) {
    Apply(*pending_, out);
  }
  if (fetching_from_ && now >= fetch_deadline_) {
    newer_peers_.erase(*fetching_from_);
    fetching_from_.reset();
  }
  FetchFromPeer(now, out);
  ReadAndWatch(now, out);
}

/// Applies a document that is newer than the one in force. The first document
/// after the start is kept pending while peers announce a newer one, so that a
/// host does not return to an older generation by restarting. Returns whether
/// the document was applied or kept.
bool ConfigState::AcceptDocument(const StoredConfig& document, bool from_store,
                                 Time now, ConfigCommands& out) {
  if (document.generation <= generation_) return false;
  if (document.generation <= highest_rejected_) return false;
  ConfigResult parsed = ParseConfig(document.text);
  if (!parsed.ok()) {
    highest_rejected_ = document.generation;
    out.emplace_back(ConfigRejected{document.generation, parsed.problems});
    return false;
  }
  auto config = std::make_shared<const Config>(std::move(parsed.config));
  const bool startup_wait_over =
      from_store || (first_peer_at_ && now >= *first_peer_at_ + kStartupWait);
  if (generation_ == 0 &&
      (!startup_wait_over || document.generation < NewestAnnounced())) {
    if (!pending_ || pending_->document.generation < document.generation) {
      pending_ = ParsedDocument{document, std::move(config)};
    }
    return true;
  }
  Apply({document, std::move(config)}, out);
  return true;
}

void ConfigState::Apply(ParsedDocument next, ConfigCommands& out) {
  generation_ = next.document.generation;
  hash_ = HashOf(*next.config);
  text_ = std::move(next.document.text);
  pending_.reset();
  std::erase_if(newer_peers_, [&](const auto& peer) {
    return peer.second.generation <= generation_;
  });
  out.emplace_back(ApplyConfig{generation_, hash_, std::move(next.config)});
}

std::uint64_t ConfigState::NewestAnnounced() const {
  std::uint64_t newest = 0;
  for (const auto& [host, mark] : newer_peers_) {
    if (mark.generation > highest_rejected_)
      newest = std::max(newest, mark.generation);
  }
  return newest;
}

/// Requests the document from a peer chosen at random among those with the
/// newest generation.
void ConfigState::FetchFromPeer(Time now, ConfigCommands& out) {
  if (fetching_from_) return;
  const std::uint64_t newest = NewestAnnounced();
  if (newest <= generation_ ||
      (pending_ && pending_->document.generation >= newest))
    return;
  std::vector<HostName> hosts;
  for (const auto& [host, mark] : newer_peers_) {
    if (mark.generation == newest) hosts.push_back(host);
  }
  std::uniform_int_distribution<std::size_t> draw(0, hosts.size() - 1);
  fetching_from_ = hosts[draw(random_)];
  fetch_deadline_ = now + kFetchTimeout;
  out.emplace_back(FetchConfig{*fetching_from_, newest});
}

bool ConfigState::IsWatcher() const {
  return domain_rank_ < kWatchersPerDomain;
}

Duration ConfigState::ReadPeriod() const {
  const bool urgent =
      generation_ == 0 || !has_quorum_ || stop_reason_ != Errc::kOk;
  Duration period = kDefaultReadPeriod;
  if (IsWatcher()) period = kWatcherReadPeriod;
  if (urgent) period = kUrgentReadPeriod;
  // A failing store is read no more often than a working one, except by hosts
  // that cannot admit requests without it. Periods shorter than the back-off
  // are extended to it.
  const int doublings = std::min(store_failures_, kMaxBackoffDoublings);
  if (doublings == 0) return period;
  return std::max(period,
                  std::min<Duration>(kMaxBackoff, seconds(1 << doublings)));
}

void ConfigState::ReadAndWatch(Time now, ConfigCommands& out) {
  if (reading_ && now >= read_deadline_) {
    reading_ = false;
    ++store_failures_;
  }
  if (watching_ && now >= watch_deadline_) watching_ = false;
  if (!reading_ && now >= next_read_at_) {
    reading_ = true;
    read_deadline_ = now + kReadTimeout;
    const Duration period = ReadPeriod();
    std::uniform_int_distribution<Duration::rep> draw(0, period.count() / 4);
    next_read_at_ = now + period - Duration(draw(random_));
    out.emplace_back(ReadStoredConfig{});
  }
  if (IsWatcher() && !watching_ && now >= next_watch_at_) {
    watching_ = true;
    watch_deadline_ = now + kWatchTime + kWatchTimeoutMargin;
    out.emplace_back(WatchStoredConfig{generation_});
  }
}

void ConfigState::UpdateAdmission(Time now, ConfigCommands& out) {
  if (NewestAnnounced() > generation_) {
    if (!behind_since_) behind_since_ = now;
  } else {
    behind_since_.reset();
  }
  Errc reason = Errc::kOk;
  if (now > confirmed_at_ + kMaxUnconfirmedTime) reason = Errc::kCutOff;
  if (behind_since_ && now > *behind_since_ + kMaxUnconfirmedTime) {
    reason = Errc::kCutOff;
  }
  if (generation_ == 0) reason = Errc::kNoConfiguration;
  if (reason == stop_reason_) return;
  stop_reason_ = reason;
  // A host that stops admitting reads the store immediately.
  if (reason != Errc::kOk) next_read_at_ = std::min(next_read_at_, now);
  if (reason == Errc::kOk) {
    out.emplace_back(ResumeAdmitting{});
  } else {
    out.emplace_back(StopAdmitting{reason});
  }
}

bool HasQuorum(const std::map<HostName, Member>& members) {
  std::size_t known = 0;
  std::size_t live = 0;
  bool first_live = false;
  for (const auto& [name, member] : members) {
    if (member.state == MemberState::kLeft) continue;
    const bool is_live = member.state != MemberState::kDead;
    if (known == 0) first_live = is_live;
    ++known;
    live += is_live ? 1 : 0;
  }
  return 2 * live > known || (2 * live == known && first_live);
}

std::size_t RankInDomain(const std::map<HostName, Member>& members,
                         const HostName& self) {
  const auto self_entry = members.find(self);
  if (self_entry == members.end()) return 0;
  std::size_t rank = 0;
  for (auto at = members.begin(); at != self_entry; ++at) {
    const Member& member = at->second;
    if (member.record.failure_domain !=
        self_entry->second.record.failure_domain) {
      continue;
    }
    if (member.state == MemberState::kAlive && !member.facts.draining) ++rank;
  }
  return rank;
}

ConfigMark MarkOf(std::uint64_t generation, const Digest& hash) {
  ConfigMark mark{generation, 0};
  const std::string& text = hash.value;
  const std::size_t digits =
      std::min<std::size_t>(kMarkHashDigits, text.size());
  std::from_chars(text.data(), text.data() + digits, mark.hash, 16);
  return mark;
}

ConfigUpdate::ConfigUpdate(std::uint64_t base, std::string text)
    : base_generation_(base), text_(std::move(text)) {}

UpdateStep ConfigUpdate::Start() const {
  return PutConfig{base_generation_, text_};
}

UpdateStep ConfigUpdate::OnPut(PutReply reply, std::uint64_t version) {
  if (reply == PutReply::kDone) return UpdateEnded{Errc::kOk, {version, text_}};
  if (reply == PutReply::kNoAnswer) outcome_unknown_ = true;
  return ReadBack{};
}

UpdateStep ConfigUpdate::OnRead(const StoredConfig& found) {
  if (found.generation > base_generation_ && found.text == text_) {
    return UpdateEnded{Errc::kOk, found};
  }
  if (found.generation == base_generation_) {
    if (++attempts_ >= kMaxAttempts) {
      return UpdateEnded{Errc::kPlatformUnavailable, found};
    }
    return PutConfig{base_generation_, text_};
  }
  return UpdateEnded{Errc::kConfigConflict, found, outcome_unknown_};
}

UpdateStep ConfigUpdate::OnReadFailed() {
  if (++attempts_ < kMaxAttempts) return ReadBack{};
  const Errc code =
      outcome_unknown_ ? Errc::kOutcomeUnknown : Errc::kPlatformUnavailable;
  return UpdateEnded{code, {}, outcome_unknown_};
}

}  // namespace comfreyflow
