/// Estimates response times per pool, which show whether a target that refuses a connection may be
/// full. A full target has a queue, so responses of its pool are slow. After a full outage all
/// queues are full, and avoiding each target that refuses would overload the few others.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "model/time.h"

namespace gorsevalve {

/// Recent response latency of a pool.
enum class LatencyLevel : std::uint8_t {
  /// No recent response.
  kUnknown = 0,
  kLow = 1,
  /// Requests are queued.
  kHigh = 2,
};

class ResponseTimes {
 public:
  /// Adds a pool in advance; its samples then allocate nothing.
  void add_pool(const std::string& pool) { pools_.try_emplace(pool); }
  /// Records a response time. Pools that were not added are ignored.
  void on_response(const std::string& pool, Duration took, Instant now);
  [[nodiscard]] LatencyLevel latency_level(const std::string& pool, Instant now) const;

  /// Separates responses without queueing from those behind a full queue, in microseconds.
  static constexpr double kLowLatencyUs = 100e3;

 private:
  struct Estimate {
    double mean_us = 0;
    Instant at;
  };

  absl::flat_hash_map<std::string, Estimate> pools_;
};

}  // namespace gorsevalve
