/// Estimates handshake times per zone of targets, since round-trip times differ between zones, and
/// derives when a handshake is overdue. Uses a smoothed mean and mean deviation (Jacobson,
/// "Congestion avoidance and control", 1988).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>

#include "model/time.h"

namespace gorsevalve {

class HandshakeTimes {
 public:
  /// Adds a zone in advance; its samples then allocate nothing.
  void add_zone(const std::string& zone) { zones_.try_emplace(zone); }
  /// Records the time from an opening packet, sent once, to the client's next packet. Zones that
  /// were not added are ignored.
  void on_established(const std::string& zone, Duration took);
  /// Time without a reply after which an opening packet in the zone is past the expected handshake
  /// time.
  [[nodiscard]] Duration overdue_timeout(const std::string& zone) const;

  /// Allows for scheduling delay of a healthy process.
  static constexpr Duration kMinTimeout = std::chrono::milliseconds(15);
  /// Half of the client's retransmission timeout; also the default without samples.
  static constexpr Duration kMaxTimeout = std::chrono::milliseconds(100);

 private:
  struct Estimate {
    /// 0 before the first sample.
    double mean_us = 0;
    double deviation_us = 0;
  };

  absl::flat_hash_map<std::string, Estimate> zones_;
};

}  // namespace gorsevalve
