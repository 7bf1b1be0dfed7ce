/// Values derived from a prompt: token estimate, chain of block hashes,
/// fingerprint, and the salt that separates the prefix caches of client
/// accounts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "comfreyflow/types.h"

namespace comfreyflow::node {

/// Estimated prompt bytes per token.
inline constexpr std::size_t kBytesPerToken = 4;

std::uint32_t EstimateTokens(std::size_t prompt_bytes);

/// Salt for the prefix hashes of an account. It is derived with the fleet key
/// so that an account can't compute the hashes of another account.
std::uint64_t CacheSalt(const AccountName& account,
                        const std::string& fleet_key);

/// Hashes of the complete blocks of a prompt. Each hash also covers all blocks
/// before it. A partial last block has no hash.
PrefixChain ChainOf(std::string_view prompt, const ModelName& model,
                    std::uint64_t salt);

/// Hash of account and body. It is equal if the same account sends the same
/// body again.
std::uint64_t FingerprintOf(const AccountName& account, std::string_view body);

/// Formats a hash as 16 hexadecimal digits.
std::string HexHash(std::uint64_t hash);

}  // namespace comfreyflow::node
