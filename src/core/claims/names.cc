// Digests and object names of the claim log.
#include "core/claims/names.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace comfreyflow::detail {
namespace {

constexpr int kDigestBytes = 12;
constexpr unsigned kClaimantShift = 14;
constexpr unsigned kFingerprintShift = 24;
constexpr std::size_t kSlotDigits = 12;

}  // namespace

std::string KeyDigest(const AccountName& account, const std::string& key) {
  // The length prefix keeps the pairs (a, bc) and (ab, c) distinct.
  const std::string text =
      std::to_string(account.value.size()) + ":" + account.value + key;
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  EVP_Digest(text.data(), text.size(), hash.data(), nullptr, EVP_sha256(),
             nullptr);
  std::array<unsigned char, kDigestBytes / 3 * 4 + 1> encoded{};
  const int length = EVP_EncodeBlock(encoded.data(), hash.data(), kDigestBytes);
  std::string digest(encoded.begin(), encoded.begin() + length);
  std::replace(digest.begin(), digest.end(), '+', '-');
  std::replace(digest.begin(), digest.end(), '/', '_');
  return digest;
}

std::uint64_t ClaimantOf(const RequestId& id) {
  const std::string text = ToString(id);
  return XXH3_64bits(text.data(), text.size()) >> kClaimantShift;
}

std::uint64_t ShortFingerprint(std::uint64_t fingerprint) {
  return fingerprint >> kFingerprintShift;
}

std::uint32_t ShardOf(const std::string& digest, std::uint32_t shards) {
  return static_cast<std::uint32_t>(XXH3_64bits(digest.data(), digest.size()) %
                                    shards);
}

std::uint64_t RendezvousWeight(const HostName& host, std::uint32_t shard) {
  return XXH3_64bits_withSeed(host.value.data(), host.value.size(), shard + 1);
}

std::string SlotPrefix(std::uint32_t shard) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%03u-", shard);
  return text.data();
}

std::string SlotName(std::uint32_t shard, std::uint64_t slot) {
  std::string digits = std::to_string(slot);
  digits.insert(0, kSlotDigits - std::min(kSlotDigits, digits.size()), '0');
  return SlotPrefix(shard) + digits;
}

bool ParseSlotName(const std::string& name, std::uint32_t shard,
                   std::uint64_t& slot) {
  const std::string prefix = SlotPrefix(shard);
  if (!name.starts_with(prefix) || name.size() < prefix.size() + kSlotDigits) {
    return false;
  }
  const char* end = name.data() + name.size();
  const auto result = std::from_chars(name.data() + prefix.size(), end, slot);
  return result.ec == std::errc() && result.ptr == end;
}

std::string TrimMarkName(std::uint32_t shard) {
  return "trim-" + SlotPrefix(shard);
}

}  // namespace comfreyflow::detail
