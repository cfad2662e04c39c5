/// A client packet as seen by steering, independent of its wire format.
#pragma once

#include <cstdint>

#include "core/steering/flow_table.h"
#include "model/steering.h"

namespace gorsevalve {

/// Fields of a client packet that steering uses.
struct ClientPacket {
  SteeredFlow flow;
  bool opens = false;
  bool closes = false;
  bool resets = false;
  /// Number of earlier transmissions of this opening packet (SYN).
  std::uint32_t retransmissions = 0;
  /// Time since the client first sent this opening packet.
  Duration age{0};
  /// Last byte that the client has received from the target.
  std::uint32_t acknowledged = 0;
  std::uint32_t data_size = 0;
  /// Sequence number of the data, in bytes; wraps around.
  std::uint32_t sequence = 0;
  FlowToken token = 0;
};

/// A flow to reset towards its client.
struct FlowReset {
  SteeredFlow flow;
  /// Last byte that the client has received from the target; 0 while the flow is opening.
  std::uint32_t acknowledged = 0;
};

/// The reset sent in reply to a packet.
inline FlowReset reset_of(const ClientPacket& packet) {
  return {packet.flow, packet.opens ? 0 : packet.acknowledged};
}

}  // namespace gorsevalve
