/// The inside of `Entry`: the parts it joins and the requests it holds.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreyflow/entry.h"
#include "core/entry/request.h"

namespace comfreyflow {

/// Invariant: a request is in `requests` from its admission to its `Finish`;
/// `deadlines` holds each once; `streaming` holds those in `kStreaming`.
struct Entry::State {
  explicit State(EntrySettings wanted);

  void On(const RequestArrived& event);
  void On(const ClaimAnswered& event);
  void On(const GrantAnswered& event);
  void On(const StreamOpened& event);
  void On(const ChunkArrived& event);
  void On(const StreamHeartbeat& event);
  void On(const StreamEnded& event);
  void On(const StreamFailed& event);
  void On(const CallerGone& event);
  void On(const TargetSeen& event);
  void On(const TargetGone& event);
  void On(const TargetClosed& event);
  void On(const LoadReported& event);
  void On(const PrefixReported& event);
  void On(const PeerSuspects& event);
  void On(const SuspectCleared& event);
  void On(const LimitChanged& event);
  void On(const StopAdmitting& event);
  void On(const ResumeAdmitting& event);
  void On(const Tick& event);

  bool Close(const TargetName& target);
  void Reopen(const TargetName& target, std::uint64_t epoch);

  detail::Request* Find(const RequestId& id);
  /// The request whose current attempt this is; earlier attempts find none.
  detail::Request* Current(const AttemptId& id);
  /// The same, while its stream is open; one that was given up finds none.
  detail::Request* Streaming(const AttemptId& id);

  // Arrival (arrival.cc).
  /// The reason to refuse a request before anything is held for it.
  Errc Judge(const RequestArrived& event) const;
  void Refuse(const RequestId& id, Errc code, Duration retry_after);
  void SettleSeen(detail::Request& request, ClaimVerdict verdict);

  // Attempts (attempts.cc).
  void StartAttempt(detail::Request& request);
  void KeepToOne(const RequestInfo& info,
                 std::vector<TargetName>& excluded) const;
  void Carry(const DispatchCommands& commands);
  void Carry(const SendReserveRequest& command);
  void Carry(const SendRelease& command);
  void Carry(const SendPrefillDone& command);
  void Carry(const Dispatched& command);
  void Carry(const Unplaced& command);
  /// Does what the attempt decided, which may end or restart the request.
  void Follow(detail::Request& request, const AttemptStep& step);
  void Retry(detail::Request& request, const AttemptStep& step);
  void LeaveAttempt(detail::Request& request, bool cancel, bool whole);
  void SawCrash(const TargetName& target);
  /// Ends each request with the fingerprint if that is in quarantine.
  void EndQuarantined(std::uint64_t fingerprint);

  // Ends (attempts.cc).
  /// The final answer without usage; a default stands in for no retry advice
  /// where the code may succeed later.
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
  /// Looked up by sequence only; its order reaches no decision.
  std::unordered_map<std::uint64_t, detail::Request> requests;
  std::set<std::pair<Time, std::uint64_t>> deadlines;
  std::set<std::pair<Time, std::uint64_t>> wakes;  ///< Ends of backoffs.
  std::set<std::uint64_t> streaming;
  std::map<TargetName, TargetInfo> seen;
  /// Targets that take no new work, with the epoch that closed; 0 if unknown.
  std::map<TargetName, std::uint64_t> closed;
  std::map<TargetName, std::uint64_t> epochs;  ///< Highest that each reported.
  bool admitting = true;
  Errc stop_reason = Errc::kDraining;
  EntryCommands out;
  Time now;
};

}  // namespace comfreyflow
