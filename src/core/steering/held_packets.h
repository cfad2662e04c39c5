/// Packets that came before a starting balancer could decide about them: kept for a moment and
/// given again with each newer state, so that callers need not wait for their next copy. Bounded;
/// the oldest go first.
#pragma once

#include <deque>

#include "model/bytes.h"
#include "model/time.h"

namespace gorsevalve {

class HeldPackets {
 public:
  static constexpr std::size_t kMaxPackets = 1024;
  /// Older packets are of no use: the caller has sent a copy, or has given up.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1200);

  struct Packet {
    Bytes bytes;
    /// When it came.
    Instant at;
  };

  void hold(ByteView packet, Instant at);
  /// Gives back the packets that are young enough, in the order in which they came.
  [[nodiscard]] std::deque<Packet> take(Instant now);
  [[nodiscard]] std::size_t size() const { return packets_.size(); }

 private:
  std::deque<Packet> packets_;
};

}  // namespace gorsevalve
