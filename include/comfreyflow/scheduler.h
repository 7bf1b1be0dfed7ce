/// The queues of the entry role, which determine the admitted request that is
/// placed next. There is one lane for each prompt class, so that short work
/// never waits behind long work. Within a lane, urgencies have strict priority,
/// except that lower urgencies get a minimum share. Within an urgency, client
/// accounts share capacity by weighted token cost (start-time fair queueing).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "comfreyflow/cost.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct QueuedRequest {
  RequestId id;
  AccountName account;
  Urgency urgency = Urgency::kNormal;
  PromptClass length = PromptClass::kShort;
  std::uint64_t cost_tokens = 1;  ///< Uncached prefill and output tokens.
  Time deadline;
  std::uint64_t ticket = 0;  ///< Order of arrival; set by the scheduler.
};

/// The lanes, by prompt class, from which a request can be placed now.
struct Placeable {
  std::array<bool, kPromptClasses> lanes{true, true, true};
};

class Scheduler {
 public:
  /// Sets the weight of a client account relative to others. The default is 1.
  void SetWeight(const AccountName& account, double weight);

  /// Adds a request to its queue; false if it is already queued.
  bool Add(const QueuedRequest& request);
  /// Returns a request from `Next` that could not be placed to its former
  /// position in the queue, and refunds its cost to the account. False if it is
  /// already queued.
  bool PutBack(const QueuedRequest& request);
  /// Skips the requests of an account until `Resume`.
  void Hold(const AccountName& account);
  void Resume(const AccountName& account);
  /// Removes a request; false if it is not queued.
  bool Remove(const RequestId& id);
  /// Removes and returns the request to place next, if any can be placed.
  std::optional<QueuedRequest> Next(const Placeable& placeable);
  /// Removes and returns the requests whose deadline is at or before `now`.
  std::vector<RequestId> Expire(Time now);

  std::size_t waiting() const { return positions_.size(); }
  std::size_t waiting(PromptClass length) const;
  /// Total cost of the requests in a lane.
  std::uint64_t backlog_tokens(PromptClass length) const;

 private:
  /// The requests of one client account in one queue, by ticket. Invariant:
  /// `virtual_start` is the virtual start time of the first request; it
  /// decreases only by a refund.
  struct Flow {
    std::map<std::uint64_t, QueuedRequest> requests;
    double virtual_start = 0;
  };
  /// The queue of one urgency in one lane. Invariant: `order` contains each
  /// account that has a waiting request once, with the `virtual_start` of its
  /// flow, except for accounts in `held_`.
  struct Queue {
    std::map<AccountName, Flow> flows;
    std::set<std::pair<double, AccountName>> order;
    double virtual_time = 0;
    double credit = 0;  ///< Tokens due to this urgency by its minimum share.
  };
  struct Lane {
    std::array<Queue, kUrgencies> queues;
    std::size_t waiting = 0;
    std::uint64_t backlog = 0;
  };
  struct Position {
    PromptClass length;
    Urgency urgency;
    AccountName account;
    std::uint64_t ticket;
  };
  struct RequestIdHash {
    std::size_t operator()(const RequestId& id) const;
  };

  bool Insert(const QueuedRequest& request, bool refund);
  Lane& LaneOf(PromptClass length);
  const Lane& LaneOf(PromptClass length) const;
  void AddToOrder(Queue& queue, const Flow& flow, const AccountName& account);
  double WeightOf(const AccountName& account) const;
  Queue* ChooseQueue(Lane& lane);
  QueuedRequest Dequeue(Lane& lane, Queue& queue);
  void CreditLowerUrgencies(Lane& lane, const Queue& served, double tokens);
  void RemoveFromIndexes(Lane& lane, const QueuedRequest& request);

  std::array<Lane, kPromptClasses> lanes_;
  std::map<AccountName, double> weights_;
  std::set<AccountName> held_;
  /// Used for lookup only; decisions never depend on its iteration order.
  std::unordered_map<RequestId, Position, RequestIdHash> positions_;
  std::set<std::pair<Time, RequestId>> deadlines_;
  std::uint64_t next_ticket_ = 1;
  std::size_t next_lane_ = 0;
};

}  // namespace comfreyflow
