/// How long requests of each pool take to be answered, as one balancer sees it. Tells whether a
/// target that refuses a connection may be full: that takes a queue, and then answers of its pool
/// take long. After a loss of all, queues are full everywhere, and targets that are full for a
/// moment must not be left to the few that are not.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

#include "model/time.h"

namespace gorsevalve {

/// What the latest answers of a pool say.
enum class LatencyLevel : std::uint8_t {
  /// None came lately.
  kUnknown = 0,
  kLow = 1,
  /// Requests wait in queues.
  kHigh = 2,
};

class ResponseTimes {
 public:
  /// Makes room for a pool, so that its answers allocate nothing.
  void add_pool(const std::string& pool) { pools_.try_emplace(pool); }
  /// An answer of a target; nothing is noted of a pool that was not added.
  void on_response(const std::string& pool, Duration took, Instant now);
  [[nodiscard]] LatencyLevel latency_level(const std::string& pool, Instant now) const;

  /// Work without a queue takes less than this, in microseconds; with a full queue it takes more.
  static constexpr double kLowLatencyUs = 100e3;

 private:
  struct Estimate {
    double mean_us = 0;
    Instant at;
  };

  absl::flat_hash_map<std::string, Estimate> pools_;
};

}  // namespace gorsevalve
