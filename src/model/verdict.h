/// The outcome that is reported to a client for a request that failed.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace gorsevalve {

/// Whether a request without a response from a target may have been executed.
enum class Execution : std::uint8_t {
  /// No byte of the request was sent to any target, and none will be.
  kNotRun = 0,
  /// The request was sent to a target, or another balancer may have sent it.
  kMayHaveRun = 1,
};

/// Why a request failed. Used in logs and metrics.
enum class FailureReason : std::uint8_t {
  kNoTarget = 0,
  kOverload = 1,
  kDeadline = 2,
  kNoBackup = 3,
  kNoLease = 4,
  kIncompleteTakeover = 5,
};
constexpr std::size_t kFailureReasonCount = 6;

constexpr std::string_view to_string(FailureReason reason) {
  switch (reason) {
    case FailureReason::kNoTarget:
      return "no_target";
    case FailureReason::kOverload:
      return "overload";
    case FailureReason::kDeadline:
      return "deadline";
    case FailureReason::kNoBackup:
      return "no_backup";
    case FailureReason::kNoLease:
      return "no_lease";
    case FailureReason::kIncompleteTakeover:
      return "incomplete_takeover";
  }
  return "unknown";
}

/// Final outcome of a failed request.
struct Verdict {
  Execution execution = Execution::kMayHaveRun;
  FailureReason reason = FailureReason::kDeadline;
  /// Delay after which the client should retry (CoAP Max-Age).
  std::chrono::seconds retry_after{1};
};

}  // namespace gorsevalve
