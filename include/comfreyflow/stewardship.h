/// Which host looks after a target, a service's orders or a shard of the claim
/// log: rendezvous hashing over the hosts that take duties. A hint that makes
/// decisions exact; two views may name two hosts for a while.
#pragma once

#include <string_view>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Up to `count` hosts in falling order of their score for `duty`. A host that
/// joins or goes moves only the duties that it gains or had.
std::vector<HostName> RankHosts(const std::vector<HostName>& hosts,
                                std::string_view duty, std::size_t count);

/// The first of `RankHosts`; an empty name when there is no host.
HostName StewardOf(const std::vector<HostName>& hosts,
                   const TargetName& target);
/// The host that issues a service's orders.
HostName OrderIssuerOf(const std::vector<HostName>& hosts,
                       const ServiceName& service);
/// The host that gathers the claims of one shard.
HostName AppenderOf(const std::vector<HostName>& hosts, std::uint32_t shard);

/// Targets of `targets` whose steward is `self`, in their order.
std::vector<TargetName> DutiesOf(const HostName& self,
                                 const std::vector<HostName>& hosts,
                                 const std::vector<TargetName>& targets);

}  // namespace comfreyflow
