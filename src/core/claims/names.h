/// Digests and object names of the claim log.
#pragma once

#include <cstdint>
#include <string>

#include "comfreyflow/types.h"

namespace comfreyflow::detail {

/// 96 bits of SHA-256 over account and key, as 16 characters.
std::string KeyDigest(const AccountName& account, const std::string& key);
/// Names a request among those that used the same key; 50 bits.
std::uint64_t ClaimantOf(const RequestId& id);
/// The part of a body's fingerprint that the log keeps; 40 bits.
std::uint64_t ShortFingerprint(std::uint64_t fingerprint);
std::uint32_t ShardOf(const std::string& digest, std::uint32_t shards);

/// Weight of a host as steward of a shard; the highest one is it.
std::uint64_t RendezvousWeight(const HostName& host, std::uint32_t shard);

std::string SlotPrefix(std::uint32_t shard);
std::string SlotName(std::uint32_t shard, std::uint64_t slot);
/// False when the name is not one of a slot of the shard.
bool ParseSlot(const std::string& name, std::uint32_t shard,
               std::uint64_t& slot);
/// The object that holds the shard's trim mark: the lowest slot kept.
std::string MarkName(std::uint32_t shard);

}  // namespace comfreyflow::detail
