/// Chooses the hosts that a caller should use and how long it may cache them.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct AddressAnswer {
  std::vector<std::string> hosts;  ///< `ip:port`, in order of preference.
  Duration ttl{};                  ///< How long the caller may cache them.
};

/// Answers callers that ask which hosts they should send requests to.
///
/// Invariants: no answer contains a host that is draining or not alive in the
/// membership view given last. Live hosts of the caller's failure domain come
/// first. An answer contains at least one host of another failure domain if
/// there is one.
class Addresses {
 public:
  explicit Addresses(std::uint64_t seed) : random_(seed) {}

  void SetView(const std::map<HostName, Member>& members);
  /// Replaces the membership view. Hosts that remain keep their count of recent
  /// answers.
  /// `caller` is the caller's failure domain, empty if it is not known.
  AddressAnswer Answer(const FailureDomain& caller, Time now);

 private:
  struct Host {
    FailureDomain domain;
    std::string address;
    std::uint8_t load = 0;
    /// Number of answers that listed this host first, decaying exponentially
    /// with the time constant `kAddressTtl`.
    double recent_answers = 0;
    Time decayed_at;  ///< When `recent_answers` was last decayed.
  };

  /// Decays the host's recent answers and returns its cost; lower is better.
  double Cost(Host& host, Time now);
  /// A random sample of the hosts inside or outside the caller's failure
  /// domain, in order of cost.
  std::vector<Host*> SampleByCost(bool same_domain, const FailureDomain& caller,
                                  Time now);

  std::map<HostName, Host> hosts_;
  std::mt19937_64 random_;
};

/// A host that callers may be sent to, with a weight proportional to its size.
struct WeightedHost {
  std::string address;
  double weight = 1;
};

/// Up to `count` distinct hosts in random order, drawn with probabilities
/// proportional to their weights, for callers that pick any one of them. Uses
/// weighted sampling without replacement after Efraimidis and Spirakis.
std::vector<std::string> SampleHosts(std::vector<WeightedHost> hosts,
                                     std::size_t count,
                                     std::mt19937_64& random);

/// Draws an index with a probability proportional to its weight; uniformly if
/// all weights are equal. `weights` must not be empty.
std::size_t PickWeighted(const std::vector<std::uint32_t>& weights,
                         std::mt19937_64& random);

/// Maximum number of hosts in an answer.
inline constexpr std::size_t kAddressesPerAnswer = 6;
/// Longest time that callers cache an answer. Each answer gets a random time
/// between half of this and this, so that callers do not refresh in step.
inline constexpr Duration kAddressTtl = std::chrono::seconds(10);

}  // namespace comfreyflow
