// Rendezvous hashing of duties over hosts.
#include "comfreyflow/stewardship.h"

#include <xxhash.h>

#include <algorithm>

namespace comfreyflow {
namespace {

struct HashedHost {
  std::uint64_t hash = 0;
  const HostName* name = nullptr;
};

struct ScoredHost {
  std::uint64_t score = 0;
  const HostName* host = nullptr;
};

bool RanksHigher(const ScoredHost& a, const ScoredHost& b) {
  if (a.score != b.score) return a.score > b.score;
  return *a.host < *b.host;
}

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<HashedHost> HashAll(const std::vector<HostName>& hosts) {
  std::vector<HashedHost> hashed;
  hashed.reserve(hosts.size());
  for (const HostName& host : hosts) {
    hashed.push_back({Hash(host.value, 0), &host});
  }
  return hashed;
}

ScoredHost Score(const HashedHost& host, std::uint64_t duty) {
  return {XXH3_64bits_withSeed(&host.hash, sizeof(host.hash), duty), host.name};
}

/// The kind is part of the hash, so that a name used by several kinds of duty
/// does not assign all of them to the same host.
std::uint64_t DutyHash(std::string_view kind, std::string_view name) {
  return Hash(name, Hash(kind, 0));
}

HostName HighestScored(const std::vector<HashedHost>& hosts,
                       std::uint64_t duty) {
  ScoredHost best;
  for (const HashedHost& host : hosts) {
    const ScoredHost scored = Score(host, duty);
    if (best.host == nullptr || RanksHigher(scored, best)) best = scored;
  }
  return best.host == nullptr ? HostName{} : *best.host;
}

}  // namespace

std::vector<HostName> RankHosts(const std::vector<HostName>& hosts,
                                std::string_view duty, std::size_t count) {
  const std::uint64_t hash = DutyHash("", duty);
  std::vector<ScoredHost> scored;
  for (const HashedHost& host : HashAll(hosts)) {
    scored.push_back(Score(host, hash));
  }
  count = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), RanksHigher);
  std::vector<HostName> ranked;
  for (std::size_t i = 0; i < count; ++i) ranked.push_back(*scored[i].host);
  return ranked;
}

HostName StewardOf(const std::vector<HostName>& hosts,
                   const TargetName& target) {
  return HighestScored(HashAll(hosts), DutyHash("target", target.value));
}

HostName OrderIssuerOf(const std::vector<HostName>& hosts,
                       const ServiceName& service) {
  return HighestScored(HashAll(hosts), DutyHash("orders", service.value));
}

HostName AppenderOf(const std::vector<HostName>& hosts, std::uint32_t shard) {
  return HighestScored(HashAll(hosts),
                       DutyHash("claims", std::to_string(shard)));
}

std::vector<TargetName> DutiesOf(const HostName& self,
                                 const std::vector<HostName>& hosts,
                                 const std::vector<TargetName>& targets) {
  const std::vector<HashedHost> hashed = HashAll(hosts);
  std::vector<TargetName> duties;
  for (const TargetName& target : targets) {
    const std::uint64_t duty = DutyHash("target", target.value);
    if (HighestScored(hashed, duty) == self) duties.push_back(target);
  }
  return duties;
}

}  // namespace comfreyflow
