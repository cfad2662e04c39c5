/// Packets that came before a starting balancer could decide about them, kept so that callers need
/// not wait for their next copy. They are given again with each newer state, and no faster than
/// targets take requests: after a loss of all machines they come to hundreds, and what comes then
/// would stand behind them. Bounded in number and age; the oldest go first.
#pragma once

#include <deque>
#include <functional>

#include "core/steering/flow_steering.h"
#include "model/bytes.h"
#include "model/time.h"

namespace gorsevalve {

struct HeldPacket {
  CallerPacket packet;
  Bytes bytes;
  /// When the caller sent its first opening packet, or when this packet of an open flow came.
  Instant sent_at;
};

class HeldPackets {
 public:
  static constexpr std::size_t kMaxPackets = 1024;

  /// Takes a packet for good, or tells that nothing can be decided about it yet.
  using Visitor = std::function<bool(const HeldPacket&)>;

  explicit HeldPackets(const SteeringPolicy& policy) : policy_(policy) {}

  /// A copy of an opening packet replaces the one that is held.
  void hold(const CallerPacket& packet, ByteView bytes, Instant now);
  /// Drops packets whose callers have given up, and shows others to `take` as far as `steering` has
  /// room: first requests that can still be answered in time, newest first (adaptive LIFO, as in
  /// Maurer, "Fail at Scale", 2015), then late ones, those first that are given up first.
  void release(const FlowSteering& steering, Instant now, const Visitor& take);
  /// True while packets of the flow wait: later ones of it wait with them.
  [[nodiscard]] bool holds(const SteeredFlow& flow) const;
  [[nodiscard]] std::size_t size() const { return packets_.size(); }

 private:
  SteeringPolicy policy_;
  std::deque<HeldPacket> packets_;
};

}  // namespace gorsevalve
