// Encodes messages in Thrift's compact protocol and appends a signature.
#include "wire/codec.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <limits>
#include <set>

#include "comfreyflow/errors.h"
#include "wire/marks.h"

namespace comfreyflow::wire {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t kMaxDatagramBytes = 65'507;
// Each kind of message is signed with its own context string, so that a message
// of one kind is not accepted as one of another.
constexpr std::string_view kDatagramContext = "comfreyflow datagram 1";
constexpr std::string_view kEnvelopeContext = "comfreyflow envelope 1";
constexpr std::string_view kPlacementContext = "comfreyflow placement 1";
constexpr std::string_view kCarryContext = "comfreyflow carry 1";
/// Bytes of the length of a carried request's head, behind the head.
constexpr std::size_t kLengthBytes = 4;

std::string Signature(std::string_view context, std::string_view bytes,
                      const FleetKey& key) {
  std::string signed_bytes(context);
  signed_bytes += bytes;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.value.data(), static_cast<int>(key.value.size()),
       reinterpret_cast<const unsigned char*>(signed_bytes.data()),
       signed_bytes.size(), digest.data(), &length);
  return {reinterpret_cast<const char*>(digest.data()), kSignatureBytes};
}

/// Removes the signature from the end of `bytes`. Returns false if it is
/// missing or does not match.
bool VerifyAndStrip(std::string_view context, std::string_view& bytes,
                    const FleetKey& key) {
  if (bytes.size() < kSignatureBytes) return false;
  const auto received = bytes.substr(bytes.size() - kSignatureBytes);
  bytes.remove_suffix(kSignatureBytes);
  const std::string expected = Signature(context, bytes, key);
  return CRYPTO_memcmp(expected.data(), received.data(), kSignatureBytes) == 0;
}

template <class Message>
std::string Serialize(const Message& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

template <class Message>
std::error_code Deserialize(std::string_view bytes, std::size_t max_bytes,
                            Message& out) {
  if (bytes.size() > max_bytes) return Errc::kCodec;
  try {
    auto limits = std::make_shared<TConfiguration>(static_cast<int>(max_bytes),
                                                   static_cast<int>(max_bytes));
    auto* data = reinterpret_cast<std::uint8_t*>(
        const_cast<char*>(bytes.data()));  // NOLINT: the buffer only reads it.
    auto buffer = std::make_shared<TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
        limits);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    out.read(&protocol);
    if (buffer->available_read() != 0) return Errc::kCodec;
  } catch (const TException&) {
    return Errc::kCodec;
  } catch (const std::bad_alloc&) {
    return Errc::kCodec;
  } catch (const std::length_error&) {
    return Errc::kCodec;
  }
  return {};
}

HostRecord ToWire(const comfreyflow::HostRecord& record) {
  HostRecord out;
  out.name = record.name.value;
  out.incarnation = static_cast<std::int64_t>(record.incarnation.value);
  out.failure_domain = record.failure_domain.value;
  out.gossip = record.gossip;
  out.peers = record.peers;
  out.callers = record.callers;
  out.capacity = static_cast<std::int32_t>(record.capacity);
  return out;
}

comfreyflow::HostRecord FromWire(const HostRecord& record) {
  comfreyflow::HostRecord out;
  out.name.value = record.name;
  out.incarnation.value = static_cast<std::uint64_t>(record.incarnation);
  out.failure_domain.value = record.failure_domain;
  out.gossip = record.gossip;
  out.peers = record.peers;
  out.callers = record.callers;
  out.capacity = static_cast<std::uint32_t>(std::max(record.capacity, 1));
  return out;
}

/// Number of values of `MemberState`.
constexpr std::int32_t kMemberStateCount = 4;
/// Oldest age, in units of `kAgeUnit`, that fits beside the state.
constexpr std::int64_t kMaxAgeUnits =
    std::numeric_limits<std::int32_t>::max() / kMemberStateCount - 1;

