/// Determines when a leaving balancer may exit. After its partitions have moved it relays datagrams
/// for a while, since the fabric's list of live balancers lags behind.
#pragma once

#include <optional>

#include "model/time.h"

namespace gorsevalve {

class GracefulShutdown {
 public:
  static constexpr Duration kRelayPeriod = std::chrono::seconds(3);

  void begin() { leaving_ = true; }

  /// `has_moved`: the control replicas allow the process to stop, and all partitions have moved.
  /// Returns true when the process may exit.
  [[nodiscard]] bool on_tick(bool has_moved, Instant now) {
    if (leaving_ && has_moved && !ends_at_) {
      ends_at_ = now + kRelayPeriod;
    }
    return ends_at_ && now >= *ends_at_;
  }

 private:
  bool leaving_ = false;
  std::optional<Instant> ends_at_;
};

}  // namespace gorsevalve
