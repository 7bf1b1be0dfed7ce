/// Body of `GossipNet`; included by the one source of each program using it.
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
  return record;
}

inline void GossipNet::Start(int host) {
  Node& node = nodes_[host];
  MembershipSettings settings;
  settings.self = Record(host);
  settings.self.incarnation.value = 1'790'000'000'000 + ++node.starts;
  for (int seed = 0; seed < std::min(3, size()); ++seed) {
    settings.seeds.push_back(Address(seed));
  }
  settings.seed = random_();
  node.core = std::make_unique<Membership>(settings, now_);
  std::vector<ListedHost> listed;
  for (int i = 0; i < size(); ++i) listed.push_back({name(i), Address(i)});
  node.core->SetPlatformList(listed);
  const auto phase = std::uniform_int_distribution<int>(0, 99)(random_);
  node.next_tick = now_ + std::chrono::milliseconds(phase);
}

inline void GossipNet::Kill(int host) { nodes_[host].core.reset(); }

inline void GossipNet::Pause(int host, Duration length) {
  nodes_[host].paused_until = now_ + length;
}

inline void GossipNet::Count(int host, std::size_t bytes) {
  nodes_[host].bytes += bytes;
  peak_ = std::max(peak_, nodes_[host].bytes);
}

inline void GossipNet::Take(int from, MembershipOutput output) {
  for (MembershipEvent& event : output.events) {
    events_[from].push_back(std::move(event));
  }
  for (SendDatagram& send : output.datagrams) {
    const std::size_t bytes = SizeBound(send.datagram) + kIpUdpBytes;
    bytes_ += bytes;
    ++datagrams_;
    Count(from, bytes);
    const auto to = by_address_.find(send.to);
    if (to == by_address_.end()) continue;
    if (part_of_ && part_of_(from) != part_of_(to->second)) continue;
    if (std::uniform_real_distribution<>(0, 1)(random_) < settings_.loss) {
      continue;
    }
    packets_.push({now_ + settings_.delay, ++order_, to->second, from,
                   std::make_shared<Datagram>(std::move(send.datagram))});
  }
}

inline void GossipNet::Deliver(const Packet& packet) {
  Node& node = nodes_[packet.to];
  if (node.core == nullptr) return;
  if (node.paused_until > now_) {
    Packet later = packet;
    later.at = node.paused_until;
    packets_.push(later);
    return;
  }
  Count(packet.to, SizeBound(*packet.datagram) + kIpUdpBytes);
  Take(packet.to,
       node.core->Handle(*packet.datagram, Address(packet.from), now_));
}

inline void GossipNet::Step(Time until) {
  while (!packets_.empty() && packets_.top().at <= until) {
    const Packet packet = packets_.top();
    packets_.pop();
    now_ = std::max(now_, packet.at);
    Deliver(packet);
  }
  now_ = until;
  for (int i = 0; i < size(); ++i) {
    Node& node = nodes_[i];
    if (node.core == nullptr || node.next_tick > now_) continue;
    if (node.paused_until > now_) continue;
    node.next_tick = now_ + kMembershipTick;
    Take(i, node.core->Tick(now_));
  }
  if (now_ < second_ + std::chrono::seconds(1)) return;
  second_ = now_;
  for (Node& node : nodes_) node.bytes = 0;
}

inline void GossipNet::Run(Duration length) {
  RunUntil([] { return false; }, length);
}

inline Duration GossipNet::RunUntil(const std::function<bool()>& done,
                                    Duration limit) {
  const Time begin = now_;
  int steps = 0;
  while (now_ < begin + limit) {
    Step(now_ + std::chrono::milliseconds(5));
    if (++steps % 20 == 0 && done()) break;
  }
  return now_ - begin;
}

inline bool GossipNet::Agreed() const {
  std::vector<HostName> up;
  for (int i = 0; i < size(); ++i) {
    if (nodes_[i].core != nullptr) up.push_back(name(i));
  }
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.core == nullptr || node.core->Live() == up;
  });
}

inline bool GossipNet::AllDropped(int host) const {
  return std::none_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    if (node.core == nullptr) return false;
    const auto member = node.core->members().find(name(host));
    return member != node.core->members().end() &&
           member->second.state <= MemberState::kSuspect;
  });
}

inline void GossipNet::ResetCounters() {
  bytes_ = 0;
  datagrams_ = 0;
  peak_ = 0;
}

}  // namespace comfreyflow::testing
