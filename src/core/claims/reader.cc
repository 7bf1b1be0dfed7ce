// Appender: handling of the store's answers, and trimming of old slots.
#include <algorithm>
#include <charconv>
#include <utility>

#include "core/claims/appender.h"
#include "core/claims/names.h"

namespace comfreyflow::detail {
namespace {

std::uint64_t ParseTrimMark(const std::string& text) {
  std::uint64_t mark = 0;
  std::from_chars(text.data(), text.data() + text.size(), mark);
  return mark;
}

}  // namespace

/// Updates the trim mark from the answer to a get. Returns false if the read
/// failed; a missing object is no failure, as nothing was trimmed yet.
bool UpdateTrimMark(Shard& shard, const StoreAnswered& event) {
  if (event.result == StoreResult::kNotFound) return true;
  if (event.result != StoreResult::kOk || event.items.empty()) return false;
  shard.trim_mark =
      std::max(shard.trim_mark, ParseTrimMark(event.items.front().value));
  shard.trim_mark_version = event.items.front().version;
  return true;
}

/// Restarts the log at the trim mark if the mark is above the slot at which
/// this host started to read. Unread slots below the mark have been trimmed,
/// and a slot that exists there now comes from a delayed writer that did not
/// know of the trim. Returns whether the log was restarted.
bool SkipToTrimMark(Shard& shard) {
  if (shard.trim_mark <= shard.catch_up_start) return false;
  shard.log.ResetTo(shard.trim_mark);
  shard.catch_up_start = shard.trim_mark;
  shard.known_slots.clear();
  return true;
}

void Appender::OnMarkRead(Shard& shard, const StoreAnswered& event) {
  if (!UpdateTrimMark(shard, event)) return;
  shard.is_trim_mark_known = true;
  SkipToTrimMark(shard);
}

void Appender::OnSlotsListed(Shard& shard, const StoreAnswered& event) {
  if (event.result != StoreResult::kOk) return;
  for (const StoreItem& item : event.items) {
    std::uint64_t slot = 0;
    if (!ParseSlotName(item.name, shard.number, slot)) continue;
    if (slot < shard.log.next_slot()) continue;
    if (slot > shard.log.next_slot()) {
      // The missing slots were trimmed after the mark was read.
      shard.is_trim_mark_known = false;
      return;
    }
    ApplySlot(shard, item);
  }
  if (event.items.size() >= settings_.page_size) return;
  const std::uint64_t op = BeginCall(shard, ShardCall::kConfirmMark);
  out_.push_back(StoreGet{op, TrimMarkName(shard.number)});
}

void Appender::OnMarkConfirmed(Shard& shard, const StoreAnswered& event) {
  if (!UpdateTrimMark(shard, event)) return;
  if (SkipToTrimMark(shard)) return;
  if (shard.pending_batch && shard.pending_slot < shard.log.next_slot()) {
    RequeuePendingBatch(shard);
  }
  shard.is_caught_up = true;
  shard.catch_up_start = shard.log.next_slot();
  shard.catch_up_requested = false;
  shard.confirmed_at = shard.call_started_at;
}

void Appender::ApplySlot(Shard& shard, const StoreItem& item) {
  ClaimBatch batch;
  // A slot with an invalid batch counts as empty, as no host can have claimed a
  // key with it.
  if (!DecodeBatch(item.value, batch)) batch = {};
  const std::uint64_t slot = shard.log.next_slot();
  shard.log.Apply(batch, now_);
  shard.known_slots.push_back({slot, item.version, now_});
}

/// Puts the records of the pending batch back into the queue, once the batch is
/// in the log or another writer has taken its slot. The log then decides each
/// record; those that it lacks are appended again.
void Appender::RequeuePendingBatch(Shard& shard) {
  const auto& records = shard.pending_batch->records;
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    shard.queue.push_front({*record, shard.call_started_at});
  }
  shard.pending_batch.reset();
}

