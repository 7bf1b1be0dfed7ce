/// Simulates many `Membership` objects in one process and in virtual time. The
/// simulated network delays and loses datagrams, and can be partitioned.
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
  /// If not 0, so many hosts have 0.5 cores and the others 0.12.
  int large_hosts = 0;
};

class GossipNet {
 public:
  explicit GossipNet(const GossipNetSettings& settings);

  void Start(int host);
  /// Ends the host without a leave message. Its datagrams in flight still
  /// arrive.
  void Kill(int host);
  /// The host does nothing for `length`; datagrams to it are delivered after
  /// that.
  void Pause(int host, Duration length);
  /// From now on, datagrams pass only between hosts with the same `part_of`.
  void Partition(const std::function<int(int)>& part_of) { part_of_ = part_of; }
  void Heal() { part_of_ = nullptr; }
  void Run(Duration length);
  /// Runs until `done` returns true, but not longer than `limit`. Returns the
  /// virtual time taken.
  Duration RunUntil(const std::function<bool()>& done, Duration limit);

  /// Whether every running host considers exactly the running hosts live.
  bool Agreed() const;
  /// Whether no running host considers `host` live.
  bool AllDropped(int host) const;
  Membership& node(int host) { return *nodes_[host].membership; }
  bool up(int host) const { return nodes_[host].membership != nullptr; }
  HostName name(int host) const { return Record(host).name; }
  FailureDomain domain(int host) const { return Record(host).failure_domain; }
  Time now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t datagrams_sent() const { return datagrams_sent_; }
  /// Highest number of bytes that one host sent and received in one second.
  std::uint64_t peak_bytes() const { return peak_bytes_; }
  void ResetCounters();
  std::vector<std::vector<MembershipEvent>>& events() { return events_; }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    std::uint64_t start_count = 0;
    Time next_tick;
    Time paused_until;
    std::uint64_t bytes = 0;  ///< Sent and received in the present second.
  };
  struct Packet {
    Time deliver_at;
    std::uint64_t order = 0;
    int to = 0;
    int from = 0;
    std::shared_ptr<Datagram> datagram;
    bool operator>(const Packet& other) const {
      return std::tie(deliver_at, order) >
             std::tie(other.deliver_at, other.order);
    }
  };

  HostRecord Record(int host) const;
  static std::string Address(int host);
  void Step(Time step_end);
  void Deliver(const Packet& packet);
  void SendAll(int from, MembershipOutput output);
  void CountBytes(int host, std::size_t bytes);

  GossipNetSettings settings_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<std::vector<MembershipEvent>> events_;
  std::map<std::string, int> by_address_;
  std::priority_queue<Packet, std::vector<Packet>, std::greater<>> packets_;
  std::function<int(int)> part_of_;
  Time now_{std::chrono::hours(1)};
  Time second_start_{std::chrono::hours(1)};
  std::uint64_t last_order_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t datagrams_sent_ = 0;
  std::uint64_t peak_bytes_ = 0;
};

}  // namespace comfreyflow::testing
