/// What one balancer knows of its targets: its own load on each, their reports, and how many
/// requests it may have running at each (additive increase, multiplicative decrease). Source of the
/// limit rule: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
/// avoidance" (1989).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>

#include "core/balancer/fleet_view.h"
#include "model/time.h"

namespace gorsevalve {

/// One poll of a target's health and load endpoint.
struct TargetReport {
  Endpoint target;
  bool healthy = true;
  /// Open connections and running requests over all balancers, as the target claims.
  std::uint32_t connections = 0;
  std::uint32_t running = 0;
};

/// A request that waits for its target.
struct QueuedRequest {
  PartitionId partition = 0;
  RequestId id;
};

/// Classes of waiting requests, served and kept in this order.
enum class QueuePriority : std::uint8_t { kObserve = 0, kOnceOnly = 1, kOther = 2 };
constexpr std::size_t kQueuePriorities = 3;

struct TargetState {
  /// Flows bound to the target by this balancer.
  std::uint32_t flows = 0;
  /// Requests sent and not answered.
  std::uint32_t outstanding = 0;
  /// How many may be outstanding.
  double window = 1;
  Instant last_decrease;
  /// When this balancer first saw the target; its share ramps up from here.
  Instant first_seen;
  bool needs_warm_up = false;
  bool healthy = true;
  std::uint32_t failed_polls = 0;
  /// Last report, and when it came.
  TargetReport report;
  Instant reported_at;
  bool has_report = false;
  std::array<std::deque<QueuedRequest>, kQueuePriorities> queues;

  [[nodiscard]] std::size_t queued_count() const;
};

class TargetTable {
 public:
  /// Follows the targets of a view. Targets that appear after the first view start cold.
  void update_targets(const FleetView& view, Instant now);

  /// State of a target; created on first use.
  TargetState& at(const Endpoint& target);
  [[nodiscard]] const TargetState* find(const Endpoint& target) const;

  /// Takes a poll's result. One failed poll is not believed: a target is down after
  /// kUnhealthyThreshold failures in a row and up again after one success. Returns true when the
  /// target went down with this report.
  bool on_report(const TargetReport& report, Instant now);

  /// Records the outcome of a request: a refusal shrinks the window, anything else widens it.
  void on_response(const Endpoint& target, bool refused, Instant now);

  /// True when one more request may be sent.
  [[nodiscard]] bool has_capacity(const Endpoint& target) const;

  /// Load for comparison between targets, lower is better: the flows and requests of this balancer,
  /// corrected by the target's report, over its weight and its warm-up share.
  [[nodiscard]] double load(const Target& target, double owned_share, Instant now) const;

  static constexpr std::uint32_t kUnhealthyThreshold = 3;

 private:
  absl::flat_hash_map<Endpoint, TargetState> targets_;
  bool has_view_ = false;
};

}  // namespace gorsevalve
