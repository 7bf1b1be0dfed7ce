/// Which hosts a caller shall use, and for how long it may keep the answer.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct AddressAnswer {
  std::vector<std::string> hosts;  ///< `ip:port`, the best first.
  Duration ttl{};
};

/// Invariant: no answer has a host that is leaving or not alive in the view
/// last told. Hosts of the caller's failure domain stand first while any is
/// alive there; at least one host of another domain is in the answer when
/// there is one.
class Addresses {
 public:
  explicit Addresses(std::uint64_t seed) : random_(seed) {}

  void SetView(const std::map<HostName, Member>& members);
  /// `caller` is empty when the caller's failure domain is not known.
  AddressAnswer Answer(const FailureDomain& caller, Time now);

 private:
  struct Host {
    FailureDomain domain;
    std::string address;
    std::uint8_t load = 0;
    double handed_out = 0;  ///< Answers that led with this host, fading.
    Time faded;
  };

  double Cost(Host& host, Time now);
  std::vector<Host*> Ordered(bool near, const FailureDomain& caller, Time now);

  std::map<HostName, Host> hosts_;
  std::mt19937_64 random_;
};

/// A host that callers may be sent to, with a weight by its size.
struct WeightedHost {
  std::string address;
  double weight = 1;
};

/// Up to `count` of the hosts in random order, each drawn with a chance in
/// proportion to its weight, for callers that pick any one of them. Method:
/// Efraimidis and Spirakis, weighted sampling without replacement.
std::vector<std::string> SampleHosts(std::vector<WeightedHost> hosts,
                                     std::size_t count,
                                     std::mt19937_64& random);

/// Hosts in an answer at most.
inline constexpr std::size_t kAddressesPerAnswer = 6;
/// Callers keep an answer between half of this and this.
inline constexpr Duration kAddressTtl = std::chrono::seconds(10);

}  // namespace comfreyflow
