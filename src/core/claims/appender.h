/// Appends records to the shards of the claim log and reads what other hosts
/// appended. It does not track who waits for a record.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreyflow/claims.h"
#include "core/claims/shard.h"

namespace comfreyflow::detail {

/// The result of a queued record, which needs no further append.
struct RecordResult {
  ClaimRecord record;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
};

class Appender {
 public:
  explicit Appender(const ClaimSettings& settings);

  void SetStewards(const std::vector<HostName>& stewards);
  void Enqueue(const ClaimRecord& record, Time now);
  void OnStoreAnswered(const StoreAnswered& event, Time now);
  /// Fails store calls that have timed out, and drops the copies of unused
  /// shards.
  void Expire(Time now);
  /// Starts the next store call of each shard that has none in flight. Drops
  /// queued records for which `has_waiter` is false. Returns the results of
  /// queued records.
  std::vector<RecordResult> Advance(
      const std::function<bool(const ClaimRecord&)>& has_waiter, Time now);
  /// Appends the pending store commands to `out` and clears them.
  void TakeCommands(ClaimCommands& out);

  /// Whether the log knows the record's key, or the record is part of an append
  /// that may still take effect.
  bool MayBeInLog(const ClaimRecord& record) const;
  bool store_up() const {
    return consecutive_failures_ < kFailuresBeforeUnreachable;
  }
  std::size_t keys() const;

 private:
  /// From this many calls in a row without an answer on, the store counts as
  /// unreachable.
  static constexpr int kFailuresBeforeUnreachable = 2;

  bool IsSteward(const Shard& shard) const;
  void StartNextCall(Shard& shard,
                     const std::function<bool(const ClaimRecord&)>& has_waiter,
                     std::vector<RecordResult>& results);
  bool NeedsCatchUp(const Shard& shard) const;
  void CatchUp(Shard& shard);
  void ResolveQueue(Shard& shard,
                    const std::function<bool(const ClaimRecord&)>& has_waiter,
                    std::vector<RecordResult>& results);
  bool IsBatchDue(const Shard& shard) const;
  void CreateSlot(Shard& shard);
  void Trim(Shard& shard);
  bool RaiseTrimMark(Shard& shard);
  void ProbeStore();

  std::uint64_t BeginCall(Shard& shard, ShardCall call);
  void HandleResult(Shard& shard, ShardCall call, const StoreAnswered& event);
  void OnMarkRead(Shard& shard, const StoreAnswered& event);
  void OnSlotsListed(Shard& shard, const StoreAnswered& event);
  void OnMarkConfirmed(Shard& shard, const StoreAnswered& event);
  void OnSlotCreated(Shard& shard, const StoreAnswered& event);
  void OnMarkWritten(Shard& shard, const StoreAnswered& event);
  void OnOrphansListed(Shard& shard, const StoreAnswered& event);
  void ApplySlot(Shard& shard, const StoreItem& item);
  void ResetShard(Shard& shard);
  void RequeuePendingBatch(Shard& shard);
  void OnNoAnswer(Shard& shard);

  const ClaimSettings& settings_;
  std::vector<HostName> stewards_;
  std::vector<Shard> shards_;
  ClaimCommands out_;
  std::uint64_t next_op_ = 1;
  std::uint64_t write_sequence_ = 0;
  int consecutive_failures_ = 0;  ///< Calls in a row without an answer.
  Time next_probe_at_{};
  Time now_;
};

}  // namespace comfreyflow::detail
