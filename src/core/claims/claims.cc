// The claim machine of one host: who waits for which record, and through whom
// it is appended.
#include "comfreyflow/claims.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "core/claims/appender.h"
#include "core/claims/names.h"

namespace comfreyflow {
namespace {

using detail::Appender;

/// A steward that did not answer in time is passed over for so long.
constexpr Duration kStewardAvoidance = std::chrono::seconds(2);
/// An outcome that could not be recorded is dropped after so long.
constexpr Duration kOutcomePatience = std::chrono::minutes(10);

/// Names one record of the log.
using RecordId = std::tuple<ClaimRecord::Kind, std::string, std::uint64_t>;

RecordId IdOf(const ClaimRecord& record) {
  return {record.kind, record.key, record.claimant};
}

bool IsClaim(const ClaimRecord& record) {
  return record.kind == ClaimRecord::Kind::kClaim;
}

/// Who wants to hear how a record ended.
struct Waiter {
  ClaimRecord record;
  std::optional<RequestId> local;  ///< Of claims of this host.
  std::set<HostName> peers;
  HostName steward;  ///< Asked to append it; empty when this host does.
  Time since;
  Time asked;
  bool exposed = false;  ///< May be in the log, now or later.
};

}  // namespace

struct Claims::State {
  explicit State(ClaimSettings given)
      : settings(std::move(given)), appender(settings) {}

  ClaimSettings settings;
  Appender appender;
  std::map<RecordId, Waiter> waiters;
  std::map<RequestId, ClaimRecord> held;  ///< Claimed, outcome not told yet.
  std::vector<HostName> stewards;
  std::map<HostName, Time> avoid_until;
  std::map<HostName, std::vector<PeerVerdict>> answers;
  std::map<HostName, std::vector<ClaimRecord>> asks;
  std::size_t claims_waiting = 0;
  ClaimCommands out;
  Time now;

  std::uint32_t ShardNumber(const ClaimRecord& record) const {
    return detail::ShardOf(record.key, settings.shards);
  }

  /// The other host that shall append the record; empty for this one.
  HostName StewardFor(const ClaimRecord& record) const {
    const std::uint32_t shard = ShardNumber(record);
    if (shard >= stewards.size() || stewards[shard] == settings.host) return {};
    const auto avoid = avoid_until.find(stewards[shard]);
    if (avoid != avoid_until.end() && now < avoid->second) return {};
    return stewards[shard];
  }

  /// Hands the record to its steward or to this host's appender. False when
  /// neither can take it.
  bool Route(Waiter& waiter) {
    waiter.steward = StewardFor(waiter.record);
    waiter.asked = now;
    if (!waiter.steward.value.empty()) {
      waiter.exposed = true;
      asks[waiter.steward].push_back(waiter.record);
      return true;
    }
    return AppendHere(waiter);
  }

  bool AppendHere(Waiter& waiter) {
    waiter.steward = {};
    if (IsClaim(waiter.record) && !appender.store_up()) return false;
    appender.Enqueue(waiter.record, now);
    return true;
  }

  void On(const WantClaim& event) {
    ClaimRecord record;
    record.key = detail::KeyDigest(event.account, event.idempotency_key);
    record.claimant = detail::ClaimantOf(event.request);
    record.fingerprint = detail::ShortFingerprint(event.fingerprint);
    const Duration remaining = event.deadline - now;
    record.remaining = std::chrono::ceil<std::chrono::seconds>(remaining);
    if (waiters.contains(IdOf(record))) return;
    const bool too_long = remaining * 2 > settings.retention;
    if (remaining <= Duration::zero() || too_long ||
        claims_waiting >= settings.max_waiting ||
        appender.keys() >= settings.max_keys) {
      Tell(event.request, ClaimVerdict::kUnavailable);
      return;
    }
    Waiter& waiter = waiters[IdOf(record)];
    ++claims_waiting;
    waiter.record = record;
    waiter.local = event.request;
    waiter.since = now;
    if (!Route(waiter)) Resolve(IdOf(record), ClaimVerdict::kUnavailable);
  }

