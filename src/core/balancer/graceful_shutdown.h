/// When a balancer that leaves may end: after its partitions have moved it relays for a while what
/// the fabric still sends it, since the list of live machines lags.
#pragma once

#include <optional>

#include "model/time.h"

namespace gorsevalve {

class GracefulShutdown {
 public:
  static constexpr Duration kRelayPeriod = std::chrono::seconds(3);

  void begin() { leaving_ = true; }

  /// `has_moved`: control has told that the process may stop, and all partitions have gone. True
  /// when the process ends now.
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
