/// Decides when this balancer may place a flow at a cold target, so that all balancers together
/// stay within what the operator says that a cold target takes. Balancers take turns: each has a
/// number, and the turns of a target are spread evenly over all numbers from the moment in which it
/// turned cold. Nobody is asked before a flow is placed. A state machine without clocks.
///
/// The load that it answers: a zone's targets come back together at the busiest moment, and each of
/// a hundred balancers sees an idle target.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

#include "model/balancer_rank.h"
#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// What a budget says to one more flow at a target.
enum class WarmUpAdmission : std::uint8_t {
  /// No budget holds the target.
  kUnrestricted = 0,
  /// It is cold, and it is this balancer's turn.
  kOwnTurn = 1,
  /// It was found in a whole state, which does not tell since when it runs: it may be cold. Better
  /// than none, since most targets that a starting balancer finds are warm.
  kUnknownAge = 2,
  /// It is cold, and others have the turn.
  kOtherTurn = 3,
};

/// A target that has just turned cold.
struct ColdTarget {
  TargetId id = 0;
  FlowToken token = 0;
  /// New flows per second that it takes, from all balancers together.
  double flows_per_s = 0;
  /// When it will be warm.
  Instant warm_at;
  /// True when it turned cold in this moment, as far as changes of the state arrive at once.
  bool is_age_known = true;
};

/// A target whose warm-up ended.
struct WarmedTarget {
  TargetId id = 0;
  /// Flows that this balancer placed there meanwhile.
  std::uint32_t flows = 0;
};

struct WarmUpCounters {
  /// Flows placed at cold targets.
  std::uint64_t placed = 0;
  /// Flows for which a cold target was passed over.
  std::uint64_t passed_over = 0;
  /// Flows that found no target since all that were left were cold without a turn.
  std::uint64_t refused = 0;
  /// Places that could not be true, or fell too much to be believed whole.
  std::uint64_t implausible_ranks = 0;
};

class WarmUpBudget {
 public:
  /// Takes what the control replicas tell of this balancer's place; a count of 0 changes nothing.
  void set_rank(const BalancerRank& told, Instant now);

  /// Holds a target until it is warm. One that is held until the same moment keeps its turns; then
  /// false.
  bool add(const ColdTarget& target, Instant now);
  void forget(TargetId id) { cold_.erase(id); }
  /// Takes the rates of changed settings; `rate_of` gives the flows per second of a target, 0 when
  /// there is no bound.
  template <typename RateOf>
  void update_rates(RateOf rate_of) {
    absl::erase_if(cold_, [&](auto& entry) {
      entry.second.flows_per_s = rate_of(entry.first);
      return entry.second.flows_per_s <= 0;
    });
  }

  /// True while no target is held: then every admission is kFree.
  [[nodiscard]] bool is_empty() const { return cold_.empty(); }
  [[nodiscard]] bool contains(TargetId id) const { return cold_.contains(id); }
  [[nodiscard]] std::size_t size() const { return cold_.size(); }
  [[nodiscard]] WarmUpAdmission admission(TargetId id, Instant now) const;
  /// How often a target should win during a turn, compared with one that may be chosen at any time:
  /// its turn stands for a whole round, so that it gets its share of flows where that is within its
  /// budget. 1 for a target that is not held.
  [[nodiscard]] double turn_weight(TargetId id) const;
  /// A flow's first packet, or a copy that met another target before, goes to the target.
  void on_placed(TargetId id, Instant now);
  void on_passed_over() { ++counters_.passed_over; }
  void on_refused() { ++counters_.refused; }

  /// Lets go of targets that are warm, in the order of their ids.
  [[nodiscard]] std::vector<WarmedTarget> take_warmed(Instant now);
  /// The place that turns are taken by; a count of 0 before the first one.
  [[nodiscard]] const BalancerRank& rank() const { return rank_; }
  [[nodiscard]] const WarmUpCounters& counters() const { return counters_; }

  /// Deliberate fault, for the test that shows that its check can fail: each balancer takes all
  /// turns.
  void set_takes_all_turns(bool takes_all) { takes_all_turns_ = takes_all; }

 private:
  struct Budget {
    double flows_per_s = 0;
    /// Where the first turn of number 0 lies within the round, 0 to 1; differs between targets.
    double offset = 0;
    Instant cold_since;
    Instant warm_at;
    bool is_age_known = true;
    /// When this balancer placed its latest flow there.
    std::optional<Instant> placed_at;
    std::uint32_t placed = 0;
  };

  /// Time in which each balancer has one turn, in seconds.
  [[nodiscard]] double round_s(const Budget& budget) const;
  [[nodiscard]] bool has_turn(const Budget& budget, Instant now) const;

  absl::flat_hash_map<TargetId, Budget> cold_;
  BalancerRank rank_;
  Instant rank_received_at_;
  /// The most balancers that were told of lately.
  std::uint32_t max_count_ = 0;
  Instant max_count_at_;
  WarmUpCounters counters_;
  bool takes_all_turns_ = false;
};

}  // namespace gorsevalve