  void On(const RecordOutcome& event) {
    const auto at = held.find(event.request);
    if (at == held.end()) return;
    ClaimRecord record = at->second;
    held.erase(at);
    record.kind = ClaimRecord::Kind::kOutcome;
    record.outcome = event.outcome;
    KeepOutcome(record);
  }

  /// Sees to it that an outcome of this host reaches the log.
  void KeepOutcome(const ClaimRecord& record) {
    if (waiters.size() - claims_waiting >= settings.max_waiting) return;
    Waiter& waiter = waiters[IdOf(record)];
    waiter.record = record;
    waiter.since = now;
    Route(waiter);
  }

  void On(const PeerClaims& event) {
    for (const ClaimRecord& record : event.records) {
      const bool claim = IsClaim(record);
      const auto known = waiters.find(IdOf(record));
      if (known != waiters.end()) {
        known->second.peers.insert(event.from);
        continue;
      }
      const bool full = waiters.size() >= 2 * settings.max_waiting ||
                        appender.keys() >= settings.max_keys;
      if (claim && (full || !appender.store_up())) {
        AnswerTo(event.from, record, ClaimVerdict::kUnavailable);
        continue;
      }
      if (full) continue;
      Waiter& waiter = waiters[IdOf(record)];
      if (claim) ++claims_waiting;
      waiter.record = record;
      waiter.peers.insert(event.from);
      waiter.since = now;
      AppendHere(waiter);
    }
  }

  void On(const PeerVerdicts& event) {
    for (const PeerVerdict& verdict : event.verdicts) {
      const RecordId id{verdict.kind, verdict.key, verdict.claimant};
      const auto at = waiters.find(id);
      // Only the steward that was asked last is believed; a late answer of an
      // earlier one is found in the log instead.
      if (at == waiters.end() || at->second.steward != event.from) continue;
      const bool refused = verdict.verdict == ClaimVerdict::kUnavailable;
      if (refused && IsClaim(at->second.record) && appender.store_up()) {
        PassOver(id);
      } else {
        Resolve(id, verdict.verdict);
      }
    }
  }

  void On(const StoreAnswered& event) { appender.Answered(event, now); }
  void On(const ClaimStewards& event) {
    stewards = event.by_shard;
    appender.SetStewards(stewards);
  }

  void On(const Tick&) {
    appender.Expire(now);
    std::vector<RecordId> late;
    std::vector<RecordId> unanswered;
    for (const auto& [id, waiter] : waiters) {
      const Duration age = now - waiter.since;
      const Duration limit =
          IsClaim(waiter.record) ? settings.claim_timeout : kOutcomePatience;
      if (age >= limit) {
        late.push_back(id);
      } else if (!waiter.steward.value.empty() &&
                 now - waiter.asked >= Patience(waiter)) {
        unanswered.push_back(id);
      }
    }
    for (const RecordId& id : late) {
      Resolve(id, ClaimVerdict::kUnavailable);
    }
    for (const RecordId& id : unanswered) PassOver(id);
  }

  /// How long a steward may take: it keeps outcomes for the next claim.
  Duration Patience(const Waiter& waiter) const {
    if (IsClaim(waiter.record)) return settings.peer_timeout;
    return settings.peer_timeout + settings.max_outcome_delay;
  }

  /// The steward did not answer: this host appends the record itself.
  void PassOver(const RecordId& id) {
    Waiter& waiter = waiters.at(id);
    avoid_until[waiter.steward] = now + kStewardAvoidance;
    if (!AppendHere(waiter)) Resolve(id, ClaimVerdict::kUnavailable);
  }

  void Tell(const RequestId& request, ClaimVerdict verdict) {
    out.push_back(ClaimAnswered{request, verdict});
  }

