/// Many `Membership` objects in one process and in virtual time, joined by a
/// network that delays, loses and cuts datagrams.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"

namespace comfreyflow::testing {

struct GossipNetSettings {
  int hosts = 8;
  int domains = 3;
  double loss = 0;
  Duration delay = std::chrono::microseconds(1500);
  std::uint64_t seed = 1;
};

class GossipNet {
 public:
  explicit GossipNet(const GossipNetSettings& settings);

  void Start(int host);
  /// Ends the host without a word; its datagrams in flight still arrive.
  void Kill(int host);
  /// The host takes no step, while datagrams wait for it, until `until`.
  void Pause(int host, Duration length);
  /// Datagrams pass only between hosts of the same part.
  void Partition(const std::function<int(int)>& part_of) { part_of_ = part_of; }
  void Heal() { part_of_ = nullptr; }
  void Run(Duration length);
  /// Runs until `done`, at most `limit`; returns the time taken.
  Duration RunUntil(const std::function<bool()>& done, Duration limit);

  /// Whether each live host's view has just the live hosts.
  bool Agreed() const;
  /// Whether no running host has `name` as live.
  bool AllDropped(int host) const;
  Membership& node(int host) { return *nodes_[host].core; }
  bool up(int host) const { return nodes_[host].core != nullptr; }
  HostName name(int host) const { return Record(host).name; }
  FailureDomain domain(int host) const { return Record(host).failure_domain; }
  Time now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }
  std::uint64_t bytes_sent() const { return bytes_; }
  std::uint64_t datagrams_sent() const { return datagrams_; }
  /// Most bytes that one host sent and got in one second.
  std::uint64_t peak_bytes() const { return peak_; }
  void ResetCounters();
  std::vector<std::vector<MembershipEvent>>& events() { return events_; }

 private:
  struct Node {
    std::unique_ptr<Membership> core;
    std::uint64_t starts = 0;
    Time next_tick;
    Time paused_until;
    std::uint64_t bytes = 0;  // In the second that runs.
  };
  struct Packet {
    Time at;
    std::uint64_t order = 0;
    int to = 0;
    int from = 0;
    std::shared_ptr<Datagram> datagram;
    bool operator>(const Packet& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  HostRecord Record(int host) const;
  static std::string Address(int host);
  void Step(Time until);
  void Deliver(const Packet& packet);
  void Take(int from, MembershipOutput output);
  void Count(int host, std::size_t bytes);

  GossipNetSettings settings_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<std::vector<MembershipEvent>> events_;
  std::map<std::string, int> by_address_;
  std::priority_queue<Packet, std::vector<Packet>, std::greater<>> packets_;
  std::function<int(int)> part_of_;
  Time now_{std::chrono::hours(1)};
  Time second_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t datagrams_ = 0;
  std::uint64_t peak_ = 0;
};

}  // namespace comfreyflow::testing
