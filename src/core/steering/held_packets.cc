#include "core/steering/held_packets.h"

#include <utility>

namespace gorsevalve {

void HeldPackets::hold(ByteView packet, Instant at) {
  if (packets_.size() >= kMaxPackets) {
    packets_.pop_front();
  }
  packets_.push_back({Bytes(packet.begin(), packet.end()), at});
}

std::deque<HeldPackets::Packet> HeldPackets::take(Instant now) {
  std::deque<Packet> packets = std::exchange(packets_, {});
  std::erase_if(packets, [&](const Packet& packet) { return now - packet.at > kMaxAge; });
  return packets;
}

}  // namespace gorsevalve
