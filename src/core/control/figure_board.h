/// Adds up what balancers saw of targets, and concludes what they should know of each other's. Held
/// by the leader for all, by a follower for the balancers that it serves. Memory only.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>

#include "model/target_figures.h"
#include "model/time.h"

namespace gorsevalve {

class FigureBoard {
 public:
  /// Figures in one edition; those that differ most from the usual go first.
  static constexpr std::size_t kMaxFigures = 128;

  /// What a follower's balancers saw since the last call, for the leader.
  [[nodiscard]] std::vector<TargetObservation> take_observations(Instant now);
  void add(const std::vector<TargetObservation>& observations, Instant now);
  /// True when a target was seen in trouble since the last call of `take_observations` or
  /// `conclude`.
  [[nodiscard]] bool has_trouble() const { return has_trouble_; }
  /// Figures of the targets of `state` that are not as usual.
  [[nodiscard]] std::vector<TargetFigure> conclude(const SteeringState& state, Instant now);
  void clear();

 private:
  struct Sums {
    /// The life that this was seen of, once it was looked at; observations name targets only.
    std::optional<TargetStart> started_at_ms;
    double requests = 0;
    double stalled = 0;
    double openings = 0;
    double unanswered = 0;
    Instant at;
    /// Since when probes are refused, without a pause that would tell of a target that was full.
    std::optional<Instant> refusing_since;
    Instant refusing_at;
    Instant troubled_until;
    Instant unreachable_until;
  };

  static void decay(Sums& sums, Instant now);
  /// Notes refused probes; true when they show that nothing listens there any more.
  static bool note_refused_probes(Sums& sums, Instant now);
  /// Drops what was seen of targets before they started again.
  void forget_earlier_lives(const SteeringState& state);
  /// Finds targets whose requests stall while those of the rest of their pool do not.
  void conclude_stalls(const SteeringState& state, Instant now);

  absl::flat_hash_map<FlowToken, Sums> sums_;
  /// Since the last call of `take_observations`.
  absl::flat_hash_map<FlowToken, TargetObservation> fresh_;
  bool has_trouble_ = false;
};

}  // namespace gorsevalve
