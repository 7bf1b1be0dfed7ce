// Appender: what the store's answers mean for the log, and trimming.
#include <algorithm>
#include <charconv>
#include <utility>

#include "core/claims/appender.h"
#include "core/claims/names.h"

namespace comfreyflow::detail {
namespace {

std::uint64_t ParseMark(const std::string& text) {
  std::uint64_t mark = 0;
  std::from_chars(text.data(), text.data() + text.size(), mark);
  return mark;
}

}  // namespace

/// Takes the trim mark over from the answer to a get.
bool TakeMark(Shard& shard, const StoreAnswered& event) {
  if (event.result == StoreResult::kNotFound) return true;
  if (event.result != StoreResult::kOk || event.items.empty()) return false;
  shard.mark = std::max(shard.mark, ParseMark(event.items.front().value));
  shard.mark_version = event.items.front().version;
  return true;
}

/// Slots below the mark that were not read before are gone, and what stands in
/// their place came from a writer too slow to know: begin anew at the mark.
bool JumpToMark(Shard& shard) {
  if (shard.mark <= shard.catch_up_from) return false;
  shard.log.StartAt(shard.mark);
  shard.catch_up_from = shard.mark;
  shard.seen.clear();
  return true;
}

void Appender::OnMark(Shard& shard, const StoreAnswered& event) {
  if (!TakeMark(shard, event)) return;
  shard.mark_known = true;
  JumpToMark(shard);
}

void Appender::OnList(Shard& shard, const StoreAnswered& event) {
  if (event.result != StoreResult::kOk) return;
  for (const StoreItem& item : event.items) {
    std::uint64_t slot = 0;
    if (!ParseSlot(item.name, shard.number, slot)) continue;
    if (slot < shard.log.next()) continue;
    if (slot > shard.log.next()) {
      // Trimmed since the mark was read.
      shard.mark_known = false;
      return;
    }
    Apply(shard, item);
  }
  if (event.items.size() >= settings_.page) return;
  const std::uint64_t op = Begin(shard, ShardCall::kConfirmMark);
  out_.push_back(StoreGet{op, MarkName(shard.number)});
}

void Appender::OnConfirm(Shard& shard, const StoreAnswered& event) {
  if (!TakeMark(shard, event)) return;
  if (JumpToMark(shard)) return;
  if (shard.pending && shard.pending_slot < shard.log.next()) {
    ReturnPending(shard);
  }
  shard.caught_up = true;
  shard.catch_up_from = shard.log.next();
  shard.want_catch_up = false;
  shard.confirmed = shard.op_since;
}

void Appender::Apply(Shard& shard, const StoreItem& item) {
  ClaimBatch batch;
  // A slot that is no batch counts as an empty one: nobody can have claimed
  // anything by it.
  if (!DecodeBatch(item.value, batch)) batch = {};
  const std::uint64_t slot = shard.log.next();
  shard.log.Apply(batch, now_);
  shard.seen.push_back({slot, item.version, now_});
}

/// The pending batch has landed, or its slot went to another writer: its
/// records are judged by the log, and appended again if it lacks them.
void Appender::ReturnPending(Shard& shard) {
  const auto& records = shard.pending->records;
  for (auto at = records.rbegin(); at != records.rend(); ++at) {
    shard.queue.push_front({*at, shard.op_since});
  }
  shard.pending.reset();
}

void Appender::OnCreate(Shard& shard, const StoreAnswered& event) {
  const bool slow = now_ - shard.confirmed > settings_.max_confirmation_age;
  if (event.result != StoreResult::kOk || slow) {
    // Taken, or created perhaps below the trim mark: the log tells.
    shard.caught_up = false;
    return;
  }
  const std::uint64_t version =
      event.items.empty() ? 0 : event.items.front().version;
  Apply(shard, {SlotName(shard.number, shard.pending_slot), version,
                EncodeBatch(*shard.pending)});
  shard.confirmed = shard.op_since;
  shard.catch_up_from = shard.log.next();
  ReturnPending(shard);
}

void Appender::Restart(Shard& shard) {
  Shard fresh;
  fresh.number = shard.number;
  shard = std::move(fresh);
}

/// Raises the mark past slots older than the retention, and deletes those.
void Appender::Trim(Shard& shard) {
  if (!shard.caught_up || !IsSteward(shard) || !store_up()) return;
  if (now_ - shard.last_trim >= settings_.trim_period && TrimMark(shard)) {
    return;
  }
  if (now_ - shard.last_delete < settings_.delete_period) return;
  if (!shard.trimmed.empty()) {
    const SeenSlot slot = shard.trimmed.front();
    shard.trimmed.pop_front();
    shard.last_delete = now_;
    const std::uint64_t op = Begin(shard, ShardCall::kDelete);
    out_.push_back(
        StoreDelete{op, SlotName(shard.number, slot.slot), slot.version});
  } else if (!shard.orphans_checked && shard.mark > 0) {
    shard.orphans_checked = true;
    const std::uint64_t op = Begin(shard, ShardCall::kListOrphans);
    out_.push_back(StoreList{op, SlotPrefix(shard.number),
                             SlotName(shard.number, 0), settings_.page});
  }
}

bool Appender::TrimMark(Shard& shard) {
  shard.last_trim = now_;
  std::uint64_t mark = shard.mark;
  for (const SeenSlot& slot : shard.seen) {
    if (now_ - slot.since < settings_.retention) break;
    mark = slot.slot + 1;
  }
  if (mark <= shard.mark) return false;
  shard.new_mark = mark;
  const std::uint64_t op = Begin(shard, ShardCall::kWriteMark);
  const std::string name = MarkName(shard.number);
  const std::string value = std::to_string(mark);
  if (shard.mark_version == 0) {
    out_.push_back(StoreCreate{op, name, value});
  } else {
    out_.push_back(StoreUpdate{op, name, value, shard.mark_version});
  }
  return true;
}

void Appender::OnMarkWritten(Shard& shard, const StoreAnswered& event) {
  if (event.result != StoreResult::kOk) {
    shard.mark_known = false;
    shard.caught_up = false;
    return;
  }
  shard.mark = shard.new_mark;
  shard.mark_version = event.items.empty() ? 0 : event.items.front().version;
  if (shard.mark_version == 0) shard.mark_known = false;
  while (!shard.seen.empty() && shard.seen.front().slot < shard.mark) {
    shard.trimmed.push_back(shard.seen.front());
    shard.seen.pop_front();
  }
}

void Appender::OnOrphans(Shard& shard, const StoreAnswered& event) {
  for (const StoreItem& item : event.items) {
    std::uint64_t slot = 0;
    if (!ParseSlot(item.name, shard.number, slot)) continue;
    if (slot >= shard.mark) return;
    shard.trimmed.push_back({slot, item.version, now_});
  }
}

}  // namespace comfreyflow::detail