/// Packs the state and the age of a claim into one number.
std::int32_t EncodeStateAndAge(const MemberClaim& claim) {
  const std::int64_t units = (claim.age + kAgeUnit - Duration(1)) / kAgeUnit;
  const auto age = static_cast<std::int32_t>(std::min(units, kMaxAgeUnits));
  return age * kMemberStateCount + static_cast<std::int32_t>(claim.state);
}

/// The load and flags of a host are packed into one byte. From the lowest bit:
/// draining, five bits of load, detached, returned.
constexpr std::int32_t kDetachedBit = 2 * kLoadSteps;
constexpr std::int32_t kReturnedBit = 2 * kDetachedBit;

std::int32_t EncodeLoadByte(const HostFacts& facts) {
  return facts.load * 2 + (facts.draining ? 1 : 0) +
         (facts.detached ? kDetachedBit : 0) +
         (facts.returned ? kReturnedBit : 0);
}

bool DecodeLoadByte(std::int32_t value, HostFacts& facts) {
  if (value < 0 || value >= 2 * kReturnedBit) return false;
  facts.returned = value >= kReturnedBit;
  facts.detached = value % kReturnedBit >= kDetachedBit;
  facts.load = static_cast<std::uint8_t>(value % kDetachedBit / 2);
  facts.draining = value % 2 == 1;
  return true;
}

void EncodeClaims(const comfreyflow::Datagram& datagram, Datagram& out) {
  bool has_lags = false;
  for (const MemberClaim& claim : datagram.claims) {
    out.claim_ids.push_back(static_cast<std::int32_t>(claim.id.value));
    out.claim_marks.push_back(EncodeStateAndAge(claim));
    out.claim_loads.push_back(static_cast<char>(EncodeLoadByte(claim.facts)));
    out.claim_lags.push_back(static_cast<std::int64_t>(
        datagram.facts.generation - claim.facts.generation));
    has_lags = has_lags || out.claim_lags.back() != 0;
  }
  out.__isset.claim_lags = has_lags;
}

bool DecodeClaims(const Datagram& in, comfreyflow::Datagram& out) {
  const std::size_t count = in.claim_ids.size();
  if (in.claim_marks.size() != count || in.claim_loads.size() != count) {
    return false;
  }
  if (in.__isset.claim_lags && in.claim_lags.size() != count) return false;
  for (std::size_t i = 0; i < count; ++i) {
    const std::int32_t state_and_age = in.claim_marks[i];
    if (state_and_age < 0) return false;
    const auto load = static_cast<unsigned char>(in.claim_loads[i]);
    const std::int64_t lag = in.__isset.claim_lags ? in.claim_lags[i] : 0;
    MemberClaim claim;
    claim.id.value = static_cast<std::uint32_t>(in.claim_ids[i]);
    claim.state = static_cast<MemberState>(state_and_age % kMemberStateCount);
    claim.age = kAgeUnit * (state_and_age / kMemberStateCount);
    if (!DecodeLoadByte(load, claim.facts)) return false;
    claim.facts.generation =
        out.facts.generation - static_cast<std::uint64_t>(lag);
    out.claims.push_back(claim);
  }
  return true;
}

void EncodeUnready(const comfreyflow::Datagram& datagram, Datagram& out) {
  const auto add = [&out](MemberId id, const HostFacts& facts) {
    if (facts.unready)
      out.unready.push_back(static_cast<std::int32_t>(id.value));
  };
  add(datagram.sender, datagram.facts);
  for (const MemberClaim& claim : datagram.claims) add(claim.id, claim.facts);
  out.__isset.unready = !out.unready.empty();
}

void DecodeUnready(const Datagram& in, comfreyflow::Datagram& out) {
  const std::set<std::int32_t> unready(in.unready.begin(), in.unready.end());
  const auto is_unready = [&unready](MemberId id) {
    return unready.contains(static_cast<std::int32_t>(id.value));
  };
  out.facts.unready = is_unready(out.sender);
  for (MemberClaim& claim : out.claims)
    claim.facts.unready = is_unready(claim.id);
}

