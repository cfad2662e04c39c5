/// PROXY protocol version 2 header that precedes each datagram between the fabric, the balancers
/// and the targets. It identifies the flow, which allows any balancer to process the datagram.
/// Source: "The PROXY protocol, versions 1 & 2", section 2.2 (binary header format).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "model/bytes.h"
#include "model/flow.h"
#include "model/settings.h"

namespace gorsevalve {

/// Relay information of a datagram that one balancer forwarded to another.
struct RelayInfo {
  /// Number of balancer-to-balancer hops so far; at most kMaxRelayHops.
  std::uint8_t hops = 0;
  /// Membership revision that the sender used when it relayed the datagram.
  Revision members_revision = 0;
};

/// Maximum number of balancer-to-balancer hops of a datagram.
constexpr std::uint8_t kMaxRelayHops = 3;

/// The decoded header. The flow is given from client to service in both directions.
struct ProxyHeader {
  FlowKey flow;
  /// Set on datagrams to and from targets (PP2_TYPE_UNIQUE_ID).
  std::optional<RequestId> request_id;
  /// Set on responses: the target that sent the response (custom type 0xE0).
  std::optional<Endpoint> target;
  /// Set on datagrams between balancers (custom type 0xE1).
  std::optional<RelayInfo> relay;
  /// Set on requests to targets: milliseconds until the balancer stops waiting for the response
  /// (custom type 0xE2). A target need not start the request after that.
  std::optional<std::uint32_t> time_left_ms{};
};

/// Largest encoded header, in bytes.
constexpr std::size_t kMaxProxyHeaderSize = 28 + (3 + 16) + (3 + 6) + (3 + 9) + (3 + 4);

/// A decoded header and the bytes that follow it.
struct ProxyDatagram {
  ProxyHeader header;
  ByteView payload;
};

/// Decodes a datagram. Returns nothing unless it starts with a well-formed version 2 PROXY header
/// for UDP over IPv4 (0x12) in which all known TLVs have the right length. Unknown TLVs are
/// skipped. The payload refers into `datagram`.
std::optional<ProxyDatagram> decode_proxy_datagram(ByteView datagram);

/// Writes the header to `out`, which must have room for kMaxProxyHeaderSize bytes. Returns its
/// length.
std::size_t encode_proxy_header(const ProxyHeader& header, std::uint8_t* out);

/// Encodes the header followed by the payload.
Bytes encode_proxy_datagram(const ProxyHeader& header, ByteView payload);

}  // namespace gorsevalve
