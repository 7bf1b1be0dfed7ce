/// Bytes of datagrams and peer messages, and their signatures.
#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "comfreyflow/membership.h"
#include "comfreyflow_types.h"

namespace comfreyflow::wire {

/// Longest peer message, above the longest configuration document.
inline constexpr std::size_t kMaxMessageBytes = 4 * 1024 * 1024;
/// Length of a signature: HMAC-SHA256 cut to its first half.
inline constexpr std::size_t kSignatureBytes = 16;

/// Secret shared by the hosts of one fleet.
struct FleetKey {
  std::string value;
};

/// Encoded and signed bytes of a datagram.
std::string EncodeDatagram(const comfreyflow::Datagram& datagram,
                           const FleetKey& key);
/// `kBadSignature` or `kCodec` unless `out` was filled.
std::error_code DecodeDatagram(std::string_view bytes, const FleetKey& key,
                               comfreyflow::Datagram& out);

/// Encoded and signed bytes of a message between hosts, without its length.
std::string EncodeEnvelope(const Envelope& envelope, const FleetKey& key);
std::error_code DecodeEnvelope(std::string_view bytes, const FleetKey& key,
                               Envelope& out);

/// Encoded and signed bytes of a datagram about placement.
std::string EncodePlaceDatagram(const PlaceDatagram& datagram,
                                const FleetKey& key);
std::error_code DecodePlaceDatagram(std::string_view bytes, const FleetKey& key,
                                    PlaceDatagram& out);

}  // namespace comfreyflow::wire
