// Upper bounds for the encoded sizes of datagrams, and helpers for the small
// types of the membership.
#include <xxhash.h>

#include <algorithm>
#include <bit>

#include "comfreyflow/membership.h"

namespace comfreyflow {
namespace {

// Signature tag, kind, list headers and the stop bytes of structs.
constexpr std::size_t kFrameBytes = 24;
constexpr Duration kMinSuspicionTime = std::chrono::milliseconds(1200);
constexpr Duration kSuspicionTimePerDoubling = std::chrono::milliseconds(400);
constexpr std::size_t kIdBytes = 5;
constexpr std::size_t kHashBytes = 10;
constexpr std::size_t kFieldBytes = 3;  // Field header and string length.
constexpr std::size_t kListBytes = 4;

/// Encoded size of a signed integer as a zigzag varint (base 128).
std::size_t VarintBytes(std::int64_t value) {
  const auto zigzag = (static_cast<std::uint64_t>(value) << 1) ^
                      static_cast<std::uint64_t>(value >> 63);
  return zigzag == 0 ? 1 : (std::bit_width(zigzag) + 6) / 7;
}

std::size_t StringBytes(const std::string& text) {
  return text.size() + kFieldBytes;
}

std::size_t RecordBytes(const HostRecord& record) {
  return StringBytes(record.name.value) +
         StringBytes(record.failure_domain.value) + StringBytes(record.gossip) +
         StringBytes(record.peers) + StringBytes(record.callers) + kHashBytes +
         kFieldBytes;
}

std::size_t ClaimBytes(const MemberClaim& claim,
                       const HostFacts& sender_facts) {
  const auto age = claim.age / kAgeUnit + 1;
  const auto lag = static_cast<std::int64_t>(claim.facts.generation -
                                             sender_facts.generation);
  return kIdBytes + VarintBytes(age * 4 + 3) + VarintBytes(lag) + 1 +
         (claim.facts.unready ? kIdBytes : 0);
}

}  // namespace

MemberId IdOf(const HostName& name, Incarnation incarnation) {
  const std::uint64_t hash = XXH3_64bits_withSeed(
      name.value.data(), name.value.size(), incarnation.value);
  return {static_cast<std::uint32_t>(hash)};
}

bool ChangesDuties(const HostFacts& before, const HostFacts& after) {
  return before.draining != after.draining ||
         before.detached != after.detached ||
         before.returned != after.returned || before.unready != after.unready;
}

const char* ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "dead";
}

Duration SuspicionTime(std::size_t hosts) {
  return kMinSuspicionTime + kSuspicionTimePerDoubling * std::bit_width(hosts);
}

std::size_t SizeBound(const Datagram& datagram) {
  std::size_t bytes = kFrameBytes + 2 * kIdBytes + 5 * kHashBytes + kListBytes;
  for (const MemberClaim& claim : datagram.claims) {
    bytes += ClaimBytes(claim, datagram.facts);
  }
  if (!datagram.claims.empty()) bytes += 3 * kListBytes;
  const bool any_unready =
      datagram.facts.unready ||
      std::any_of(datagram.claims.begin(), datagram.claims.end(),
                  [](const MemberClaim& claim) { return claim.facts.unready; });
  if (any_unready) bytes += kListBytes + kIdBytes;  // The claims' ids: above.
  for (const HostRecord& record : datagram.records) {
    bytes += RecordBytes(record);
  }
  bytes += kIdBytes * datagram.wanted.size() + kListBytes;
  for (const TargetMark& mark : datagram.targets) {
    bytes += StringBytes(mark.target.value) + 5 * kHashBytes + 2 * kFieldBytes;
  }
  if (datagram.evacuations) {
    bytes += 2 * kHashBytes + kListBytes + 2 * kFieldBytes;
    for (const FailureDomain& domain : datagram.evacuations->domains) {
      bytes += StringBytes(domain.value);
    }
  }
  const std::size_t suspect_bytes = kHashBytes + kIdBytes + kFieldBytes;
  return bytes + suspect_bytes * datagram.suspects.size();
}

}  // namespace comfreyflow
