// The claim state machine of one host: tracks which local requests and peers
// wait for a record, and whether this host or the shard's steward appends it.
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

/// After a steward missed its timeout or refused a claim, this host appends the
/// records of that steward's shards itself for this long.
constexpr Duration kStewardAvoidance = std::chrono::seconds(2);
/// An outcome that could not be recorded within this time is dropped.
constexpr Duration kOutcomeTimeout = std::chrono::minutes(10);

/// Identifies a record: kind, key and claimant.
using RecordId = std::tuple<ClaimRecord::Kind, std::string, std::uint64_t>;

RecordId IdOf(const ClaimRecord& record) {
  return {record.kind, record.key, record.claimant};
}

bool IsClaim(const ClaimRecord& record) {
  return record.kind == ClaimRecord::Kind::kClaim;
}

/// A record without a result yet, and who receives the result.
struct PendingRecord {
  ClaimRecord record;
  std::optional<RequestId> local_request;  ///< Set for a claim of this host.
  std::set<HostName> peers;                ///< Hosts that forwarded the record.
  HostName steward;  ///< Appends the record; empty if this host does.
  Time created_at;
  Time routed_at;
  bool may_be_in_log = false;  ///< Also if a call in flight may still add it.
};

}  // namespace

struct Claims::State {
  explicit State(ClaimSettings given)
      : settings(std::move(given)), appender(settings) {}

  ClaimSettings settings;
  Appender appender;
  std::map<RecordId, PendingRecord> pending_records;
  std::map<RequestId, ClaimRecord> held_claims;  ///< Without an outcome yet.
  std::vector<HostName> stewards;
  std::map<HostName, Time> avoid_steward_until;
  std::map<HostName, std::vector<PeerVerdict>> replies;
  std::map<HostName, std::vector<ClaimRecord>> forwards;
  std::size_t pending_claims = 0;
  ClaimCommands out;
  Time now;

  std::uint32_t ShardNumber(const ClaimRecord& record) const {
    return detail::ShardOf(record.key, settings.shards);
  }

  /// The remote steward that is to append the record; empty if this host
  /// appends it, as steward or because the steward is being avoided.
  HostName RemoteSteward(const ClaimRecord& record) const {
    const std::uint32_t shard = ShardNumber(record);
    if (shard >= stewards.size() || stewards[shard] == settings.host) return {};
    const auto avoided = avoid_steward_until.find(stewards[shard]);
    if (avoided != avoid_steward_until.end() && now < avoided->second)
      return {};
    return stewards[shard];
  }

  /// Forwards the record to its steward or queues it in this host's appender.
  /// Returns false if this host would have to append a claim while the store is
  /// unreachable.
  bool Route(PendingRecord& pending) {
    pending.steward = RemoteSteward(pending.record);
    pending.routed_at = now;
    if (!pending.steward.value.empty()) {
      pending.may_be_in_log = true;
      forwards[pending.steward].push_back(pending.record);
      return true;
    }
    return AppendLocally(pending);
  }

  bool AppendLocally(PendingRecord& pending) {
    pending.steward = {};
    if (IsClaim(pending.record) && !appender.store_up()) return false;
    appender.Enqueue(pending.record, now);
    return true;
  }

  void On(const WantClaim& event) {
    ClaimRecord record;
    record.key = detail::KeyDigest(event.account, event.idempotency_key);
    record.claimant = detail::ClaimantOf(event.request);
    record.fingerprint = detail::ShortFingerprint(event.fingerprint);
    const Duration remaining = event.deadline - now;
    record.remaining = std::chrono::ceil<std::chrono::seconds>(remaining);
    if (pending_records.contains(IdOf(record))) return;
    const bool is_too_long = remaining * 2 > settings.retention;
    if (remaining <= Duration::zero() || is_too_long ||
        pending_claims >= settings.max_pending_claims ||
        appender.keys() >= settings.max_keys) {
      AnswerLocal(event.request, ClaimVerdict::kUnavailable);
      return;
    }
    PendingRecord& pending = pending_records[IdOf(record)];
    ++pending_claims;
    pending.record = record;
    pending.local_request = event.request;
    pending.created_at = now;
    if (!Route(pending)) Resolve(IdOf(record), ClaimVerdict::kUnavailable);
  }

  void On(const RecordOutcome& event) {
    const auto found = held_claims.find(event.request);
    if (found == held_claims.end()) return;
    ClaimRecord record = found->second;
    held_claims.erase(found);
    record.kind = ClaimRecord::Kind::kOutcome;
    record.outcome = event.outcome;
    AppendOutcome(record);
  }

  /// Appends an outcome of this host, unless too many outcomes are pending.
  void AppendOutcome(const ClaimRecord& record) {
    if (pending_records.size() - pending_claims >= settings.max_pending_claims)
      return;
    PendingRecord& pending = pending_records[IdOf(record)];
    pending.record = record;
    pending.created_at = now;
    Route(pending);
  }

  void On(const PeerClaims& event) {
    for (const ClaimRecord& record : event.records) {
      const bool is_claim = IsClaim(record);
      const auto known = pending_records.find(IdOf(record));
      if (known != pending_records.end()) {
        known->second.peers.insert(event.from);
        continue;
      }
      const bool is_full =
          pending_records.size() >= 2 * settings.max_pending_claims ||
          appender.keys() >= settings.max_keys;
      if (is_claim && (is_full || !appender.store_up())) {
        ReplyTo(event.from, record, ClaimVerdict::kUnavailable);
        continue;
      }
      if (is_full) continue;
      PendingRecord& pending = pending_records[IdOf(record)];
      if (is_claim) ++pending_claims;
      pending.record = record;
      pending.peers.insert(event.from);
      pending.created_at = now;
      AppendLocally(pending);
    }
  }

