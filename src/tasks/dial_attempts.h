/// When to begin another attempt to connect to a peer, and when to give one up. A machine that had
/// no power when the kernel sent the opening packet answers the kernel's copy only, a second or
/// more later; so another attempt begins soon, while earlier ones go on, for peers that are far
/// away.
#pragma once

#include "model/time.h"

namespace gorsevalve::dialling {

/// Another attempt begins when the last one has taken this long.
constexpr Duration kNextAttemptDelay = std::chrono::milliseconds(50);
/// Attempts go on for this long after the latest frame for the peer.
constexpr Duration kRetryWindow = std::chrono::milliseconds(300);
/// An attempt is given up after this time.
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(900);

/// True when an attempt that began at `began` should not be waited for alone any more.
constexpr bool needs_another_attempt(Instant began, Instant now) {
  return now - began >= kNextAttemptDelay;
}
constexpr bool has_timed_out(Instant began, Instant now) { return now - began >= kAttemptTimeout; }

}  // namespace gorsevalve::dialling
