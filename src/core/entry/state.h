/// The implementation of `Entry`: its components and its open requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreyflow/entry.h"
#include "core/entry/request.h"

namespace comfreyflow {

/// Invariant: a request is in `requests` from its admission to its `Finish`.
/// `deadlines` contains each of them once, `streaming_requests` those in
/// `kStreaming`.
struct Entry::State {
  explicit State(EntrySettings initial_settings);

  void On(const RequestArrived& event);
  void On(const ClaimAnswered& event);
  void On(const GrantAnswered& event);
  void On(const StreamOpened& event);
  void On(const ChunkArrived& event);
  void On(const StreamHeartbeat& event);
  void On(const StreamEnded& event);
  void On(const StreamFailed& event);
  void On(const CallerDisconnected& event);
  void On(const TargetUpdated& event);
  void On(const TargetRemoved& event);
  void On(const TargetClosed& event);
  void On(const LoadReported& event);
  void On(const PrefixReported& event);
  void On(const SuspectReported& event);
  void On(const SuspectCleared& event);
  void On(const LimitChanged& event);
  void On(const StopAdmitting& event);
  void On(const ResumeAdmitting& event);
  void On(const StopBegan& event);
  void On(const Tick& event);

  /// Stops new work for the target. Returns true if it was open before.
  bool Close(const TargetName& target);
  /// Accepts new work again if the target has restarted, which it reports by an
  /// `epoch` above the one that closed.
  void Reopen(const TargetName& target, std::uint64_t epoch);

  detail::Request* Find(const RequestId& id);
  /// Returns the request if `id` is its current attempt, otherwise null.
  detail::Request* Current(const AttemptId& id);
  /// Returns the request if `id` is its current attempt and its stream is open,
  /// otherwise null.
  detail::Request* Streaming(const AttemptId& id);

  // Arrival (arrival.cc).
  /// Returns the reason to refuse a request before any state is kept for it, or
  /// `kOk`.
  Errc CheckArrival(const RequestArrived& event);
  void Refuse(const RequestId& id, Errc code, Duration retry_after);
  /// Ends a request whose key is claimed by another request, which ran or may
  /// have run.
  void FinishDuplicate(detail::Request& request, ClaimVerdict verdict);

  // Attempts (attempts.cc).
  void StartAttempt(detail::Request& request);
  /// Restricts a suspect to the one target that every host selects for it, by
  /// adding all others to `excluded`. Otherwise two of its resends could crash
  /// two more targets at the same time.
  void RestrictToOneTarget(const RequestInfo& info,
                           std::vector<TargetName>& excluded) const;
  void Apply(const DispatchCommands& commands);
  void Apply(const SendReserveRequest& command);
  void Apply(const SendRelease& command);
  void Apply(const SendPrefillDone& command);
  void Apply(const Dispatched& command);
  void Apply(const Unplaced& command);
  /// Executes the decision of an attempt, which may end or retry the request.
  void ApplyStep(detail::Request& request, const AttemptStep& step);
  void Retry(detail::Request& request, const AttemptStep& step);
  /// Ends the current attempt in the dispatcher, and cancels it on its targets
  /// if `cancel` is set.
  void CloseAttempt(detail::Request& request, bool cancel, bool is_complete);
  /// Handles a crash of the target. Every request that this host was running on
  /// it becomes a suspect.
  void RecordCrash(const TargetName& target);
  /// Ends all requests with the fingerprint if it is in quarantine.
  void EndQuarantinedRequests(std::uint64_t fingerprint);

  /// Whether the answer to an arriving request could come too late because the
  /// host ends.
  bool StopsBefore(const RequestInfo& info);
  void EndAllRequests(Errc code);

  // Final answers (attempts.cc).
  /// Returns a final answer without token usage. If the error may succeed on a
  /// retry, `retry_after` defaults to `kDefaultRetryAfter`.
  static Finish MakeFinish(const RequestId& id, Errc code, Outcome outcome,
                           Duration retry_after = Duration::zero());
  void GiveUp(detail::Request& request, Errc code,
              Duration retry_after = Duration::zero());
  void Settle(detail::Request& request, bool cancel, Finish finish);

  EntrySettings settings;
  Dispatcher dispatcher;
  Poison poison;
  RetryBudget budget;
  std::mt19937_64 random;
  /// Used for lookup by sequence only; decisions never depend on its iteration
  /// order.
  std::unordered_map<std::uint64_t, detail::Request> requests;
  std::set<std::pair<Time, std::uint64_t>> deadlines;
  /// When the requests in `kBackoff` start their next attempts.
  std::set<std::pair<Time, std::uint64_t>> retry_times;
  std::set<std::uint64_t> streaming_requests;
  std::map<TargetName, TargetInfo> known_targets;
  /// Targets that accept no new work, with the epoch that closed; 0 if unknown.
  std::map<TargetName, std::uint64_t> closed_targets;
  /// The highest epoch that each target has reported.
  std::map<TargetName, std::uint64_t> reported_epochs;
  bool admitting = true;
  Errc stop_reason = Errc::kDraining;
  /// Set once the host ends; all requests have their final answers by then.
  std::optional<Time> answer_by;
  EntryCommands output;
  Time now;
};

}  // namespace comfreyflow
