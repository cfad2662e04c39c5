/// Limits new flows at targets that are warming up, so that all balancers together stay within the
/// rate that the operator allows for such a target. Each balancer has a rank and uses its own time
/// slots. From the start of a target's warm-up, its time slots are spread evenly over all ranks, so
/// a flow is placed without any coordination. It is deterministic, does no I/O and reads no clock.
///
/// Without the limit, when the targets of a zone restart together under peak load, each of a
/// hundred balancers would see idle targets and send them new flows.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

#include "model/balancer_rank.h"
#include "model/steering.h"
#include "model/time.h"

namespace gorsevalve {

/// Whether a new flow may be placed at a target.
enum class WarmUpAdmission : std::uint8_t {
  /// The target has no warm-up budget.
  kUnrestricted = 0,
  /// The target is warming up, and it is this balancer's time slot.
  kOwnSlot = 1,
  /// The target came with a snapshot, which does not say when its warm-up began, so it may be
  /// warming up. It is still used if no warm target is left, because most targets that a starting
  /// balancer finds are warm.
  kUnknownAge = 2,
  /// The target is warming up, and it is the time slot of another balancer.
  kOtherSlot = 3,
};

/// A target that starts its warm-up.
struct ColdTarget {
  TargetId id = 0;
  FlowToken token = 0;
  /// Limit of new flows per second, for all balancers together.
  double flows_per_s = 0;
  /// End of the warm-up.
  Instant warm_at;
  /// True when its warm-up began now, assuming that deltas arrive without delay.
  bool is_age_known = true;
};

/// A target whose warm-up ended.
struct WarmedTarget {
  TargetId id = 0;
  /// Flows that this balancer placed there during the warm-up.
  std::uint32_t flows = 0;
};

struct WarmUpCounters {
  /// Flows placed at targets that are warming up.
  std::uint64_t placed = 0;
  /// Flows for which a target that is warming up was skipped.
  std::uint64_t skipped = 0;
  /// Flows that were rejected because all remaining targets were warming up and it was not this
  /// balancer's time slot.
  std::uint64_t rejected = 0;
  /// Ranks that were rejected as invalid, or whose count dropped too far to be applied in full.
  std::uint64_t implausible_ranks = 0;
};

class WarmUpBudget {
 public:
  /// Sets the rank of this balancer as reported by the control replicas; a count of 0 is ignored.
  void set_rank(const BalancerRank& reported, Instant now);

  /// Adds a target until its warm-up ends. Returns false, and keeps the time slots, for a target
  /// that is present with the same end.
  bool add(const ColdTarget& target, Instant now);
  void remove(TargetId id) { cold_.erase(id); }
  /// Updates the limits after a change of settings. `rate_of` returns the flows per second of a
  /// target, or 0 for no limit.
  template <typename RateOf>
  void update_rates(RateOf rate_of) {
    absl::erase_if(cold_, [&](auto& entry) {
      entry.second.flows_per_s = rate_of(entry.first);
      return entry.second.flows_per_s <= 0;
    });
  }

  /// True while no target is warming up; every admission is then `kUnrestricted`.
  [[nodiscard]] bool is_empty() const { return cold_.empty(); }
  [[nodiscard]] bool contains(TargetId id) const { return cold_.contains(id); }
  [[nodiscard]] std::size_t size() const { return cold_.size(); }
  [[nodiscard]] WarmUpAdmission admission(TargetId id, Instant now) const;
  /// Relative weight of a target during its time slot, compared with a target that may be chosen at
  /// any time. The slot stands for a whole round, so the target gets its share of flows if the
  /// budget allows it. 1 for a target without a budget.
  [[nodiscard]] double slot_weight(TargetId id) const;
  /// Records that a new flow, or a retransmission that first went to another target, was placed at
  /// the target.
  void on_placed(TargetId id, Instant now);
  void on_skipped() { ++counters_.skipped; }
  void on_rejected() { ++counters_.rejected; }

  /// Removes and returns the targets whose warm-up ended, ordered by id.
  [[nodiscard]] std::vector<WarmedTarget> take_warmed(Instant now);
  /// The rank in use; its count is 0 before the first report.
  [[nodiscard]] const BalancerRank& rank() const { return rank_; }
  [[nodiscard]] const WarmUpCounters& counters() const { return counters_; }

  /// Injected fault for a test that shows that its check can fail: each balancer uses all time
  /// slots.
  void set_uses_all_slots(bool uses_all) { uses_all_slots_ = uses_all; }

 private:
  struct Budget {
    double flows_per_s = 0;
    /// Offset of the first time slot of rank 0 within the round, 0 to 1; differs between targets.
    double offset = 0;
    Instant cold_since;
    Instant warm_at;
    bool is_age_known = true;
    /// When this balancer placed its latest flow there.
    std::optional<Instant> placed_at;
    std::uint32_t placed = 0;
  };

  /// Time in which each balancer has one time slot, in seconds.
  [[nodiscard]] double round_s(const Budget& budget) const;
  [[nodiscard]] bool owns_slot(const Budget& budget, Instant now) const;

  absl::flat_hash_map<TargetId, Budget> cold_;
  BalancerRank rank_;
  Instant rank_received_at_;
  /// Largest count of balancers that was reported recently.
  std::uint32_t max_count_ = 0;
  Instant max_count_at_;
  WarmUpCounters counters_;
  bool uses_all_slots_ = false;
};

}  // namespace gorsevalve
