/// Packets that came before a starting balancer had its state: kept for a moment and given again
/// once it has, so that callers need not wait for their next copy. Bounded; the oldest go first.
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

  void hold(ByteView packet, Instant now);
  /// Gives back the packets that are young enough, in the order in which they came.
  [[nodiscard]] std::deque<Bytes> take(Instant now);
  [[nodiscard]] std::size_t size() const { return packets_.size(); }

 private:
  struct Held {
    Bytes packet;
    Instant at;
  };
  std::deque<Held> packets_;
};

}  // namespace gorsevalve
