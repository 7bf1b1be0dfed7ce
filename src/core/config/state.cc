// Coming by the configuration in force.
#include <algorithm>
#include <charconv>

#include "comfreyflow/config-state.h"

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWatcherReadPeriod = seconds(2);
constexpr Duration kIdleReadPeriod = seconds(60);
constexpr Duration kUrgentReadPeriod = seconds(1);
constexpr Duration kMostBackoff = seconds(8);
constexpr Duration kCallLimit = seconds(2);
constexpr Duration kFetchLimit = seconds(1);
constexpr Duration kWatchSlack = seconds(2);
constexpr Duration kSettleTime = seconds(1);
constexpr int kHashDigits = 16;
constexpr int kMostTries = 5;
constexpr int kMostDoublings = 3;

}  // namespace

ConfigState::ConfigState(std::uint64_t seed, Time now)
    : random_(seed),
      fetch_until_(now),
      read_until_(now),
      watch_until_(now),
      next_read_(now),
      next_watch_(now),
      confirmed_(now) {}

ConfigCommands ConfigState::Handle(const ConfigEvent& event, Time now) {
  ConfigCommands out;
  std::visit([&](const auto& e) { On(e, now, out); }, event);
  Judge(now, out);
  return out;
}

void ConfigState::On(const StoreDocumentReceived& event, Time now,
                     ConfigCommands& out) {
  reading_ = false;
  failures_ = 0;
  confirmed_ = now;
  Offer(event.document, true, now, out);
}

void ConfigState::On(const StoreUnchanged&, Time now, ConfigCommands&) {
  reading_ = false;
  failures_ = 0;
  confirmed_ = now;
}

void ConfigState::On(const StoreFailed&, Time now, ConfigCommands&) {
  reading_ = false;
  ++failures_;
  next_read_ = now + ReadPeriod();
}

void ConfigState::On(const WatchEnded&, Time now, ConfigCommands&) {
  watching_ = false;
  // A watch that fails at once must not be asked again at once.
  next_watch_ = now + (failures_ > 0 ? ReadPeriod() : milliseconds(100));
}

void ConfigState::On(const PeerConfigAnnounced& event, Time now,
                     ConfigCommands& out) {
  if (!first_peer_) first_peer_ = now;
  if (event.config.generation <= generation_) {
    ahead_.erase(event.host);
    return;
  }
  ahead_[event.host] = event.config;
  Fetch(now, out);
}

void ConfigState::On(const PeerRemoved& event, Time now, ConfigCommands& out) {
  ahead_.erase(event.host);
  if (fetching_ == event.host) fetching_.reset();
  Fetch(now, out);
}

void ConfigState::On(const PeerDocumentReceived& event, Time now,
                     ConfigCommands& out) {
  if (fetching_ == event.host) fetching_.reset();
  const bool taken = Offer(event.document, false, now, out);
  const auto announced = ahead_.find(event.host);
  // The peer may have moved on since; it announces that anew.
  if (!taken && announced != ahead_.end()) ahead_.erase(announced);
  Fetch(now, out);
}

void ConfigState::On(const PeerFetchFailed& event, Time now,
                     ConfigCommands& out) {
  if (fetching_ == event.host) fetching_.reset();
  // It comes back with its next announcement.
  ahead_.erase(event.host);
  Fetch(now, out);
}

void ConfigState::On(const ConfigUpdateAccepted& event, Time now,
                     ConfigCommands& out) {
  Offer(event.document, true, now, out);
}

void ConfigState::On(const MembershipViewReceived& event, Time,
                     ConfigCommands&) {
  majority_ = event.majority;
  rank_ = event.rank;
}

void ConfigState::On(const ConfigTick&, Time now, ConfigCommands& out) {
  if (majority_) confirmed_ = now;
  if (held_ && first_peer_ && now >= *first_peer_ + kSettleTime &&
      held_->document.generation >= Announced()) {
    Apply(*held_, out);
  }
  if (fetching_ && now >= fetch_until_) {
    ahead_.erase(*fetching_);
    fetching_.reset();
  }
  Fetch(now, out);
  ReadAndWatch(now, out);
}

/// Takes a document that is later than the one in force. The first one after a
/// start waits while peers announce a later one, so that no host goes back
/// over its own restart.
bool ConfigState::Offer(const StoredConfig& document, bool of_store, Time now,
                        ConfigCommands& out) {
  if (document.generation <= generation_) return false;
  if (document.generation <= rejected_) return false;
  ConfigResult parsed = ParseConfig(document.text);
  if (!parsed.ok()) {
    rejected_ = document.generation;
    out.emplace_back(ConfigRejected{document.generation, parsed.problems});
    return false;
  }
  auto config = std::make_shared<const Config>(std::move(parsed.config));
  const bool settled =
      of_store || (first_peer_ && now >= *first_peer_ + kSettleTime);
  if (generation_ == 0 && (!settled || document.generation < Announced())) {
    if (!held_ || held_->document.generation < document.generation) {
      held_ = Held{document, std::move(config)};
    }
    return true;
  }
  Apply({document, std::move(config)}, out);
  return true;
}

void ConfigState::Apply(Held next, ConfigCommands& out) {
  generation_ = next.document.generation;
  hash_ = HashOf(*next.config);
  text_ = std::move(next.document.text);
  held_.reset();
  std::erase_if(ahead_, [&](const auto& peer) {
    return peer.second.generation <= generation_;
  });
  out.emplace_back(ApplyConfig{generation_, hash_, std::move(next.config)});
}

