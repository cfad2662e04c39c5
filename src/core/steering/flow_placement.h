/// Chooses the target of a new flow: the pool by its weight, then the best target of the pool by
/// what this balancer and all balancers together saw.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

#include "core/steering/client_packet.h"
#include "core/steering/steering_policy.h"
#include "core/steering/steering_view.h"
#include "core/steering/target_reachability.h"
#include "core/steering/target_refusals.h"
#include "core/steering/target_scores.h"
#include "core/steering/warm_up_budget.h"
#include "core/steering/zone_paths.h"

namespace gorsevalve {

struct PlacementCounters {
  /// Targets that openings have looked at.
  std::uint64_t targets_examined = 0;
  /// Openings that found none fit in their sample, and looked at the whole pool.
  std::uint64_t full_scans = 0;
};

/// What a choice depends on.
struct PlacementInputs {
  const SteeringView& view;
  const TargetScores& scores;
  const TargetReachability& reachability;
  const TargetRefusals& refusals;
  /// Counts what it keeps from cold targets.
  WarmUpBudget& warm_up;
  const ZonePaths& zone_paths;
};

class FlowPlacement {
 public:
  /// `seed` makes balancers break ties differently.
  FlowPlacement(std::uint64_t seed, const SteeringPolicy& policy) : seed_(seed), policy_(policy) {}

  /// The target for a new flow, not `avoided` while there is another one; nullptr when there is
  /// none, or when all that can be reached are cold and may not take a flow from here now.
  const RegisteredTarget* place(const PlacementInputs& inputs, const FrontendView& frontend,
                                const ClientPacket& packet, TargetId avoided, Instant now);
  [[nodiscard]] const PlacementCounters& counters() const { return counters_; }
  void on_frontend_dropped(const Endpoint& address) { credits_.erase(address); }
  /// Forgets frontends that the view does not have.
  void adopt(const SteeringView& view);

 private:
  /// Usual time of an answer in a pool, in microseconds; 0 when unknown.
  [[nodiscard]] static double typical_answer_us(const PlacementInputs& inputs, std::uint32_t pool,
                                                Instant now);
  /// Notes a flow without a target where targets of the frontend wait for their turn.
  static void count_refusal(const PlacementInputs& inputs, const FrontendView& frontend,
                            Instant now);
  /// The pool whose turn it is by weight (smooth weighted round robin).
  std::uint32_t next_pool(const FrontendView& frontend);
  /// The best of a pool; of a large one, that of a sample, unless none of the sample is fit.
  [[nodiscard]] const RegisteredTarget* best_target(const PlacementInputs& inputs,
                                                    std::uint32_t pool, const ClientPacket& packet,
                                                    TargetId avoided, Instant now);

  std::uint64_t seed_;
  SteeringPolicy policy_;
  PlacementCounters counters_;
  /// Credit of each share of a frontend for the weighted round robin.
  absl::flat_hash_map<Endpoint, std::vector<std::int64_t>> credits_;
};

}  // namespace gorsevalve
