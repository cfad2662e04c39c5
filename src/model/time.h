/// Time types of the core: instants on a monotonic clock that the caller of the core reads.
#pragma once

#include <chrono>

namespace gorsevalve {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Tag type of the monotonic clock. The simulator and the programs each provide its readings.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): chrono's name
};

/// Instant on the monotonic clock of one process. Not comparable between processes.
using Instant = MonotonicClock::time_point;

}  // namespace gorsevalve
