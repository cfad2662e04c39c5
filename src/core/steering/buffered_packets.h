/// Buffers packets that a starting balancer cannot route yet and replays them with each newer
/// state, which saves clients a retransmission. Bounded in number and age; the oldest packet is
/// dropped first.
#pragma once

#include <deque>
#include <functional>

#include "core/steering/flow_steering.h"
#include "model/bytes.h"
#include "model/time.h"

namespace gorsevalve {

struct BufferedPacket {
  ClientPacket packet;
  Bytes bytes;
  /// When the client first sent this opening packet, or when this packet of an open flow arrived.
  Instant sent_at;
};

class BufferedPackets {
 public:
  static constexpr std::size_t kMaxPackets = 1024;

  /// Returns true when the packet is handled, and false when it must stay buffered.
  using Visitor = std::function<bool(const BufferedPacket&)>;

  explicit BufferedPackets(const SteeringPolicy& policy);

  /// Buffers a packet. A retransmitted opening packet replaces the buffered one: replaying both
  /// would count against a target that never received the first.
  void add(const ClientPacket& packet, ByteView bytes, Instant now);
  /// Drops expired packets and passes the others to `take` in order of arrival.
  void release(const FlowSteering& steering, Instant now, const Visitor& take);
  [[nodiscard]] std::size_t size() const { return packets_.size(); }

 private:
  static constexpr double kMicrosecondsPerMillisecond = 1000;

  Duration max_wait_;
  /// In order of arrival.
  std::deque<BufferedPacket> packets_;
};

}  // namespace gorsevalve
