// Start-time fair queueing by lane, urgency and client account.
#include "comfreyflow/scheduler.h"

#include <algorithm>

namespace comfreyflow {
namespace {

/// Minimum share of each lower urgency that has waiting requests, as a fraction
/// of the tokens served at higher urgencies.
constexpr double kMinimumShare = 0.05;
/// Bounds the tokens credited to an urgency, so that its minimum share does not
/// accumulate without limit.
constexpr double kMaxCredit = 2'000'000;

std::size_t Index(PromptClass length) {
  return static_cast<std::size_t>(length);
}
std::size_t Index(Urgency urgency) { return static_cast<std::size_t>(urgency); }

}  // namespace

std::size_t Scheduler::RequestIdHash::operator()(const RequestId& id) const {
  const std::size_t host = std::hash<std::string>{}(id.host.value);
  return host ^ (id.sequence * 0x9e3779b97f4a7c15ULL) ^ id.incarnation.value;
}

Scheduler::Lane& Scheduler::LaneOf(PromptClass length) {
  return lanes_[Index(length)];
}

const Scheduler::Lane& Scheduler::LaneOf(PromptClass length) const {
  return lanes_[Index(length)];
}

void Scheduler::SetWeight(const AccountName& account, double weight) {
  weights_[account] = std::max(weight, 1e-3);
}

double Scheduler::WeightOf(const AccountName& account) const {
  const auto found = weights_.find(account);
  return found == weights_.end() ? 1 : found->second;
}

bool Scheduler::Add(const QueuedRequest& request) {
  QueuedRequest added = request;
  added.ticket = next_ticket_++;
  return Insert(added, false);
}

bool Scheduler::PutBack(const QueuedRequest& request) {
  return Insert(request, true);
}

bool Scheduler::Insert(const QueuedRequest& request, bool refund) {
  const Position position{request.length, request.urgency, request.account,
                          request.ticket};
  if (!positions_.try_emplace(request.id, position).second) return false;
  Lane& lane = LaneOf(request.length);
  Queue& queue = lane.queues[Index(request.urgency)];
  Flow& flow = queue.flows[request.account];
  if (!flow.requests.empty())
    queue.order.erase({flow.virtual_start, request.account});
  if (flow.requests.empty()) {
    flow.virtual_start = std::max(flow.virtual_start, queue.virtual_time);
  }
  if (refund) {
    flow.virtual_start -=
        static_cast<double>(request.cost_tokens) / WeightOf(request.account);
  }
  AddToOrder(queue, flow, request.account);
  flow.requests.emplace(request.ticket, request);
  deadlines_.insert({request.deadline, request.id});
  ++lane.waiting;
  lane.backlog += request.cost_tokens;
  return true;
}

void Scheduler::AddToOrder(Queue& queue, const Flow& flow,
                           const AccountName& account) {
  if (!held_.contains(account))
    queue.order.insert({flow.virtual_start, account});
}

void Scheduler::Hold(const AccountName& account) {
  if (!held_.insert(account).second) return;
  for (Lane& lane : lanes_) {
    for (Queue& queue : lane.queues) {
      const auto flow = queue.flows.find(account);
      if (flow == queue.flows.end()) continue;
      queue.order.erase({flow->second.virtual_start, account});
    }
  }
}

void Scheduler::Resume(const AccountName& account) {
  if (held_.erase(account) == 0) return;
  for (Lane& lane : lanes_) {
    for (Queue& queue : lane.queues) {
      const auto flow = queue.flows.find(account);
      if (flow == queue.flows.end() || flow->second.requests.empty()) continue;
      AddToOrder(queue, flow->second, account);
    }
  }
}

bool Scheduler::Remove(const RequestId& id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) return false;
  const Position position = found->second;
  Lane& lane = LaneOf(position.length);
  Queue& queue = lane.queues[Index(position.urgency)];
  const auto flow = queue.flows.find(position.account);
  const auto waiting = flow->second.requests.find(position.ticket);
  const QueuedRequest request = waiting->second;
  flow->second.requests.erase(waiting);
  if (flow->second.requests.empty()) {
    queue.order.erase({flow->second.virtual_start, position.account});
  }
  RemoveFromIndexes(lane, request);
  return true;
}

void Scheduler::RemoveFromIndexes(Lane& lane, const QueuedRequest& request) {
  positions_.erase(request.id);
  deadlines_.erase({request.deadline, request.id});
  --lane.waiting;
  lane.backlog -= request.cost_tokens;
}

Scheduler::Queue* Scheduler::ChooseQueue(Lane& lane) {
  Queue* highest = nullptr;
  for (Queue& queue : lane.queues) {
    if (queue.order.empty()) continue;
    const AccountName& account = queue.order.begin()->second;
    const QueuedRequest& head =
        queue.flows.find(account)->second.requests.begin()->second;
    if (queue.credit >= static_cast<double>(head.cost_tokens)) return &queue;
    highest = &queue;
  }
  return highest;
}

QueuedRequest Scheduler::Dequeue(Lane& lane, Queue& queue) {
  const auto order_entry = *queue.order.begin();
  queue.order.erase(queue.order.begin());
  Flow& flow = queue.flows.find(order_entry.second)->second;
  QueuedRequest request = flow.requests.begin()->second;
  flow.requests.erase(flow.requests.begin());
  queue.virtual_time = std::max(queue.virtual_time, flow.virtual_start);
  const double tokens = static_cast<double>(request.cost_tokens);
  flow.virtual_start += tokens / WeightOf(order_entry.second);
  if (!flow.requests.empty()) AddToOrder(queue, flow, order_entry.second);
  queue.credit = std::max(0.0, queue.credit - tokens);
  CreditLowerUrgencies(lane, queue, tokens);
  RemoveFromIndexes(lane, request);
  return request;
}

void Scheduler::CreditLowerUrgencies(Lane& lane, const Queue& served,
                                     double tokens) {
  for (Queue& queue : lane.queues) {
    if (&queue == &served) break;
    if (queue.order.empty()) {
      queue.credit = 0;
    } else {
      queue.credit =
          std::min(kMaxCredit, queue.credit + kMinimumShare * tokens);
    }
  }
}

std::optional<QueuedRequest> Scheduler::Next(const Placeable& placeable) {
  for (std::size_t i = 0; i < lanes_.size(); ++i) {
    const std::size_t lane_index = (next_lane_ + i) % lanes_.size();
    Lane& lane = lanes_[lane_index];
    if (!placeable.lanes[lane_index] || lane.waiting == 0) continue;
    Queue* queue = ChooseQueue(lane);
    if (queue == nullptr) continue;
    next_lane_ = (lane_index + 1) % lanes_.size();
    return Dequeue(lane, *queue);
  }
  return std::nullopt;
}

std::vector<RequestId> Scheduler::Expire(Time now) {
  std::vector<RequestId> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    expired.push_back(deadlines_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

std::size_t Scheduler::waiting(PromptClass length) const {
  return LaneOf(length).waiting;
}

std::uint64_t Scheduler::backlog_tokens(PromptClass length) const {
  return LaneOf(length).backlog;
}

}  // namespace comfreyflow
