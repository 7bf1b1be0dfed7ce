// A treap over jobs in the order of service, with the work and the smallest
// slack of each subtree.
#include "comfreyflow/slack-list.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace comfreyflow {
namespace {

constexpr double kNoSlackBound = std::numeric_limits<double>::infinity();

}  // namespace

void SlackList::Update(std::int32_t at) {
  Node& node = nodes_[at];
  const Node* left = node.left < 0 ? nullptr : &nodes_[node.left];
  const Node* right = node.right < 0 ? nullptr : &nodes_[node.right];
  const double before = left == nullptr ? 0 : left->total;
  const double until = before + node.job.work;
  node.count = 1 + (left == nullptr ? 0 : left->count) +
               (right == nullptr ? 0 : right->count);
  node.total = until + (right == nullptr ? 0 : right->total);
  node.min_slack =
      std::min({left == nullptr ? kNoSlackBound : left->min_slack,
                rate_ * node.job.start_by - before,
                right == nullptr ? kNoSlackBound : right->min_slack - until});
  node.max_work = std::max({node.job.is_protected ? -1 : node.job.work,
                            left == nullptr ? -1 : left->max_work,
                            right == nullptr ? -1 : right->max_work});
}

void SlackList::Refresh(std::int32_t at) {
  if (at < 0) return;
  Refresh(nodes_[at].left);
  Refresh(nodes_[at].right);
  Update(at);
}

std::pair<std::int32_t, std::int32_t> SlackList::Split(std::int32_t at,
                                                       const Key& key,
                                                       bool inclusive) {
  if (at < 0) return {-1, -1};
  Node& node = nodes_[at];
  if (node.job.key < key || (inclusive && node.job.key == key)) {
    const auto [middle, right] = Split(node.right, key, inclusive);
    node.right = middle;
    Update(at);
    return {at, right};
  }
  const auto [left, middle] = Split(node.left, key, inclusive);
  node.left = middle;
  Update(at);
  return {left, at};
}

std::int32_t SlackList::Merge(std::int32_t left, std::int32_t right) {
  if (left < 0) return right;
  if (right < 0) return left;
  if (nodes_[left].heap > nodes_[right].heap) {
    nodes_[left].right = Merge(nodes_[left].right, right);
    Update(left);
    return left;
  }
  nodes_[right].left = Merge(left, nodes_[right].left);
  Update(right);
  return right;
}

void SlackList::Insert(const Job& job) {
  std::int32_t at = 0;
  if (free_.empty()) {
    at = static_cast<std::int32_t>(nodes_.size());
    nodes_.emplace_back();
  } else {
    at = free_.back();
    free_.pop_back();
  }
  nodes_[at] = Node{};
  nodes_[at].job = job;
  nodes_[at].heap = XXH3_64bits(&job.key.sequence, sizeof(job.key.sequence));
  Update(at);
  const auto [left, right] = Split(root_, job.key, false);
  root_ = Merge(Merge(left, at), right);
}

void SlackList::Erase(const Key& key) {
  const auto [left, rest] = Split(root_, key, false);
  const auto [found, right] = Split(rest, key, true);
  if (found >= 0) free_.push_back(found);
  root_ = Merge(left, right);
}

void SlackList::SetRate(double rate) {
  if (rate == rate_) return;
  rate_ = rate;
  Refresh(root_);
}

std::optional<SlackList::Job> SlackList::FirstLate(double now) const {
  const double limit = rate_ * now;
  if (root_ < 0 || At(root_).min_slack >= limit) return std::nullopt;
  std::int32_t at = root_;
  double before = 0;
  while (at >= 0) {
    const Node& node = At(at);
    if (node.left >= 0) {
      if (At(node.left).min_slack - before < limit) {
        at = node.left;
        continue;
      }
      before += At(node.left).total;
    }
    if (rate_ * node.job.start_by - before < limit) return node.job;
    before += node.job.work;
    at = node.right;
  }
  return std::nullopt;  // The rounding of a sum made the difference.
}

std::optional<SlackList::Job> SlackList::LargestOf(const Key& last) {
  const Key first{last.priority, std::numeric_limits<std::int64_t>::min(), 0};
  const auto [left, rest] = Split(root_, first, false);
  const auto [range, right] = Split(rest, last, true);
  std::optional<Job> found;
  std::int32_t at = range;
  while (at >= 0 && At(at).max_work >= 0) {
    const Node& node = At(at);
    // Of equal jobs the last one, as it came last or is due last.
    if (node.right >= 0 && At(node.right).max_work == node.max_work) {
      at = node.right;
    } else if (!node.job.is_protected && node.job.work == node.max_work) {
      found = node.job;
      break;
    } else {
      at = node.left;
    }
  }
  root_ = Merge(Merge(left, range), right);
  return found;
}

SlackList::Ahead SlackList::Before(const Key& key) const {
  Ahead ahead;
  std::int32_t at = root_;
  while (at >= 0) {
    const Node& node = At(at);
    if (node.job.key < key) {
      ahead.jobs += 1 + (node.left < 0 ? 0 : At(node.left).count);
      ahead.work += node.job.work + (node.left < 0 ? 0 : At(node.left).total);
      ahead.last = node.job.id;
      at = node.right;
    } else {
      at = node.left;
    }
  }
  return ahead;
}

void SlackList::Append(std::int32_t at, std::size_t count,
                       std::vector<Job>& out) const {
  if (at < 0 || out.size() >= count) return;
  Append(At(at).left, count, out);
  if (out.size() >= count) return;
  out.push_back(At(at).job);
  Append(At(at).right, count, out);
}

std::vector<SlackList::Job> SlackList::First(std::size_t count) const {
  std::vector<Job> out;
  Append(root_, count, out);
  return out;
}

}  // namespace comfreyflow