  void On(const PeerVerdicts& event) {
    for (const PeerVerdict& verdict : event.verdicts) {
      const RecordId id{verdict.kind, verdict.key, verdict.claimant};
      const auto found = pending_records.find(id);
      // Only a verdict from the current steward counts. What an earlier one
      // appended, this host reads from the log.
      if (found == pending_records.end() || found->second.steward != event.from)
        continue;
      const bool is_refused = verdict.verdict == ClaimVerdict::kUnavailable;
      if (is_refused && IsClaim(found->second.record) && appender.store_up()) {
        BypassSteward(id);
      } else {
        Resolve(id, verdict.verdict);
      }
    }
  }

  void On(const StoreAnswered& event) { appender.OnStoreAnswered(event, now); }
  void On(const ClaimStewards& event) {
    stewards = event.by_shard;
    appender.SetStewards(stewards);
  }

  void On(const Tick&) {
    appender.Expire(now);
    std::vector<RecordId> timed_out;
    std::vector<RecordId> overdue;
    for (const auto& [id, pending] : pending_records) {
      const Duration age = now - pending.created_at;
      const Duration limit =
          IsClaim(pending.record) ? settings.claim_timeout : kOutcomeTimeout;
      if (age >= limit) {
        timed_out.push_back(id);
      } else if (!pending.steward.value.empty() &&
                 now - pending.routed_at >= StewardTimeout(pending)) {
        overdue.push_back(id);
      }
    }
    for (const RecordId& id : timed_out) {
      Resolve(id, ClaimVerdict::kUnavailable);
    }
    for (const RecordId& id : overdue) BypassSteward(id);
  }

  /// How long to wait for a steward. Outcomes get longer, as the steward holds
  /// them back for a claim to share their slot.
  Duration StewardTimeout(const PendingRecord& pending) const {
    if (IsClaim(pending.record)) return settings.peer_timeout;
    return settings.peer_timeout + settings.max_outcome_delay;
  }

  /// Appends the record on this host after its steward timed out or refused it,
  /// and avoids that steward for a while.
  void BypassSteward(const RecordId& id) {
    PendingRecord& pending = pending_records.at(id);
    avoid_steward_until[pending.steward] = now + kStewardAvoidance;
    if (!AppendLocally(pending)) Resolve(id, ClaimVerdict::kUnavailable);
  }

  void AnswerLocal(const RequestId& request, ClaimVerdict verdict) {
    out.push_back(ClaimAnswered{request, verdict});
  }

  void ReplyTo(const HostName& peer, const ClaimRecord& record,
               ClaimVerdict verdict) {
    replies[peer].push_back(
        {record.kind, record.key, record.claimant, verdict});
  }

  /// Reports the verdict on a record to everyone who waits for it.
  void Resolve(const RecordId& id, ClaimVerdict verdict) {
    const auto found = pending_records.find(id);
    if (found == pending_records.end()) return;
    const PendingRecord pending = std::move(found->second);
    pending_records.erase(found);
    if (IsClaim(pending.record)) --pending_claims;
    for (const HostName& peer : pending.peers) {
      ReplyTo(peer, pending.record, verdict);
    }
    if (!pending.local_request) return;
    AnswerLocal(*pending.local_request, verdict);
    if (verdict == ClaimVerdict::kClaimed)
      held_claims[*pending.local_request] = pending.record;
    const bool may_be_in_log =
        pending.may_be_in_log || appender.MayBeInLog(pending.record);
    if (verdict == ClaimVerdict::kUnavailable && may_be_in_log) {
      // The claim may be in the log or get there later, but its request never
      // runs: record that, so that the key becomes free.
      ClaimRecord release = pending.record;
      release.kind = ClaimRecord::Kind::kOutcome;
      release.outcome = Outcome::kNotRun;
      AppendOutcome(release);
    }
  }

  /// Advances the appender, resolves the records that it is done with, and
  /// collects the commands.
  void Advance() {
    const auto has_waiter = [this](const ClaimRecord& record) {
      return pending_records.contains(IdOf(record));
    };
    for (const auto& result : appender.Advance(has_waiter, now)) {
      Resolve(IdOf(result.record), result.verdict);
    }
    if (!appender.store_up()) FailLocalClaims();
    appender.TakeCommands(out);
    for (auto& [host, records] : forwards) {
      out.push_back(AskClaimSteward{host, std::move(records)});
    }
    forwards.clear();
    for (auto& [host, verdicts] : replies) {
      out.push_back(AnswerPeer{host, std::move(verdicts)});
    }
    replies.clear();
  }

  /// Fails the claims that this host appends itself, at once rather than at
  /// their timeout. Called while the store is unreachable.
  void FailLocalClaims() {
    std::vector<RecordId> failed;
    for (const auto& [id, pending] : pending_records) {
      if (IsClaim(pending.record) && pending.steward.value.empty()) {
        failed.push_back(id);
      }
    }
    for (const RecordId& id : failed) {
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
  state_->Advance();
  return std::move(state_->out);
}

std::size_t Claims::keys() const { return state_->appender.keys(); }
std::size_t Claims::pending_claims() const { return state_->pending_claims; }
std::size_t Claims::unrecorded_outcomes() const {
  return state_->pending_records.size() - state_->pending_claims;
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
