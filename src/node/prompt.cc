// Computes hashes of prompts and request bodies.
#include "node/prompt.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstring>

namespace comfreyflow::node {
namespace {

constexpr std::size_t kBlockBytes = kPrefixBlockTokens * kBytesPerToken;

}  // namespace

std::uint32_t EstimateTokens(std::size_t prompt_bytes) {
  return static_cast<std::uint32_t>((prompt_bytes + kBytesPerToken - 1) /
                                    kBytesPerToken);
}

std::uint64_t CacheSalt(const AccountName& account,
                        const std::string& fleet_key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  const std::string text = "cache-salt:" + account.value;
  HMAC(EVP_sha256(), fleet_key.data(), static_cast<int>(fleet_key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  std::uint64_t salt = 0;
  std::memcpy(&salt, digest.data(), sizeof(salt));
  return salt;
}

PrefixChain ChainOf(std::string_view prompt, const ModelName& model,
                    std::uint64_t salt) {
  PrefixChain chain;
  chain.reserve(prompt.size() / kBlockBytes);
  std::uint64_t hash =
      XXH3_64bits_withSeed(model.value.data(), model.value.size(), salt);
  while (prompt.size() >= kBlockBytes) {
    hash = XXH3_64bits_withSeed(prompt.data(), kBlockBytes, hash);
    chain.push_back(hash);
    prompt.remove_prefix(kBlockBytes);
  }
  return chain;
}

std::uint64_t FingerprintOf(const AccountName& account, std::string_view body) {
  const auto seed = XXH3_64bits(account.value.data(), account.value.size());
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

std::string HexHash(std::uint64_t hash) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(hash));
  return text;
}

}  // namespace comfreyflow::node
