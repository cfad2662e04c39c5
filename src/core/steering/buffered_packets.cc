#include "core/steering/buffered_packets.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

/// When the client of a buffered packet times out.
Instant expires_at(const HeldPacket& held, const FrontendView* frontend, Duration longest) {
  const Duration wait = frontend == nullptr ? longest : std::min(longest, frontend->timeout);
  return held.sent_at + wait;
}

}  // namespace

BufferedPackets::BufferedPackets(const SteeringPolicy& policy)
    : max_wait_(static_cast<std::int64_t>(policy.hold_ms * kMicrosecondsPerMillisecond)) {}

void BufferedPackets::hold(const ClientPacket& packet, ByteView bytes, Instant now) {
  if (max_wait_ <= Duration::zero()) {
    return;
  }
  Bytes copied(bytes.begin(), bytes.end());
  if (packet.opens) {
    const auto same = std::find_if(packets_.begin(), packets_.end(), [&](const HeldPacket& held) {
      return held.packet.opens && held.packet.flow == packet.flow;
    });
    if (same != packets_.end()) {
      same->packet = packet;
      same->bytes = std::move(copied);
      return;
    }
  }
  if (packets_.size() >= kMaxPackets) {
    packets_.pop_front();
  }
  packets_.push_back({packet, std::move(copied), now - packet.age});
}

void BufferedPackets::release(const FlowSteering& steering, Instant now, const Visitor& take) {
  std::erase_if(packets_, [&](const HeldPacket& held) {
    const FrontendView* frontend = steering.frontend(held.packet.flow.frontend);
    return expires_at(held, frontend, max_wait_) < now;
  });
  std::erase_if(packets_, take);
}

}  // namespace gorsevalve
