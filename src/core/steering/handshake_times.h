/// How long openings take at targets that answer, and from when on one that nothing followed is
/// overdue. Round trips differ between zones, so each zone of targets has its own estimate: the
/// smoothed time and its mean deviation (Jacobson, "Congestion avoidance and control", 1988).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>

#include "model/time.h"

namespace gorsevalve {

class HandshakeTimes {
 public:
  /// Makes room for a zone, so that its openings allocate nothing.
  void add_zone(const std::string& zone) { zones_.try_emplace(zone); }
  /// A target of the zone answered an opening packet that was sent once; its caller's next packet
  /// came this much later. Nothing is noted of a zone that was not added.
  void on_established(const std::string& zone, Duration took);
  /// An opening at a target of the zone that nothing followed for this long is overdue.
  [[nodiscard]] Duration overdue_timeout(const std::string& zone) const;

  /// A process that waits for its processor is late by this much without any trouble.
  static constexpr Duration kMinTimeout = std::chrono::milliseconds(15);
  /// Half of the time after which callers send a copy; also while a zone's times are not known.
  static constexpr Duration kMaxTimeout = std::chrono::milliseconds(100);

 private:
  struct Estimate {
    /// 0 before the first opening.
    double mean_us = 0;
    double deviation_us = 0;
  };

  absl::flat_hash_map<std::string, Estimate> zones_;
};

}  // namespace gorsevalve
