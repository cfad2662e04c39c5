/// Timing of connection attempts to a peer. If a SYN is lost, the kernel retransmits it only after
/// a second, so another attempt starts earlier. Previous attempts continue, for peers with a long
/// round-trip time.
#pragma once

#include "model/time.h"

namespace gorsevalve::dialling {

/// Delay after which another attempt starts.
constexpr Duration kNextAttemptDelay = std::chrono::milliseconds(50);
/// Attempts are repeated for this long after the newest frame was queued.
constexpr Duration kRetryWindow = std::chrono::milliseconds(300);
/// An attempt is closed after this time.
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(900);

/// True if another attempt should start beside the one that started at `started_at`.
constexpr bool needs_another_attempt(Instant started_at, Instant now) {
  return now - started_at >= kNextAttemptDelay;
}
constexpr bool has_timed_out(Instant started_at, Instant now) {
  return now - started_at >= kAttemptTimeout;
}

}  // namespace gorsevalve::dialling
