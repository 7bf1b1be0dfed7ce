// Appender: queueing of records, the choice of each shard's next store call,
// and timeouts. reader.cc has the handling of the results.
#include "core/claims/appender.h"

#include <algorithm>
#include <utility>

#include "core/claims/names.h"

namespace comfreyflow::detail {
namespace {

/// A log confirmed less than this long ago is not read again before a claim of
/// a known key is decided.
constexpr Duration kFreshLogAge = std::chrono::seconds(1);

bool IsClaim(const ClaimRecord& record) {
  return record.kind == ClaimRecord::Kind::kClaim;
}

}  // namespace

Appender::Appender(const ClaimSettings& settings) : settings_(settings) {
  shards_.resize(settings.shards);
  for (std::uint32_t i = 0; i < settings.shards; ++i) shards_[i].number = i;
}

void Appender::SetStewards(const std::vector<HostName>& stewards) {
  stewards_ = stewards;
  for (Shard& shard : shards_) {
    if (IsSteward(shard) && !shard.is_caught_up)
      shard.catch_up_requested = true;
  }
}

bool Appender::IsSteward(const Shard& shard) const {
  return shard.number < stewards_.size() &&
         stewards_[shard.number] == settings_.host;
}

void Appender::Enqueue(const ClaimRecord& record, Time now) {
  Shard& shard = shards_[ShardOf(record.key, settings_.shards)];
  shard.queue.push_back({record, now});
  shard.last_used_at = now;
}

bool Appender::MayBeInLog(const ClaimRecord& record) const {
  const Shard& shard = shards_[ShardOf(record.key, settings_.shards)];
  if (shard.log.HasKey(record.key)) return true;
  if (!shard.pending_batch) return false;
  const auto& records = shard.pending_batch->records;
  return std::any_of(records.begin(), records.end(), [&](const auto& other) {
    return other.key == record.key && other.claimant == record.claimant;
  });
}

std::size_t Appender::keys() const {
  std::size_t total = 0;
  for (const Shard& shard : shards_) total += shard.log.size();
  return total;
}

void Appender::TakeCommands(ClaimCommands& out) {
  for (ClaimCommand& command : out_) out.push_back(std::move(command));
  out_.clear();
}

std::vector<RecordResult> Appender::Advance(
    const std::function<bool(const ClaimRecord&)>& has_waiter, Time now) {
  now_ = now;
  std::vector<RecordResult> results;
  for (Shard& shard : shards_) {
    if (shard.call == ShardCall::kNone)
      StartNextCall(shard, has_waiter, results);
  }
  ProbeStore();
  return results;
}

void Appender::StartNextCall(
    Shard& shard, const std::function<bool(const ClaimRecord&)>& has_waiter,
    std::vector<RecordResult>& results) {
  if (!store_up() && now_ < next_probe_at_) return;
  if (NeedsCatchUp(shard)) return CatchUp(shard);
  if (shard.pending_batch) return CreateSlot(shard);
  ResolveQueue(shard, has_waiter, results);
  if (IsBatchDue(shard)) return CreateSlot(shard);
  Trim(shard);
}

/// Whether the log must be read before queued records can be decided.
bool Appender::NeedsCatchUp(const Shard& shard) const {
  if (shard.IsIdle() && !shard.catch_up_requested) return false;
  if (!shard.is_caught_up) return true;
  if (now_ - shard.confirmed_at < kFreshLogAge) return false;
  return std::any_of(
      shard.queue.begin(), shard.queue.end(), [&](const QueuedRecord& queued) {
        return IsClaim(queued.record) && shard.log.HasKey(queued.record.key);
      });
}

void Appender::CatchUp(Shard& shard) {
  shard.is_caught_up = false;
  if (!shard.is_trim_mark_known) {
    const std::uint64_t op = BeginCall(shard, ShardCall::kReadMark);
    out_.push_back(StoreGet{op, TrimMarkName(shard.number)});
    return;
  }
  const std::uint64_t op = BeginCall(shard, ShardCall::kList);
  out_.push_back(StoreList{op, SlotPrefix(shard.number),
                           SlotName(shard.number, shard.log.next_slot()),
                           settings_.page_size});
}

void Appender::ResolveQueue(
    Shard& shard, const std::function<bool(const ClaimRecord&)>& has_waiter,
    std::vector<RecordResult>& results) {
  if (!shard.is_caught_up) return;
  std::deque<QueuedRecord> remaining;
  for (QueuedRecord& queued : shard.queue) {
    const ClaimRecord& record = queued.record;
    if (!has_waiter(record)) continue;
    if (IsClaim(record)) {
      const auto verdict = shard.log.Decide(record, shard.trim_mark, now_);
      if (verdict) {
        results.push_back({record, *verdict});
        continue;
      }
    } else if (shard.log.IsSettled(record)) {
      results.push_back({record, ClaimVerdict::kDuplicateDone});
      continue;
    }
    remaining.push_back(std::move(queued));
  }
  shard.queue = std::move(remaining);
}

bool Appender::IsBatchDue(const Shard& shard) const {
  if (shard.queue.empty()) return false;
  if (now_ - shard.last_append_at < settings_.batch_period) return false;
  return std::any_of(
      shard.queue.begin(), shard.queue.end(), [&](const QueuedRecord& queued) {
        return IsClaim(queued.record) ||
               now_ - queued.queued_at >= settings_.max_outcome_delay;
      });
}

void Appender::CreateSlot(Shard& shard) {
  if (!shard.pending_batch) {
    ClaimBatch batch;
    const RequestId writer{settings_.host, settings_.incarnation,
                           ++write_sequence_};
    batch.nonce = ClaimantOf(writer);
    batch.floor = shard.trim_mark;
    while (!shard.queue.empty() && batch.records.size() < settings_.max_batch) {
      batch.records.push_back(shard.queue.front().record);
      shard.queue.pop_front();
    }
    shard.pending_batch = std::move(batch);
    shard.pending_slot = shard.log.next_slot();
  }
  shard.last_append_at = now_;
  const std::uint64_t op = BeginCall(shard, ShardCall::kCreate);
  out_.push_back(StoreCreate{op, SlotName(shard.number, shard.pending_slot),
                             EncodeBatch(*shard.pending_batch)});
}

std::uint64_t Appender::BeginCall(Shard& shard, ShardCall call) {
  shard.call = call;
  shard.op = next_op_++;
  shard.call_started_at = now_;
  shard.last_used_at = now_;
  if (!store_up()) next_probe_at_ = now_ + settings_.probe_period;
  return shard.op;
}

/// Checks whether the store is reachable again even if no shard has a call to
/// make.
void Appender::ProbeStore() {
  if (store_up() || now_ < next_probe_at_) return;
  Shard& shard = shards_.front();
  if (shard.call != ShardCall::kNone) return;
  const std::uint64_t op = BeginCall(shard, ShardCall::kReadMark);
  out_.push_back(StoreGet{op, TrimMarkName(shard.number)});
}

void Appender::Expire(Time now) {
  now_ = now;
  for (Shard& shard : shards_) {
    if (shard.call == ShardCall::kNone) continue;
    if (now - shard.call_started_at >= settings_.store_timeout)
      OnNoAnswer(shard);
  }
  for (Shard& shard : shards_) {
    const bool is_unused = now - shard.last_used_at >= settings_.idle_timeout;
    if (shard.is_caught_up && is_unused && shard.IsIdle() &&
        !IsSteward(shard)) {
      ResetShard(shard);
    }
  }
}

void Appender::OnNoAnswer(Shard& shard) {
  ++consecutive_failures_;
  if (!store_up()) next_probe_at_ = now_ + settings_.probe_period;
  if (shard.call == ShardCall::kDelete || shard.call == ShardCall::kWriteMark) {
    shard.orphans_listed = false;
    shard.is_trim_mark_known = false;
  }
  // Reading the log again shows whether the call took effect.
  shard.is_caught_up = false;
  shard.call = ShardCall::kNone;
}

void Appender::OnStoreAnswered(const StoreAnswered& event, Time now) {
  now_ = now;
  const auto found =
      std::find_if(shards_.begin(), shards_.end(), [&](const Shard& shard) {
        return shard.call != ShardCall::kNone && shard.op == event.op;
      });
  if (found == shards_.end()) return;
  if (event.result == StoreResult::kNoAnswer) return OnNoAnswer(*found);
  consecutive_failures_ = 0;
  const ShardCall call = found->call;
  found->call = ShardCall::kNone;
  HandleResult(*found, call, event);
}

void Appender::HandleResult(Shard& shard, ShardCall call,
                            const StoreAnswered& event) {
  switch (call) {
    case ShardCall::kReadMark:
      return OnMarkRead(shard, event);
    case ShardCall::kList:
      return OnSlotsListed(shard, event);
    case ShardCall::kConfirmMark:
      return OnMarkConfirmed(shard, event);
    case ShardCall::kCreate:
      return OnSlotCreated(shard, event);
    case ShardCall::kWriteMark:
      return OnMarkWritten(shard, event);
    case ShardCall::kListOrphans:
      return OnOrphansListed(shard, event);
    case ShardCall::kDelete:
      if (event.result == StoreResult::kConflict) shard.orphans_listed = false;
      return;
    case ShardCall::kNone:
      return;
  }
}

}  // namespace comfreyflow::detail
