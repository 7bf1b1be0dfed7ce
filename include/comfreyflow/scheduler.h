/// An entry's queues: which admitted request is placed next. Urgencies go in
/// strict order but for a floor of the lower ones; inside one, client accounts
/// share by weighted token cost; short work never waits behind long.
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
  std::uint64_t ticket = 0;  ///< Set by the scheduler; its place in the order.
};

/// The lanes that something can be placed from now.
struct Placeable {
  std::array<bool, kPromptClasses> lanes{true, true, true};
};

class Scheduler {
 public:
  /// Share of a client account beside others; 1 unless set.
  void SetWeight(const AccountName& account, double weight);

  /// Queues a request; false when it already waits.
  bool Add(const QueuedRequest& request);
  /// Queues again, at its old place, a request that `Next` gave and that could
  /// not be placed; what it cost its account is given back.
  bool PutBack(const QueuedRequest& request);
  /// Passes over an account's requests until `Resume`.
  void Hold(const AccountName& account);
  void Resume(const AccountName& account);
  /// Takes a request out; false when it does not wait.
  bool Remove(const RequestId& id);
  /// Takes out and returns the request to place next, if any may be placed.
  std::optional<QueuedRequest> Next(const Placeable& placeable);
  /// Takes out the requests whose deadline is at `now` or before it.
  std::vector<RequestId> Expire(Time now);

  std::size_t waiting() const { return where_.size(); }
  std::size_t waiting(PromptClass length) const;
  /// Cost of all that waits in a lane.
  std::uint64_t backlog_tokens(PromptClass length) const;

 private:
  /// One client account inside one queue. Invariant: `start` is the virtual
  /// time at which its first request begins, and never goes back.
  struct Flow {
    std::map<std::uint64_t, QueuedRequest> requests;
    double start = 0;
  };
  /// The queue of one urgency in one lane. Invariant: `order` holds each
  /// account with a waiting request once, under its flow's `start`, but for
  /// those in `held_`.
  struct Queue {
    std::map<AccountName, Flow> flows;
    std::set<std::pair<double, AccountName>> order;
    double virtual_time = 0;
    double credit = 0;  ///< Tokens owed to this urgency by its floor.
  };
  struct Lane {
    std::array<Queue, kUrgencies> queues;
    std::size_t waiting = 0;
    std::uint64_t backlog = 0;
  };
  struct Place {
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
  void Order(Queue& queue, const Flow& flow, const AccountName& account);
  double WeightOf(const AccountName& account) const;
  Queue* Choose(Lane& lane);
  QueuedRequest Take(Lane& lane, Queue& queue);
  void Owe(Lane& lane, const Queue& served, double tokens);
  void Forget(Lane& lane, const QueuedRequest& request);

  std::array<Lane, kPromptClasses> lanes_;
  std::map<AccountName, double> weights_;
  std::set<AccountName> held_;
  /// Looked up only; its order reaches no decision.
  std::unordered_map<RequestId, Place, RequestIdHash> where_;
  std::set<std::pair<Time, RequestId>> deadlines_;
  std::uint64_t next_ticket_ = 1;
  std::size_t next_lane_ = 0;
};

}  // namespace comfreyflow
