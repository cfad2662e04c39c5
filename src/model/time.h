/// Time as the pure core sees it: an instant on a monotonic clock that the caller supplies.
#pragma once

#include <chrono>

namespace gorsevalve {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag for the monotonic clock. The simulator and the real programs each supply their own reading.
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