  void AnswerTo(const HostName& peer, const ClaimRecord& record,
                ClaimVerdict verdict) {
    answers[peer].push_back(
        {record.kind, record.key, record.claimant, verdict});
  }

  /// Ends the wait for a record.
  void Resolve(const RecordId& id, ClaimVerdict verdict) {
    const auto at = waiters.find(id);
    if (at == waiters.end()) return;
    const Waiter waiter = std::move(at->second);
    waiters.erase(at);
    if (IsClaim(waiter.record)) --claims_waiting;
    for (const HostName& peer : waiter.peers) {
      AnswerTo(peer, waiter.record, verdict);
    }
    if (!waiter.local) return;
    Tell(*waiter.local, verdict);
    if (verdict == ClaimVerdict::kClaimed) held[*waiter.local] = waiter.record;
    const bool exposed = waiter.exposed || appender.Exposed(waiter.record);
    if (verdict == ClaimVerdict::kUnavailable && exposed) {
      // It may be in the log, now or later, and will never be run.
      ClaimRecord release = waiter.record;
      release.kind = ClaimRecord::Kind::kOutcome;
      release.outcome = Outcome::kNotRun;
      KeepOutcome(release);
    }
  }

  /// Lets the appender work and passes on what it decided.
  void Pump() {
    const auto wanted = [this](const ClaimRecord& record) {
      return waiters.contains(IdOf(record));
    };
    for (const auto& end : appender.Pump(wanted, now)) {
      Resolve(IdOf(end.record), end.verdict);
    }
    if (!appender.store_up()) GiveUpClaims();
    appender.Drain(out);
    for (auto& [host, records] : asks) {
      out.push_back(AskClaimSteward{host, std::move(records)});
    }
    asks.clear();
    for (auto& [host, verdicts] : answers) {
      out.push_back(AnswerPeer{host, std::move(verdicts)});
    }
    answers.clear();
  }

  /// With the store out of reach no claim is kept waiting on this host.
  void GiveUpClaims() {
    std::vector<RecordId> given_up;
    for (const auto& [id, waiter] : waiters) {
      if (IsClaim(waiter.record) && waiter.steward.value.empty()) {
        given_up.push_back(id);
      }
    }
    for (const RecordId& id : given_up) {
      Resolve(id, ClaimVerdict::kUnavailable);
    }
  }
};

Claims::Claims(ClaimSettings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}
Claims::~Claims() = default;
Claims::Claims(Claims&&) noexcept = default;
Claims& Claims::operator=(Claims&&) noexcept = default;

ClaimCommands Claims::Handle(const ClaimEvent& event, Time now) {
  state_->now = now;
  state_->out.clear();
  std::visit([this](const auto& typed) { state_->On(typed); }, event);
  state_->Pump();
  return std::move(state_->out);
}

std::size_t Claims::keys() const { return state_->appender.keys(); }
std::size_t Claims::pending_claims() const { return state_->claims_waiting; }
std::size_t Claims::unrecorded_outcomes() const {
  return state_->waiters.size() - state_->claims_waiting;
}
bool Claims::store_up() const { return state_->appender.store_up(); }

std::vector<HostName> AssignClaimStewards(const std::vector<HostName>& hosts,
                                          std::uint32_t shards) {
  std::vector<HostName> stewards(shards);
  if (hosts.empty()) return stewards;
  const std::size_t share = (shards + hosts.size() - 1) / hosts.size();
  std::map<HostName, std::size_t> load;
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    std::uint64_t best = 0;
    for (const HostName& host : hosts) {
      if (load[host] >= share) continue;
      const std::uint64_t weight = detail::RendezvousWeight(host, shard);
      if (!stewards[shard].value.empty() && weight <= best) continue;
      best = weight;
      stewards[shard] = host;
    }
    ++load[stewards[shard]];
  }
  return stewards;
}

}  // namespace comfreyflow
