// Appending to and reading of the claim log.
#include "core/claims/appender.h"

#include <algorithm>
#include <utility>

#include "core/claims/names.h"

namespace comfreyflow::detail {
namespace {

/// A log confirmed this recently is not read again before a resend is judged.
constexpr Duration kFresh = std::chrono::seconds(1);

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
    if (IsSteward(shard) && !shard.caught_up) shard.want_catch_up = true;
  }
}

bool Appender::IsSteward(const Shard& shard) const {
  return shard.number < stewards_.size() &&
         stewards_[shard.number] == settings_.host;
}

void Appender::Enqueue(const ClaimRecord& record, Time now) {
  Shard& shard = shards_[ShardOf(record.key, settings_.shards)];
  shard.queue.push_back({record, now});
  shard.last_use = now;
}

bool Appender::Exposed(const ClaimRecord& record) const {
  const Shard& shard = shards_[ShardOf(record.key, settings_.shards)];
  if (shard.log.Knows(record.key)) return true;
  if (!shard.pending) return false;
  const auto& records = shard.pending->records;
  return std::any_of(records.begin(), records.end(), [&](const auto& other) {
    return other.key == record.key && other.claimant == record.claimant;
  });
}

std::size_t Appender::keys() const {
  std::size_t total = 0;
  for (const Shard& shard : shards_) total += shard.log.size();
  return total;
}

void Appender::Drain(ClaimCommands& out) {
  for (ClaimCommand& command : out_) out.push_back(std::move(command));
  out_.clear();
}

std::vector<RecordEnd> Appender::Pump(
    const std::function<bool(const ClaimRecord&)>& wanted, Time now) {
  now_ = now;
  std::vector<RecordEnd> ends;
  for (Shard& shard : shards_) {
    if (shard.call == ShardCall::kNone) Work(shard, wanted, ends);
  }
  Probe();
  return ends;
}

void Appender::Work(Shard& shard,
                    const std::function<bool(const ClaimRecord&)>& wanted,
                    std::vector<RecordEnd>& ends) {
  if (!store_up() && now_ < next_probe_) return;
  if (NeedsLog(shard)) return CatchUp(shard);
  if (shard.pending) return Create(shard);
  SettleQueue(shard, wanted, ends);
  if (BatchDue(shard)) return Create(shard);
  Trim(shard);
}

/// Whether slots must be read before anything can be decided.
bool Appender::NeedsLog(const Shard& shard) const {
  if (shard.idle() && !shard.want_catch_up) return false;
  if (!shard.caught_up) return true;
  if (now_ - shard.confirmed < kFresh) return false;
  return std::any_of(
      shard.queue.begin(), shard.queue.end(), [&](const QueuedRecord& queued) {
        return IsClaim(queued.record) && shard.log.Knows(queued.record.key);
      });
}

void Appender::CatchUp(Shard& shard) {
  shard.caught_up = false;
  if (!shard.mark_known) {
    const std::uint64_t op = Begin(shard, ShardCall::kReadMark);
    out_.push_back(StoreGet{op, MarkName(shard.number)});
    return;
  }
  const std::uint64_t op = Begin(shard, ShardCall::kList);
  out_.push_back(StoreList{op, SlotPrefix(shard.number),
                           SlotName(shard.number, shard.log.next()),
                           settings_.page});
}

void Appender::SettleQueue(
    Shard& shard, const std::function<bool(const ClaimRecord&)>& wanted,
    std::vector<RecordEnd>& ends) {
  if (!shard.caught_up) return;
  std::deque<QueuedRecord> rest;
  for (QueuedRecord& queued : shard.queue) {
    const ClaimRecord& record = queued.record;
    if (!wanted(record)) continue;
    if (IsClaim(record)) {
      const auto verdict = shard.log.Judge(record, shard.mark, now_);
      if (verdict) {
        ends.push_back({record, *verdict});
        continue;
      }
    } else if (shard.log.Settled(record)) {
      ends.push_back({record, ClaimVerdict::kDuplicateDone});
      continue;
    }
    rest.push_back(std::move(queued));
  }
  shard.queue = std::move(rest);
}

