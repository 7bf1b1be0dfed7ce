/// What is derived from a prompt's bytes: token estimate, chain of block
/// hashes, fingerprint, and the salt that keeps client accounts apart.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "comfreyflow/types.h"

namespace comfreyflow::node {

/// Bytes of prompt counted as one token.
inline constexpr std::size_t kBytesPerToken = 4;

std::uint32_t EstimateTokens(std::size_t prompt_bytes);

/// Salt of an account's prefix caches, made with the fleet key so that no
/// account can name another's.
std::uint64_t CacheSalt(const AccountName& account,
                        const std::string& fleet_key);

/// Hashes of the whole blocks of a prompt, each chained to those before it.
PrefixChain ChainOf(std::string_view prompt, const ModelName& model,
                    std::uint64_t salt);

/// Equal for the same body sent again by the same account.
std::uint64_t FingerprintOf(const AccountName& account, std::string_view body);

/// 16 hexadecimal digits.
std::string HashText(std::uint64_t hash);

}  // namespace comfreyflow::node
