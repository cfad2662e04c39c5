/// Aggregates target observations of balancers into target health. The leader aggregates for all
/// replicas, a follower for the balancers that it serves. Not persisted.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>

#include "model/target_health.h"
#include "model/time.h"

namespace gorsevalve {

class TargetHealthAggregator {
 public:
  /// Maximum number of targets in one update; unhealthy targets and the largest load deviations
  /// take precedence.
  static constexpr std::size_t kMaxTargets = 128;

  /// Returns and clears the observations collected since the last call, for a report to the leader.
  [[nodiscard]] std::vector<TargetStatistics> take_observations(Instant now);
  void add(const std::vector<TargetStatistics>& observations, Instant now);
  /// Returns true if a failure was observed since the last call of `take_observations` or
  /// `evaluate`.
  [[nodiscard]] bool has_failures() const { return has_failures_; }
  /// Returns the health of the targets of `state` that are unhealthy or have an unusual load.
  [[nodiscard]] std::vector<TargetHealth> evaluate(const SteeringState& state, Instant now);
  void clear();

 private:
  struct DecayedCounters {
    /// Incarnation that the counters belong to, set at the first evaluation; observations identify
    /// targets by token only.
    std::optional<TargetStart> started_at_ms;
    double requests = 0;
    double stalled_requests = 0;
    double new_flows = 0;
    double unanswered_flows = 0;
    Instant updated_at;
    /// Start of the current run of refused probes. Gaps end a run: they indicate a target that is
    /// temporarily full.
    std::optional<Instant> refusals_since;
    Instant last_refusal_at;
    Instant unhealthy_until;
    Instant unreachable_until;
  };

  static void decay(DecayedCounters& counters, Instant now);
  /// Records refused probes; returns true if they have lasted long enough to indicate that no
  /// process listens on the target's port.
  static bool record_refused_probes(DecayedCounters& counters, Instant now);
  /// Removes the counters of targets that restarted since.
  void drop_earlier_incarnations(const SteeringState& state);
  /// Marks targets as unhealthy whose requests stall while other targets of their pool respond.
  void detect_stalled_targets(const SteeringState& state, Instant now);

  absl::flat_hash_map<FlowToken, DecayedCounters> counters_;
  /// Observations since the last call of `take_observations`.
  absl::flat_hash_map<FlowToken, TargetStatistics> unreported_;
  bool has_failures_ = false;
};

}  // namespace gorsevalve