EvacuationState ToWire(const comfreyflow::EvacuationState& state) {
  EvacuationState out;
  out.era = static_cast<std::int64_t>(state.version.era);
  out.revision = static_cast<std::int64_t>(state.version.revision);
  for (const auto& domain : state.domains) out.domains.push_back(domain.value);
  if (state.is_partial) out.__set_is_partial(true);
  return out;
}

comfreyflow::EvacuationState FromWire(const EvacuationState& in) {
  comfreyflow::EvacuationState out;
  out.version = {static_cast<std::uint64_t>(in.era),
                 static_cast<std::uint64_t>(in.revision)};
  for (const auto& domain : in.domains) out.domains.insert({domain});
  out.is_partial = in.__isset.is_partial && in.is_partial;
  return out;
}

Datagram ToWire(const comfreyflow::Datagram& datagram) {
  Datagram out;
  out.kind = static_cast<std::int32_t>(datagram.kind);
  out.sender = static_cast<std::int32_t>(datagram.sender.value);
  out.sequence = static_cast<std::int64_t>(datagram.sequence);
  if (datagram.kind == DatagramKind::kPingRequest) {
    out.__set_subject(static_cast<std::int32_t>(datagram.subject.value));
  }
  out.generation = static_cast<std::int64_t>(datagram.facts.generation);
  out.load = EncodeLoadByte(datagram.facts);
  out.config_generation = static_cast<std::int64_t>(datagram.config.generation);
  out.config_hash = static_cast<std::int64_t>(datagram.config.hash);
  EncodeClaims(datagram, out);
  EncodeUnready(datagram, out);
  for (const auto& record : datagram.records) {
    out.records.push_back(ToWire(record));
  }
  for (const MemberId id : datagram.wanted) {
    out.wanted.push_back(static_cast<std::int32_t>(id.value));
  }
  for (const auto& mark : datagram.targets) {
    out.targets.push_back(wire::ToWire(mark));
  }
  for (const auto& suspect_mark : datagram.suspects) {
    SuspectMark& suspect = out.suspects.emplace_back();
    suspect.fingerprint = static_cast<std::int64_t>(suspect_mark.fingerprint);
    suspect.crashes = static_cast<std::int32_t>(suspect_mark.crashes);
  }
  if (datagram.store_era != 0)
    out.__set_store_era(static_cast<std::int64_t>(datagram.store_era));
  if (datagram.evacuations)
    out.__set_evacuations(ToWire(*datagram.evacuations));
  out.__isset.records = !out.records.empty();
  out.__isset.wanted = !out.wanted.empty();
  out.__isset.targets = !out.targets.empty();
  out.__isset.suspects = !out.suspects.empty();
  return out;
}

bool FromWire(const Datagram& in, comfreyflow::Datagram& out) {
  const auto last = static_cast<std::int32_t>(DatagramKind::kLeave);
  if (in.kind < 0 || in.kind > last) return false;
  out.kind = static_cast<DatagramKind>(in.kind);
  out.sender.value = static_cast<std::uint32_t>(in.sender);
  out.sequence = static_cast<std::uint64_t>(in.sequence);
  out.subject.value = static_cast<std::uint32_t>(in.subject);
  out.facts.generation = static_cast<std::uint64_t>(in.generation);
  if (!DecodeLoadByte(in.load, out.facts)) return false;
  out.config.generation = static_cast<std::uint64_t>(in.config_generation);
  out.config.hash = static_cast<std::uint64_t>(in.config_hash);
  for (const HostRecord& record : in.records) {
    out.records.push_back(FromWire(record));
  }
  for (const std::int32_t id : in.wanted) {
    out.wanted.push_back({static_cast<std::uint32_t>(id)});
  }
  for (const TargetMark& mark : in.targets) {
    out.targets.push_back(wire::FromWire(mark));
  }
  for (const SuspectMark& mark : in.suspects) {
    out.suspects.push_back({static_cast<std::uint64_t>(mark.fingerprint),
                            static_cast<std::uint32_t>(mark.crashes)});
  }
  out.store_era = static_cast<std::uint64_t>(in.store_era);
  if (in.__isset.evacuations) out.evacuations = FromWire(in.evacuations);
  if (!DecodeClaims(in, out)) return false;
  DecodeUnready(in, out);
  return true;
}

}  // namespace

