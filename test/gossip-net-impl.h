/// Implementation of `GossipNet`; each program that uses it includes this file
/// in exactly one source file.
#pragma once

#include <algorithm>
#include <tuple>

#include "gossip-net.h"

namespace comfreyflow::testing {

inline constexpr std::size_t kIpUdpBytes = 28;

inline GossipNet::GossipNet(const GossipNetSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      nodes_(settings.hosts),
      events_(settings.hosts) {
  for (int i = 0; i < size(); ++i) by_address_[Address(i)] = i;
}

inline std::string GossipNet::Address(int host) {
  return "10.1." + std::to_string(host / 250) + "." +
         std::to_string(host % 250 + 1) + ":7400";
}

inline HostRecord GossipNet::Record(int host) const {
  HostRecord record;
  record.name.value = "entry-" + std::to_string(1000 + host);
  record.failure_domain.value =
      "domain-" + std::to_string(host % settings_.domains);
  record.gossip = Address(host);
  record.peers = record.gossip;
  record.callers = record.gossip;
  if (settings_.large_hosts > 0)
    record.capacity = host < settings_.large_hosts ? 50 : 12;
  return record;
}

inline void GossipNet::Start(int host) {
  Node& node = nodes_[host];
  MembershipSettings settings;
  settings.self = Record(host);
  settings.self.incarnation.value = 1'790'000'000'000 + ++node.start_count;
  for (int seed = 0; seed < std::min(3, size()); ++seed) {
    settings.seeds.push_back(Address(seed));
  }
  settings.seed = random_();
  node.membership = std::make_unique<Membership>(settings, now_);
  std::vector<ListedHost> listed;
  for (int i = 0; i < size(); ++i) listed.push_back({name(i), Address(i)});
  node.membership->SetPlatformList(listed);
  const auto phase = std::uniform_int_distribution<int>(0, 99)(random_);
  node.next_tick = now_ + std::chrono::milliseconds(phase);
}

inline void GossipNet::Kill(int host) { nodes_[host].membership.reset(); }

inline void GossipNet::Pause(int host, Duration length) {
  nodes_[host].paused_until = now_ + length;
}

inline void GossipNet::CountBytes(int host, std::size_t bytes) {
  nodes_[host].bytes += bytes;
  peak_bytes_ = std::max(peak_bytes_, nodes_[host].bytes);
}

inline void GossipNet::SendAll(int from, MembershipOutput output) {
  for (MembershipEvent& event : output.events) {
    events_[from].push_back(std::move(event));
  }
  for (SendDatagram& send : output.datagrams) {
    const std::size_t bytes = SizeBound(send.datagram) + kIpUdpBytes;
    bytes_sent_ += bytes;
    ++datagrams_sent_;
    CountBytes(from, bytes);
    const auto to = by_address_.find(send.to);
    if (to == by_address_.end()) continue;
    if (part_of_ && part_of_(from) != part_of_(to->second)) continue;
    if (std::uniform_real_distribution<>(0, 1)(random_) < settings_.loss) {
      continue;
    }
    packets_.push({now_ + settings_.delay, ++last_order_, to->second, from,
                   std::make_shared<Datagram>(std::move(send.datagram))});
  }
}

inline void GossipNet::Deliver(const Packet& packet) {
  Node& node = nodes_[packet.to];
  if (node.membership == nullptr) return;
  if (node.paused_until > now_) {
    Packet delayed = packet;
    delayed.deliver_at = node.paused_until;
    packets_.push(delayed);
    return;
  }
  CountBytes(packet.to, SizeBound(*packet.datagram) + kIpUdpBytes);
  SendAll(packet.to, node.membership->Handle(*packet.datagram,
                                             Address(packet.from), now_));
}

inline void GossipNet::Step(Time step_end) {
  while (!packets_.empty() && packets_.top().deliver_at <= step_end) {
    const Packet packet = packets_.top();
    packets_.pop();
    now_ = std::max(now_, packet.deliver_at);
    Deliver(packet);
  }
  now_ = step_end;
  for (int i = 0; i < size(); ++i) {
    Node& node = nodes_[i];
    if (node.membership == nullptr || node.next_tick > now_) continue;
    if (node.paused_until > now_) continue;
    node.next_tick = now_ + kMembershipTick;
    SendAll(i, node.membership->Tick(now_));
  }
  if (now_ < second_start_ + std::chrono::seconds(1)) return;
  second_start_ = now_;
  for (Node& node : nodes_) node.bytes = 0;
}

inline void GossipNet::Run(Duration length) {
  RunUntil([] { return false; }, length);
}

inline Duration GossipNet::RunUntil(const std::function<bool()>& done,
                                    Duration limit) {
  const Time started_at = now_;
  int steps = 0;
  while (now_ < started_at + limit) {
    Step(now_ + std::chrono::milliseconds(5));
    if (++steps % 20 == 0 && done()) break;
  }
  return now_ - started_at;
}

inline bool GossipNet::Agreed() const {
  std::vector<HostName> running_names;
  for (int i = 0; i < size(); ++i) {
    if (nodes_[i].membership != nullptr) running_names.push_back(name(i));
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.membership == nullptr ||
           node.membership->Live() == running_names;
  });
}

inline bool GossipNet::AllDropped(int host) const {
  return std::none_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    if (node.membership == nullptr) return false;
    const auto member = node.membership->members().find(name(host));
    return member != node.membership->members().end() &&
           member->second.state <= MemberState::kSuspect;
  });
}

inline void GossipNet::ResetCounters() {
  bytes_sent_ = 0;
  datagrams_sent_ = 0;
  peak_bytes_ = 0;
}

}  // namespace comfreyflow::testing