std::uint64_t ConfigState::Announced() const {
  std::uint64_t most = 0;
  for (const auto& [host, mark] : ahead_) {
    if (mark.generation > rejected_) most = std::max(most, mark.generation);
  }
  return most;
}

/// Asks one of the peers that have the latest generation.
void ConfigState::Fetch(Time now, ConfigCommands& out) {
  if (fetching_) return;
  const std::uint64_t most = Announced();
  if (most <= generation_ || (held_ && held_->document.generation >= most))
    return;
  std::vector<HostName> hosts;
  for (const auto& [host, mark] : ahead_) {
    if (mark.generation == most) hosts.push_back(host);
  }
  std::uniform_int_distribution<std::size_t> draw(0, hosts.size() - 1);
  fetching_ = hosts[draw(random_)];
  fetch_until_ = now + kFetchLimit;
  out.emplace_back(FetchConfig{*fetching_, most});
}

bool ConfigState::IsWatcher() const { return rank_ < kWatchersPerDomain; }

Duration ConfigState::ReadPeriod() const {
  const bool urgent = generation_ == 0 || !majority_ || stopped_ != Errc::kOk;
  Duration period = kIdleReadPeriod;
  if (IsWatcher()) period = kWatcherReadPeriod;
  if (urgent) period = kUrgentReadPeriod;
  // A store that is down is not asked faster than one that is up, except by
  // those who need it to go on.
  const int doublings = std::min(failures_, kMostDoublings);
  if (doublings == 0) return period;
  return std::max(period,
                  std::min<Duration>(kMostBackoff, seconds(1 << doublings)));
}

void ConfigState::ReadAndWatch(Time now, ConfigCommands& out) {
  if (reading_ && now >= read_until_) {
    reading_ = false;
    ++failures_;
  }
  if (watching_ && now >= watch_until_) watching_ = false;
  if (!reading_ && now >= next_read_) {
    reading_ = true;
    read_until_ = now + kCallLimit;
    const Duration period = ReadPeriod();
    std::uniform_int_distribution<Duration::rep> draw(0, period.count() / 4);
    next_read_ = now + period - Duration(draw(random_));
    out.emplace_back(ReadStoredConfig{});
  }
  if (IsWatcher() && !watching_ && now >= next_watch_) {
    watching_ = true;
    watch_until_ = now + kWatchTime + kWatchSlack;
    out.emplace_back(WatchStoredConfig{generation_});
  }
}

void ConfigState::Judge(Time now, ConfigCommands& out) {
  if (Announced() > generation_) {
    if (!behind_since_) behind_since_ = now;
  } else {
    behind_since_.reset();
  }
  Errc reason = Errc::kOk;
  if (now > confirmed_ + kCutOffAfter) reason = Errc::kCutOff;
  if (behind_since_ && now > *behind_since_ + kCutOffAfter) {
    reason = Errc::kCutOff;
  }
  if (generation_ == 0) reason = Errc::kNoConfiguration;
  if (reason == stopped_) return;
  stopped_ = reason;
  // A host that was behind or alone asks the store at once.
  if (reason != Errc::kOk) next_read_ = std::min(next_read_, now);
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
  const auto own = members.find(self);
  if (own == members.end()) return 0;
  std::size_t rank = 0;
  for (auto at = members.begin(); at != own; ++at) {
    const Member& member = at->second;
    if (member.record.failure_domain != own->second.record.failure_domain) {
      continue;
    }
    if (member.state == MemberState::kAlive && !member.facts.draining) ++rank;
  }
  return rank;
}

ConfigMark MarkOf(std::uint64_t generation, const Digest& hash) {
  ConfigMark mark{generation, 0};
  const std::string& text = hash.value;
  const std::size_t digits = std::min<std::size_t>(kHashDigits, text.size());
  std::from_chars(text.data(), text.data() + digits, mark.hash, 16);
  return mark;
}

ConfigUpdate::ConfigUpdate(std::uint64_t base, std::string text)
    : base_(base), text_(std::move(text)) {}

UpdateStep ConfigUpdate::Start() const { return PutConfig{base_, text_}; }

UpdateStep ConfigUpdate::OnPut(PutReply reply, std::uint64_t version) {
  if (reply == PutReply::kDone) return UpdateEnded{Errc::kOk, {version, text_}};
  if (reply == PutReply::kNoAnswer) in_doubt_ = true;
  return ReadBack{};
}

UpdateStep ConfigUpdate::OnRead(const StoredConfig& found) {
  if (found.generation > base_ && found.text == text_) {
    return UpdateEnded{Errc::kOk, found};
  }
  if (found.generation == base_) {
    if (++tries_ >= kMostTries) {
      return UpdateEnded{Errc::kPlatformUnavailable, found};
    }
    return PutConfig{base_, text_};
  }
  return UpdateEnded{Errc::kConfigConflict, found, in_doubt_};
}

UpdateStep ConfigUpdate::OnReadFailed() {
  if (++tries_ < kMostTries) return ReadBack{};
  const Errc code =
      in_doubt_ ? Errc::kOutcomeUnknown : Errc::kPlatformUnavailable;
  return UpdateEnded{code, {}, in_doubt_};
}

}  // namespace comfreyflow