std::string EncodeDatagram(const comfreyflow::Datagram& datagram,
                           const FleetKey& key) {
  std::string bytes = Serialize(ToWire(datagram));
  bytes += Signature(kDatagramContext, bytes, key);
  return bytes;
}

std::error_code DecodeDatagram(std::string_view bytes, const FleetKey& key,
                               comfreyflow::Datagram& out) {
  if (!VerifyAndStrip(kDatagramContext, bytes, key)) return Errc::kBadSignature;
  Datagram message;
  if (auto error = Deserialize(bytes, kMaxDatagramBytes, message)) return error;
  comfreyflow::Datagram datagram;
  if (!FromWire(message, datagram)) return Errc::kCodec;
  out = std::move(datagram);
  return {};
}

std::string EncodeEnvelope(const Envelope& envelope, const FleetKey& key) {
  std::string bytes = Serialize(envelope);
  bytes += Signature(kEnvelopeContext, bytes, key);
  return bytes;
}

std::error_code DecodeEnvelope(std::string_view bytes, const FleetKey& key,
                               Envelope& out) {
  if (!VerifyAndStrip(kEnvelopeContext, bytes, key)) return Errc::kBadSignature;
  Envelope envelope;
  if (auto error = Deserialize(bytes, kMaxMessageBytes, envelope)) return error;
  out = envelope;
  return {};
}

std::string EncodePlaceDatagram(const PlaceDatagram& datagram,
                                const FleetKey& key) {
  std::string bytes = Serialize(datagram);
  bytes += Signature(kPlacementContext, bytes, key);
  return bytes;
}

std::error_code DecodePlaceDatagram(std::string_view bytes, const FleetKey& key,
                                    PlaceDatagram& out) {
  if (!VerifyAndStrip(kPlacementContext, bytes, key))
    return Errc::kBadSignature;
  PlaceDatagram datagram;
  if (auto error = Deserialize(bytes, kMaxDatagramBytes, datagram))
    return error;
  out = datagram;
  return {};
}

std::string EncodeCarry(const CarryHead& head, std::string_view body,
                        const FleetKey& key) {
  std::string bytes(body);
  const std::string encoded = Serialize(head);
  bytes += encoded;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes += static_cast<char>(encoded.size() >> (8 * i) & 0xff);
  }
  bytes += Signature(kCarryContext, bytes, key);
  return bytes;
}

std::error_code DecodeCarry(std::string_view bytes, const FleetKey& key,
                            CarryHead& head, std::string_view& body) {
  if (!VerifyAndStrip(kCarryContext, bytes, key)) return Errc::kBadSignature;
  if (bytes.size() < kLengthBytes) return Errc::kCodec;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    const auto byte =
        static_cast<unsigned char>(bytes[bytes.size() - kLengthBytes + i]);
    size |= static_cast<std::size_t>(byte) << (8 * i);
  }
  bytes.remove_suffix(kLengthBytes);
  if (size > bytes.size()) return Errc::kCodec;
  CarryHead decoded;
  if (auto error = Deserialize(bytes.substr(bytes.size() - size),
                               kMaxMessageBytes, decoded)) {
    return error;
  }
  head = decoded;
  body = bytes.substr(0, bytes.size() - size);
  return {};
}

}  // namespace comfreyflow::wire
