/// A packet of a caller as steering sees it, whatever it looks like on the wire.
#pragma once

#include <cstdint>

#include "core/steering/flow_table.h"
#include "model/steering.h"

namespace gorsevalve {

/// What steering reads of a packet from a caller.
struct ClientPacket {
  SteeredFlow flow;
  bool opens = false;
  bool closes = false;
  bool resets = false;
  /// Copies of the opening packet that went before this one.
  std::uint32_t retransmissions = 0;
  /// How long ago the caller sent the first copy of an opening packet.
  Duration age{0};
  /// Last octet that the caller has of the other end.
  std::uint32_t acknowledged = 0;
  std::uint32_t data_size = 0;
  /// Place of the data in the caller's stream, in octets; it wraps around.
  std::uint32_t sequence = 0;
  FlowToken token = 0;
};

/// A flow that its caller is to be told of as ended.
struct FlowReset {
  SteeredFlow flow;
  /// Last octet that the caller has of the other end; 0 while the flow opens.
  std::uint32_t acknowledged = 0;
};

/// The reset that answers a packet.
inline FlowReset reset_of(const ClientPacket& packet) {
  return {packet.flow, packet.opens ? 0 : packet.acknowledged};
}

}  // namespace gorsevalve
