/// Appends records to the shards of the claim log and reads what others
/// appended. Knows nothing of who waits for a record.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreyflow/claims.h"
#include "core/claims/shard.h"

namespace comfreyflow::detail {

/// A record that needs no more appending.
struct RecordEnd {
  ClaimRecord record;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
};

class Appender {
 public:
  explicit Appender(const ClaimSettings& settings);

  void SetStewards(const std::vector<HostName>& stewards);
  void Enqueue(const ClaimRecord& record, Time now);
  void Answered(const StoreAnswered& event, Time now);
  /// Counts calls without answer as lost.
  void Expire(Time now);
  /// Starts what can be started. Records that are not `wanted` any more are
  /// dropped. Returns the records that came to an end.
  std::vector<RecordEnd> Pump(
      const std::function<bool(const ClaimRecord&)>& wanted, Time now);
  /// Moves the store commands to `out`.
  void Drain(ClaimCommands& out);

  /// Whether the record may be in the log without this host knowing.
  bool Exposed(const ClaimRecord& record) const;
  bool store_up() const { return failures_ < kFailuresForDown; }
  std::size_t keys() const;

 private:
  /// Calls in a row without answer that count as an outage.
  static constexpr int kFailuresForDown = 2;

  bool IsSteward(const Shard& shard) const;
  void Work(Shard& shard, const std::function<bool(const ClaimRecord&)>& wanted,
            std::vector<RecordEnd>& ends);
  bool NeedsLog(const Shard& shard) const;
  void CatchUp(Shard& shard);
  void SettleQueue(Shard& shard,
                   const std::function<bool(const ClaimRecord&)>& wanted,
                   std::vector<RecordEnd>& ends);
  bool BatchDue(const Shard& shard) const;
  void Create(Shard& shard);
  void Trim(Shard& shard);
  bool TrimMark(Shard& shard);
  void Probe();

  std::uint64_t Begin(Shard& shard, ShardCall call);
  void Finish(Shard& shard, ShardCall call, const StoreAnswered& event);
  void OnMark(Shard& shard, const StoreAnswered& event);
  void OnList(Shard& shard, const StoreAnswered& event);
  void OnConfirm(Shard& shard, const StoreAnswered& event);
  void OnCreate(Shard& shard, const StoreAnswered& event);
  void OnMarkWritten(Shard& shard, const StoreAnswered& event);
  void OnOrphans(Shard& shard, const StoreAnswered& event);
  void Apply(Shard& shard, const StoreItem& item);
  void Restart(Shard& shard);
  void ReturnPending(Shard& shard);
  void NoAnswer(Shard& shard);

  const ClaimSettings& settings_;
  std::vector<HostName> stewards_;
  std::vector<Shard> shards_;
  ClaimCommands out_;
  std::uint64_t next_op_ = 1;
  std::uint64_t writes_ = 0;
  int failures_ = 0;  ///< Calls in a row without answer.
  Time next_probe_{};
  Time now_;
};

}  // namespace comfreyflow::detail