void Appender::OnSlotCreated(Shard& shard, const StoreAnswered& event) {
  const bool is_stale =
      now_ - shard.confirmed_at > settings_.max_confirmation_age;
  if (event.result != StoreResult::kOk || is_stale) {
    // Another writer took the slot, or it may have been created below a newer
    // trim mark. Reading the log again shows which.
    shard.is_caught_up = false;
    return;
  }
  const std::uint64_t version =
      event.items.empty() ? 0 : event.items.front().version;
  ApplySlot(shard, {SlotName(shard.number, shard.pending_slot), version,
                    EncodeBatch(*shard.pending_batch)});
  shard.confirmed_at = shard.call_started_at;
  shard.catch_up_start = shard.log.next_slot();
  RequeuePendingBatch(shard);
}

void Appender::ResetShard(Shard& shard) {
  Shard empty_shard;
  empty_shard.number = shard.number;
  shard = std::move(empty_shard);
}

/// Raises the trim mark past slots older than the retention and deletes the
/// slots below it, one call at a time.
void Appender::Trim(Shard& shard) {
  if (!shard.is_caught_up || !IsSteward(shard) || !store_up()) return;
  if (now_ - shard.last_trim_at >= settings_.trim_period &&
      RaiseTrimMark(shard)) {
    return;
  }
  if (now_ - shard.last_delete_at < settings_.delete_period) return;
  if (!shard.slots_to_delete.empty()) {
    const KnownSlot slot = shard.slots_to_delete.front();
    shard.slots_to_delete.pop_front();
    shard.last_delete_at = now_;
    const std::uint64_t op = BeginCall(shard, ShardCall::kDelete);
    out_.push_back(
        StoreDelete{op, SlotName(shard.number, slot.slot), slot.version});
  } else if (!shard.orphans_listed && shard.trim_mark > 0) {
    shard.orphans_listed = true;
    const std::uint64_t op = BeginCall(shard, ShardCall::kListOrphans);
    out_.push_back(StoreList{op, SlotPrefix(shard.number),
                             SlotName(shard.number, 0), settings_.page_size});
  }
}

bool Appender::RaiseTrimMark(Shard& shard) {
  shard.last_trim_at = now_;
  std::uint64_t mark = shard.trim_mark;
  for (const KnownSlot& slot : shard.known_slots) {
    if (now_ - slot.known_since < settings_.retention) break;
    mark = slot.slot + 1;
  }
  if (mark <= shard.trim_mark) return false;
  shard.new_trim_mark = mark;
  const std::uint64_t op = BeginCall(shard, ShardCall::kWriteMark);
  const std::string name = TrimMarkName(shard.number);
  const std::string value = std::to_string(mark);
  if (shard.trim_mark_version == 0) {
    out_.push_back(StoreCreate{op, name, value});
  } else {
    out_.push_back(StoreUpdate{op, name, value, shard.trim_mark_version});
  }
  return true;
}

void Appender::OnMarkWritten(Shard& shard, const StoreAnswered& event) {
  if (event.result != StoreResult::kOk) {
    shard.is_trim_mark_known = false;
    shard.is_caught_up = false;
    return;
  }
  shard.trim_mark = shard.new_trim_mark;
  shard.trim_mark_version =
      event.items.empty() ? 0 : event.items.front().version;
  if (shard.trim_mark_version == 0) shard.is_trim_mark_known = false;
  while (!shard.known_slots.empty() &&
         shard.known_slots.front().slot < shard.trim_mark) {
    shard.slots_to_delete.push_back(shard.known_slots.front());
    shard.known_slots.pop_front();
  }
}

void Appender::OnOrphansListed(Shard& shard, const StoreAnswered& event) {
  for (const StoreItem& item : event.items) {
    std::uint64_t slot = 0;
    if (!ParseSlotName(item.name, shard.number, slot)) continue;
    if (slot >= shard.trim_mark) return;
    shard.slots_to_delete.push_back({slot, item.version, now_});
  }
}

}  // namespace comfreyflow::detail
