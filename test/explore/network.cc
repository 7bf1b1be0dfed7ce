// Virtual time and faulty messages.
#include "explore/network.h"

#include <algorithm>

namespace comfreyflow::explore {
namespace {

constexpr Duration kHop = std::chrono::milliseconds(1);

}  // namespace

Network::Network(const Plan& plan) : random_(plan.seed) {
  for (const Fault& fault : plan.faults) faults_.push_back({fault});
}

void Network::After(Duration delay, Action action) {
  due_.emplace(std::pair{now_ + delay, sequence_++}, std::move(action));
}

void Network::Send(Link link, const Action& action) {
  const auto which = static_cast<std::uint32_t>(link);
  const auto of = static_cast<std::uint32_t>(Link::kCount);
  if (Active(FaultKind::kCutLink, which, of)) return;
  if (Take(FaultKind::kDropMessage, which, of) != nullptr) return;
  After(kHop + TakeDelay(link), action);
  if (const Fault* fault = Take(FaultKind::kDoubleMessage, which, of)) {
    After(kHop + fault->length, action);
  }
}

Duration Network::TakeDelay(Link link) {
  const Fault* fault =
      Take(FaultKind::kDelayMessage, static_cast<std::uint32_t>(link),
           static_cast<std::uint32_t>(Link::kCount));
  return fault != nullptr ? fault->length : Duration{};
}

void Network::RunUntil(Time end) {
  while (!due_.empty() && due_.begin()->first.first <= end) {
    auto node = due_.extract(due_.begin());
    now_ = node.key().first;
    node.mapped()();
  }
  now_ = end;
}

bool Network::Active(FaultKind kind, std::uint32_t which,
                     std::uint32_t of) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const Entry& entry) {
    const Fault& fault = entry.fault;
    if (fault.kind != kind || fault.which % of != which) return false;
    const Time from = kStart + fault.at;
    if (now_ < from || now_ >= from + fault.length) return false;
    entry.hit = true;
    return true;
  });
}

const Fault* Network::Take(FaultKind kind, std::uint32_t which,
                           std::uint32_t of) {
  for (Entry& entry : faults_) {
    const Fault& fault = entry.fault;
    if (entry.hit || fault.kind != kind || fault.which % of != which) continue;
    if (now_ < kStart + fault.at) continue;
    entry.hit = true;
    return &fault;
  }
  return nullptr;
}

std::size_t Network::injected() const {
  return static_cast<std::size_t>(
      std::count_if(faults_.begin(), faults_.end(),
                    [](const Entry& entry) { return entry.hit; }));
}

}  // namespace comfreyflow::explore
