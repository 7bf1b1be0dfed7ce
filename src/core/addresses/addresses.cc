// Orders the hosts of an answer: those of the caller's failure domain come
// first, and within each group those of the lowest cost. The cost adds the
// answers given recently to the reported load, because a load report does not
// yet include the callers that were sent to the host since.
#include "comfreyflow/addresses.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace comfreyflow {
namespace {

// Cost of a full load, in answers per `kAddressTtl` that list the host first.
constexpr double kFullLoadCost = 4;
// Hosts drawn at random and compared for one answer, separately for the
// caller's failure domain and for all others.
constexpr std::size_t kSampleSize = 16;
// Hosts of other failure domains in each answer, when there are as many, so
// that a caller can go on when its own failure domain is down.
constexpr std::size_t kMinRemoteHosts = 2;
// Upper bound of the random term that spreads callers over hosts of equal load.
constexpr double kMaxRandomCost = 1;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void Addresses::SetView(const std::map<HostName, Member>& members) {
  std::map<HostName, Host> next;
  for (const auto& [name, member] : members) {
    // Suspected members are left out too, as they may be dead.
    if (member.state != MemberState::kAlive || member.facts.draining ||
        member.facts.unready) {
      continue;
    }
    Host host{member.record.failure_domain,
              member.record.callers,
              member.facts.load,
              0,
              {}};
    const auto previous = hosts_.find(name);
    if (previous != hosts_.end()) {
      host.recent_answers = previous->second.recent_answers;
      host.decayed_at = previous->second.decayed_at;
    }
    next[name] = std::move(host);
  }
  hosts_ = std::move(next);
}

double Addresses::Cost(Host& host, Time now) {
  const double periods = Seconds(now - host.decayed_at) / Seconds(kAddressTtl);
  host.recent_answers *= std::exp(-std::max(periods, 0.0));
  host.decayed_at = now;
  const double load = static_cast<double>(host.load) / kLoadSteps;
  std::uniform_real_distribution<> draw(0, kMaxRandomCost);
  return host.recent_answers + load * kFullLoadCost + draw(random_);
}

std::vector<Addresses::Host*> Addresses::SampleByCost(
    bool same_domain, const FailureDomain& caller, Time now) {
  std::vector<Host*> all;
  for (auto& [name, host] : hosts_) {
    if ((host.domain == caller) == same_domain) all.push_back(&host);
  }
  std::vector<Host*> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), kSampleSize,
              random_);
  std::vector<std::pair<double, Host*>> candidates;
  for (Host* host : sample) candidates.emplace_back(Cost(*host, now), host);
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Host*> ordered;
  for (const auto& [cost, host] : candidates) ordered.push_back(host);
  return ordered;
}

AddressAnswer Addresses::Answer(const FailureDomain& caller, Time now) {
  std::vector<Host*> chosen = SampleByCost(true, caller, now);
  std::vector<Host*> remote = SampleByCost(false, caller, now);
  const std::size_t remote_count = std::min(remote.size(), kMinRemoteHosts);
  chosen.resize(std::min(chosen.size(), kAddressesPerAnswer - remote_count));
  for (Host* host : remote) {
    if (chosen.size() >= kAddressesPerAnswer) break;
    chosen.push_back(host);
  }
  AddressAnswer answer;
  for (const Host* host : chosen) answer.hosts.push_back(host->address);
  if (!chosen.empty()) chosen.front()->recent_answers += 1;
  std::uniform_int_distribution<Duration::rep> draw(kAddressTtl.count() / 2,
                                                    kAddressTtl.count());
  answer.ttl = Duration(draw(random_));
  return answer;
}

std::vector<std::string> SampleHosts(std::vector<WeightedHost> hosts,
                                     std::size_t count,
                                     std::mt19937_64& random) {
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  std::vector<std::pair<double, std::string>> ranked;
  for (auto& host : hosts) {
    const double key =
        std::pow(draw(random), 1.0 / std::max(host.weight, 1e-6));
    ranked.emplace_back(key, std::move(host.address));
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > count) ranked.resize(count);
  std::vector<std::string> out;
  for (auto& [key, address] : ranked) out.push_back(std::move(address));
  return out;
}

std::size_t PickWeighted(const std::vector<std::uint32_t>& weights,
                         std::mt19937_64& random) {
  const bool are_equal =
      std::adjacent_find(weights.begin(), weights.end(),
                         std::not_equal_to<>()) == weights.end();
  if (are_equal) return random() % weights.size();
  std::vector<double> positive;
  for (const auto weight : weights) positive.push_back(std::max(weight, 1U));
  return std::discrete_distribution<std::size_t>(positive.begin(),
                                                 positive.end())(random);
}

}  // namespace comfreyflow