bool Appender::BatchDue(const Shard& shard) const {
  if (shard.queue.empty()) return false;
  if (now_ - shard.last_append < settings_.batch_period) return false;
  return std::any_of(
      shard.queue.begin(), shard.queue.end(), [&](const QueuedRecord& queued) {
        return IsClaim(queued.record) ||
               now_ - queued.since >= settings_.max_outcome_delay;
      });
}

void Appender::Create(Shard& shard) {
  if (!shard.pending) {
    ClaimBatch batch;
    const RequestId writer{settings_.host, settings_.incarnation, ++writes_};
    batch.nonce = ClaimantOf(writer);
    batch.floor = shard.mark;
    while (!shard.queue.empty() && batch.records.size() < settings_.max_batch) {
      batch.records.push_back(shard.queue.front().record);
      shard.queue.pop_front();
    }
    shard.pending = std::move(batch);
    shard.pending_slot = shard.log.next();
  }
  shard.last_append = now_;
  const std::uint64_t op = Begin(shard, ShardCall::kCreate);
  out_.push_back(StoreCreate{op, SlotName(shard.number, shard.pending_slot),
                             EncodeBatch(*shard.pending)});
}

std::uint64_t Appender::Begin(Shard& shard, ShardCall call) {
  shard.call = call;
  shard.op = next_op_++;
  shard.op_since = now_;
  shard.last_use = now_;
  if (!store_up()) next_probe_ = now_ + settings_.probe_period;
  return shard.op;
}

/// Finds out whether the store is back when no shard has work.
void Appender::Probe() {
  if (store_up() || now_ < next_probe_) return;
  Shard& shard = shards_.front();
  if (shard.call != ShardCall::kNone) return;
  const std::uint64_t op = Begin(shard, ShardCall::kReadMark);
  out_.push_back(StoreGet{op, MarkName(shard.number)});
}

void Appender::Expire(Time now) {
  now_ = now;
  for (Shard& shard : shards_) {
    if (shard.call == ShardCall::kNone) continue;
    if (now - shard.op_since >= settings_.store_timeout) NoAnswer(shard);
  }
  for (Shard& shard : shards_) {
    const bool unused = now - shard.last_use >= settings_.idle_limit;
    if (shard.caught_up && unused && shard.idle() && !IsSteward(shard)) {
      Restart(shard);
    }
  }
}

void Appender::NoAnswer(Shard& shard) {
  ++failures_;
  if (!store_up()) next_probe_ = now_ + settings_.probe_period;
  if (shard.call == ShardCall::kDelete || shard.call == ShardCall::kWriteMark) {
    shard.orphans_checked = false;
    shard.mark_known = false;
  }
  // Whatever may have taken effect shows when the log is read again.
  shard.caught_up = false;
  shard.call = ShardCall::kNone;
}

void Appender::Answered(const StoreAnswered& event, Time now) {
  now_ = now;
  const auto at =
      std::find_if(shards_.begin(), shards_.end(), [&](const Shard& shard) {
        return shard.call != ShardCall::kNone && shard.op == event.op;
      });
  if (at == shards_.end()) return;
  if (event.result == StoreResult::kNoAnswer) return NoAnswer(*at);
  failures_ = 0;
  const ShardCall call = at->call;
  at->call = ShardCall::kNone;
  Finish(*at, call, event);
}

void Appender::Finish(Shard& shard, ShardCall call,
                      const StoreAnswered& event) {
  switch (call) {
    case ShardCall::kReadMark:
      return OnMark(shard, event);
    case ShardCall::kList:
      return OnList(shard, event);
    case ShardCall::kConfirmMark:
      return OnConfirm(shard, event);
    case ShardCall::kCreate:
      return OnCreate(shard, event);
    case ShardCall::kWriteMark:
      return OnMarkWritten(shard, event);
    case ShardCall::kListOrphans:
      return OnOrphans(shard, event);
    case ShardCall::kDelete:
      if (event.result == StoreResult::kConflict) shard.orphans_checked = false;
      return;
    case ShardCall::kNone:
      return;
  }
}

}  // namespace comfreyflow::detail
