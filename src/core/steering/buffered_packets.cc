#include "core/steering/buffered_packets.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

/// When the client of a buffered packet times out.
Instant expires_at(const BufferedPacket& buffered, const FrontendView* frontend,
                   Duration max_wait) {
  const Duration wait = frontend == nullptr ? max_wait : std::min(max_wait, frontend->timeout);
  return buffered.sent_at + wait;
}

}  // namespace

BufferedPackets::BufferedPackets(const SteeringPolicy& policy)
    : max_wait_(static_cast<std::int64_t>(policy.hold_ms * kMicrosecondsPerMillisecond)) {}

void BufferedPackets::add(const ClientPacket& packet, ByteView bytes, Instant now) {
  if (max_wait_ <= Duration::zero()) {
    return;
  }
  Bytes payload(bytes.begin(), bytes.end());
  if (packet.opens) {
    const auto existing =
        std::find_if(packets_.begin(), packets_.end(), [&](const BufferedPacket& buffered) {
          return buffered.packet.opens && buffered.packet.flow == packet.flow;
        });
    if (existing != packets_.end()) {
      existing->packet = packet;
      existing->bytes = std::move(payload);
      return;
    }
  }
  if (packets_.size() >= kMaxPackets) {
    packets_.pop_front();
  }
  packets_.push_back({packet, std::move(payload), now - packet.age});
}

void BufferedPackets::release(const FlowSteering& steering, Instant now, const Visitor& take) {
  std::erase_if(packets_, [&](const BufferedPacket& buffered) {
    const FrontendView* frontend = steering.frontend(buffered.packet.flow.frontend);
    return expires_at(buffered, frontend, max_wait_) < now;
  });
  std::erase_if(packets_, take);
}

}  // namespace gorsevalve
