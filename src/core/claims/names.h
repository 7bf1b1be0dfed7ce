/// Digests and object names of the claim log.
#pragma once

#include <cstdint>
#include <string>

#include "comfreyflow/types.h"

namespace comfreyflow::detail {

/// 96 bits of SHA-256 over account and key, as 16 characters.
std::string KeyDigest(const AccountName& account, const std::string& key);
/// Hash that tells apart the requests with the same key; 50 bits.
std::uint64_t ClaimantOf(const RequestId& id);
/// The part of a request body's fingerprint that the log stores; 40 bits.
std::uint64_t ShortFingerprint(std::uint64_t fingerprint);
std::uint32_t ShardOf(const std::string& digest, std::uint32_t shards);

/// Rendezvous weight of a host for a shard; the host with the highest weight is
/// preferred as its steward.
std::uint64_t RendezvousWeight(const HostName& host, std::uint32_t shard);

/// Common prefix of the names of a shard's slots.
std::string SlotPrefix(std::uint32_t shard);
std::string SlotName(std::uint32_t shard, std::uint64_t slot);
/// Returns false if the name is not that of a slot of the shard.
bool ParseSlotName(const std::string& name, std::uint32_t shard,
                   std::uint64_t& slot);
/// Name of the object with the shard's trim mark, the lowest slot that is kept.
std::string TrimMarkName(std::uint32_t shard);

}  // namespace comfreyflow::detail
