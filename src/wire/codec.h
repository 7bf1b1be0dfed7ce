/// Encodes, signs, verifies and decodes the datagrams and TCP messages that
/// hosts exchange.
#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "comfreyflow/membership.h"
#include "comfreyflow_types.h"

namespace comfreyflow::wire {

/// Maximum size of a message between hosts. It exceeds the maximum size of a
/// configuration document, which is sent in one message.
inline constexpr std::size_t kMaxMessageBytes = 4 * 1024 * 1024;
/// Length of a signature: the first half of an HMAC-SHA256 digest.
inline constexpr std::size_t kSignatureBytes = 16;

/// Secret that all hosts of a fleet share to sign their messages.
struct FleetKey {
  std::string value;
};

/// Returns the encoded and signed bytes of a membership datagram.
std::string EncodeDatagram(const comfreyflow::Datagram& datagram,
                           const FleetKey& key);
/// Returns `kBadSignature` or `kCodec` on failure and then leaves `out`
/// unchanged. The other decoding functions below do the same.
std::error_code DecodeDatagram(std::string_view bytes, const FleetKey& key,
                               comfreyflow::Datagram& out);

/// Returns the encoded and signed bytes of a TCP message between hosts, without
/// the length prefix.
std::string EncodeEnvelope(const Envelope& envelope, const FleetKey& key);
std::error_code DecodeEnvelope(std::string_view bytes, const FleetKey& key,
                               Envelope& out);

/// Returns the encoded and signed bytes of a placement datagram.
std::string EncodePlaceDatagram(const PlaceDatagram& datagram,
                                const FleetKey& key);
std::error_code DecodePlaceDatagram(std::string_view bytes, const FleetKey& key,
                                    PlaceDatagram& out);

/// Returns the signed frame of a request that another host is to send to a
/// target: the head, its length and the body.
std::string EncodeCarry(const CarryHead& head, std::string_view body,
                        const FleetKey& key);
/// `body` points into `bytes`.
std::error_code DecodeCarry(std::string_view bytes, const FleetKey& key,
                            CarryHead& head, std::string_view& body);

}  // namespace comfreyflow::wire
