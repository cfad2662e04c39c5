/// PROXY protocol version 2 header that precedes each datagram on the way between the fabric, the
/// balancers and the targets. It names the flow, so that a datagram can be handled by any balancer.
/// Source: "The PROXY protocol, versions 1 & 2", section 2.2 (binary header format).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "model/bytes.h"
#include "model/flow.h"
#include "model/settings.h"

namespace gorsevalve {

/// Marks a datagram that one balancer passed to another.
struct RelayInfo {
  /// Balancers passed so far; bounded by kMaxRelayHops.
  std::uint8_t hops = 0;
  /// Membership revision of the sender when it relayed.
  Revision members_revision = 0;
};

/// A datagram makes at most this many balancer-to-balancer hops.
constexpr std::uint8_t kMaxRelayHops = 3;

/// The decoded header. The flow is given as caller to service in both directions.
struct ProxyHeader {
  FlowKey flow;
  /// Set on datagrams to and from targets (PP2_TYPE_UNIQUE_ID).
  std::optional<RequestId> request_id;
  /// Set on answers: the target that sent it (custom type 0xE0).
  std::optional<Endpoint> target;
  /// Set on datagrams between balancers (custom type 0xE1).
  std::optional<RelayInfo> relay;
  /// Set on requests to targets: milliseconds until the balancer gives the request up (custom type
  /// 0xE2). A target need not begin it later.
  std::optional<std::uint32_t> time_left_ms{};
};

/// Largest encoded header, in octets.
constexpr std::size_t kMaxProxyHeaderSize = 28 + (3 + 16) + (3 + 6) + (3 + 9) + (3 + 4);

/// A header and the octets that follow it.
struct ProxyDatagram {
  ProxyHeader header;
  ByteView payload;
};

/// Decodes a datagram. Returns nothing when the header is not a well-formed version 2 PROXY header
/// for IPv4 and datagrams (0x12), or when one of the known extensions has a wrong length. Unknown
/// extensions are skipped. The payload refers into `datagram`.
std::optional<ProxyDatagram> decode_proxy_datagram(ByteView datagram);

/// Writes the header to `out`, which must hold kMaxProxyHeaderSize octets; returns its length.
std::size_t encode_proxy_header(const ProxyHeader& header, std::uint8_t* out);

/// Header followed by payload, in one buffer.
Bytes encode_proxy_datagram(const ProxyHeader& header, ByteView payload);

}  // namespace gorsevalve
