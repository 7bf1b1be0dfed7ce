/// Stewardship: assigns duties to hosts by rendezvous hashing over the hosts
/// that accept duties. A duty is to be the steward of a target, the issuer of a
/// service's orders or the appender of a shard of the claim log. Two hosts may
/// have the same duty for a while, because their membership views differ; this
/// only makes decisions less exact.
#pragma once

#include <string_view>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Returns up to `count` hosts in descending order of their score for `duty`.
/// When a host joins or leaves, only the duties that it gains or had move.
std::vector<HostName> RankHosts(const std::vector<HostName>& hosts,
                                std::string_view duty, std::size_t count);

/// Returns the steward of `target`, or an empty name if there is no host.
HostName StewardOf(const std::vector<HostName>& hosts,
                   const TargetName& target);
/// Returns the host that issues the orders of `service`.
HostName OrderIssuerOf(const std::vector<HostName>& hosts,
                       const ServiceName& service);
/// Returns the host that collects the claims of a shard and appends them to the
/// log.
HostName AppenderOf(const std::vector<HostName>& hosts, std::uint32_t shard);

/// Returns those of `targets` whose steward is `self`, in the same order.
std::vector<TargetName> DutiesOf(const HostName& self,
                                 const std::vector<HostName>& hosts,
                                 const std::vector<TargetName>& targets);

}  // namespace comfreyflow
