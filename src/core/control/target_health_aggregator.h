/// Adds up what balancers saw of targets, and concludes what they should know of each other's. Held
/// by the leader for all, by a follower for the balancers that it serves. Memory only.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>

#include "model/target_health.h"
#include "model/time.h"

namespace gorsevalve {

class TargetHealthAggregator {
 public:
  /// Figures in one edition; those that differ most from the usual go first.
  static constexpr std::size_t kMaxTargets = 128;

  /// What a follower's balancers saw since the last call, for the leader.
  [[nodiscard]] std::vector<TargetObservation> take_observations(Instant now);
  void add(const std::vector<TargetObservation>& observations, Instant now);
  /// True when a target was seen in trouble since the last call of `take_observations` or
  /// `conclude`.
  [[nodiscard]] bool has_failures() const { return has_failures_; }
  /// Figures of the targets of `state` that are not as usual.
  [[nodiscard]] std::vector<TargetHealth> evaluate(const SteeringState& state, Instant now);
  void clear();

 private:
  struct DecayedCounters {
    /// The life that this was seen of, once it was looked at; observations name targets only.
    std::optional<TargetStart> started_at_ms;
    double requests = 0;
    double stalled_requests = 0;
    double new_flows = 0;
    double unanswered_flows = 0;
    Instant updated_at;
    /// Since when probes are refused, without a pause that would tell of a target that was full.
    std::optional<Instant> refusals_since;
    Instant last_refusal_at;
    Instant unhealthy_until;
    Instant unreachable_until;
  };

  static void decay(DecayedCounters& sums, Instant now);
  /// Notes refused probes; true when they show that nothing listens there any more.
  static bool record_refused_probes(DecayedCounters& sums, Instant now);
  /// Drops what was seen of targets before they started again.
  void drop_earlier_incarnations(const SteeringState& state);
  /// Finds targets whose requests stall while those of the rest of their pool do not.
  void detect_stalled_targets(const SteeringState& state, Instant now);

  absl::flat_hash_map<FlowToken, DecayedCounters> counters_;
  /// Since the last call of `take_observations`.
  absl::flat_hash_map<FlowToken, TargetObservation> unreported_;
  bool has_failures_ = false;
};

}  // namespace gorsevalve
