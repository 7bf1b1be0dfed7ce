/// Jobs in the order in which a pool serves them, each with a latest start. The
/// list answers in O(log n) which job is the first that starts too late if the
/// pool works off the list at a given rate, and which of the jobs up to it
/// takes the most work.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

class SlackList {
 public:
  /// Order of service: by priority, then by `order`, then by `sequence`, which
  /// is unique.
  struct Key {
    std::uint32_t priority = 0;
    std::int64_t order = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Job {
    Key key;
    RequestId id;
    double work = 0;            ///< In seconds of one engine or slot.
    double start_by = 0;        ///< In seconds of the clock.
    bool is_protected = false;  ///< Never returned by `LargestOf`.
  };

  void Insert(const Job& job);
  /// The key has to be in the list.
  void Erase(const Key& key);
  /// Sets the work done per second; O(n) if it differs from the former rate.
  void SetRate(double rate);
  double rate() const { return rate_; }
  std::size_t size() const { return root_ < 0 ? 0 : At(root_).count; }
  double work() const { return root_ < 0 ? 0 : At(root_).total; }
  /// The first job that starts too late, and how many jobs are before it.
  std::optional<Job> FirstLate(double now) const;
  /// The job of the most work among those with the priority of `last` up to and
  /// including `last`; none if all of them are protected.
  std::optional<Job> LargestOf(const Key& last);
  /// Number of jobs before the key, and their work.
  struct Ahead {
    std::size_t jobs = 0;
    double work = 0;
    std::optional<RequestId> last;  ///< The job just before the key.
  };
  Ahead Before(const Key& key) const;
  /// The first `count` jobs.
  std::vector<Job> First(std::size_t count) const;

 private:
  /// Node of a treap. Invariant: the aggregates cover the node's subtree.
  struct Node {
    Job job;
    std::uint64_t heap = 0;
    std::int32_t left = -1;
    std::int32_t right = -1;
    std::size_t count = 1;
    double total = 0;
    /// Minimum of rate x latest start - work before it in this subtree.
    double min_slack = 0;
    double max_work = -1;  ///< Of jobs that are not protected; -1: none.
  };
  const Node& At(std::int32_t at) const { return nodes_[at]; }
  void Update(std::int32_t at);
  void Refresh(std::int32_t at);
  /// Splits into the keys below `key`, or up to it if `inclusive`, and others.
  std::pair<std::int32_t, std::int32_t> Split(std::int32_t at, const Key& key,
                                              bool inclusive);
  std::int32_t Merge(std::int32_t left, std::int32_t right);
  void Append(std::int32_t at, std::size_t count, std::vector<Job>& out) const;

  std::vector<Node> nodes_;
  std::vector<std::int32_t> free_;
  std::int32_t root_ = -1;
  double rate_ = 1;
};

}  // namespace comfreyflow
