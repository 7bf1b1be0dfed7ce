// Order of hosts: near ones first, among these the least loaded by a cost that
// counts what was handed out since the loads were heard.
#include "comfreyflow/addresses.h"

#include <algorithm>
#include <cmath>

namespace comfreyflow {
namespace {

// A host's load weighs as much as this many answers handed out in a period.
constexpr double kFullLoadInAnswers = 4;
// Hosts compared for one answer, near and far each.
constexpr std::size_t kSampled = 16;
constexpr std::size_t kFarHosts = 2;
constexpr double kRandomPart = 1;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void Addresses::SetView(const std::map<HostName, Member>& members) {
  std::map<HostName, Host> next;
  for (const auto& [name, member] : members) {
    // A suspect may be dead; callers have better hosts.
    if (member.state != MemberState::kAlive || member.facts.draining) continue;
    Host host{member.record.failure_domain,
              member.record.callers,
              member.facts.load,
              0,
              {}};
    const auto known = hosts_.find(name);
    if (known != hosts_.end()) {
      host.handed_out = known->second.handed_out;
      host.faded = known->second.faded;
    }
    next[name] = std::move(host);
  }
  hosts_ = std::move(next);
}

double Addresses::Cost(Host& host, Time now) {
  const double age = Seconds(now - host.faded) / Seconds(kAddressTtl);
  host.handed_out *= std::exp(-std::max(age, 0.0));
  host.faded = now;
  const double load = static_cast<double>(host.load) / kLoadSteps;
  std::uniform_real_distribution<> draw(0, kRandomPart);
  return host.handed_out + load * kFullLoadInAnswers + draw(random_);
}

std::vector<Addresses::Host*> Addresses::Ordered(bool near,
                                                 const FailureDomain& caller,
                                                 Time now) {
  std::vector<Host*> all;
  for (auto& [name, host] : hosts_) {
    if ((host.domain == caller) == near) all.push_back(&host);
  }
  std::vector<Host*> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), kSampled,
              random_);
  std::vector<std::pair<double, Host*>> costs;
  for (Host* host : sample) costs.emplace_back(Cost(*host, now), host);
  std::stable_sort(
      costs.begin(), costs.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Host*> ordered;
  for (const auto& [cost, host] : costs) ordered.push_back(host);
  return ordered;
}

AddressAnswer Addresses::Answer(const FailureDomain& caller, Time now) {
  std::vector<Host*> chosen = Ordered(true, caller, now);
  std::vector<Host*> far = Ordered(false, caller, now);
  const std::size_t far_kept = std::min(far.size(), kFarHosts);
  chosen.resize(std::min(chosen.size(), kAddressesPerAnswer - far_kept));
  for (Host* host : far) {
    if (chosen.size() >= kAddressesPerAnswer) break;
    chosen.push_back(host);
  }
  AddressAnswer answer;
  for (const Host* host : chosen) answer.hosts.push_back(host->address);
  if (!chosen.empty()) chosen.front()->handed_out += 1;
  std::uniform_int_distribution<Duration::rep> keep(kAddressTtl.count() / 2,
                                                    kAddressTtl.count());
  answer.ttl = Duration(keep(random_));
  return answer;
}

std::vector<std::string> SampleHosts(std::vector<WeightedHost> hosts,
                                     std::size_t count,
                                     std::mt19937_64& random) {
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  std::vector<std::pair<double, std::string>> keyed;
  for (auto& host : hosts) {
    const double key =
        std::pow(draw(random), 1.0 / std::max(host.weight, 1e-6));
    keyed.emplace_back(key, std::move(host.address));
  }
  std::sort(keyed.rbegin(), keyed.rend());
  if (keyed.size() > count) keyed.resize(count);
  std::vector<std::string> out;
  for (auto& [key, address] : keyed) out.push_back(std::move(address));
  return out;
}

}  // namespace comfreyflow
