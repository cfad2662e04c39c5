#include "core/steering/held_packets.h"

#include <utility>

namespace gorsevalve {

void HeldPackets::hold(ByteView packet, Instant now) {
  if (packets_.size() >= kMaxPackets) {
    packets_.pop_front();
  }
  packets_.push_back({Bytes(packet.begin(), packet.end()), now});
}

std::deque<Bytes> HeldPackets::take(Instant now) {
  std::deque<Bytes> young;
  for (auto& held : std::exchange(packets_, {})) {
    if (now - held.at <= kMaxAge) {
      young.push_back(std::move(held.packet));
    }
  }
  return young;
}

}  // namespace gorsevalve
