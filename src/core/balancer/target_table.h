/// State of all targets as seen by one balancer: its own load on each, their health and load
/// reports, and a limit on the outstanding requests to each. The limit is a window with additive
/// increase and multiplicative decrease; source: Chiu and Jain, "Analysis of the increase and
/// decrease algorithms for congestion avoidance" (1989).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>

#include "core/balancer/fleet_view.h"
#include "model/time.h"

namespace gorsevalve {

/// Result of one poll of a target's health and load endpoint.
struct TargetReport {
  Endpoint target;
  bool healthy = true;
  /// Open connections and running requests of all balancers, as reported by the target.
  std::uint32_t connections = 0;
  std::uint32_t running = 0;
};

/// A request that is queued for its target.
struct QueuedRequest {
  PartitionId partition = 0;
  RequestId id;
};

/// Priorities of queued requests, highest first.
enum class QueuePriority : std::uint8_t { kObserve = 0, kNonIdempotent = 1, kOther = 2 };
constexpr std::size_t kQueuePriorities = 3;

struct TargetState {
  /// Flows bound to the target by this balancer.
  std::uint32_t flows = 0;
  /// Requests sent that have no final response yet.
  std::uint32_t outstanding = 0;
  /// Limit of outstanding requests.
  double window = 1;
  Instant last_decrease;
  /// When this balancer first saw the target; start of its warm-up.
  Instant first_seen;
  bool needs_warm_up = false;
  bool healthy = true;
  std::uint32_t failed_polls = 0;
  /// Last successful report, and when it arrived.
  TargetReport report;
  Instant reported_at;
  bool has_report = false;
  std::array<std::deque<QueuedRequest>, kQueuePriorities> queues;

  [[nodiscard]] std::size_t queued_count() const;
};

class TargetTable {
 public:
  /// Adds the targets of a view. Targets that appear after the first view warm up.
  void update_targets(const FleetView& view, Instant now);

  /// State of a target, created on first use.
  TargetState& at(const Endpoint& target);
  [[nodiscard]] const TargetState* find(const Endpoint& target) const;

  /// Handles the result of a poll. A target becomes unhealthy after kUnhealthyThreshold consecutive
  /// failures and healthy after one success. Returns true when this report made it unhealthy.
  bool on_report(const TargetReport& report, Instant now);

  /// Updates the window after a response: a refusal decreases it, any other response increases it.
  void on_response(const Endpoint& target, bool refused, Instant now);

  /// True when the window allows another outstanding request.
  [[nodiscard]] bool has_capacity(const Endpoint& target) const;

  /// Relative load for comparing targets; lower is better. It is the number of flows and requests
  /// of this balancer, corrected by the target's report, divided by the target's weight and its
  /// warm-up factor.
  [[nodiscard]] double load(const Target& target, double owned_share, Instant now) const;

  static constexpr std::uint32_t kUnhealthyThreshold = 3;

 private:
  absl::flat_hash_map<Endpoint, TargetState> targets_;
  bool has_view_ = false;
};

}  // namespace gorsevalve
