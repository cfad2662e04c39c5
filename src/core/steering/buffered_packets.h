/// Packets that came before a starting balancer could decide about them, kept so that callers need
/// not wait for their next copy, and given again with each newer state. Bounded in number and age;
/// the oldest go first.
#pragma once

#include <deque>
#include <functional>

#include "core/steering/flow_steering.h"
#include "model/bytes.h"
#include "model/time.h"

namespace gorsevalve {

struct HeldPacket {
  ClientPacket packet;
  Bytes bytes;
  /// When the caller sent its first opening packet, or when this packet of an open flow came.
  Instant sent_at;
};

class BufferedPackets {
 public:
  static constexpr std::size_t kMaxPackets = 1024;

  /// Takes a packet for good, or tells that nothing can be decided about it yet.
  using Visitor = std::function<bool(const HeldPacket&)>;

  explicit BufferedPackets(const SteeringPolicy& policy);

  /// A copy of an opening packet replaces the one that is held: given again together, copies would
  /// blame a target that was never asked.
  void hold(const ClientPacket& packet, ByteView bytes, Instant now);
  /// Drops packets whose callers have given up, and shows the others to `take` in the order in
  /// which they came.
  void release(const FlowSteering& steering, Instant now, const Visitor& take);
  [[nodiscard]] std::size_t size() const { return packets_.size(); }

 private:
  static constexpr double kMicrosecondsPerMillisecond = 1000;

  Duration max_wait_;
  /// In the order in which they came.
  std::deque<HeldPacket> packets_;
};

}  // namespace gorsevalve
