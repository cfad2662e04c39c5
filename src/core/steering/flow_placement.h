/// Selects the target of a new flow: first a pool by weight, then the best target of that pool by
/// local statistics and the health reported by all balancers.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>

#include "core/steering/client_packet.h"
#include "core/steering/pool_sequence.h"
#include "core/steering/steering_policy.h"
#include "core/steering/steering_view.h"
#include "core/steering/target_reachability.h"
#include "core/steering/target_refusals.h"
#include "core/steering/target_scores.h"
#include "core/steering/warm_up_budget.h"
#include "core/steering/zone_paths.h"

namespace gorsevalve {

struct PlacementCounters {
  /// Targets examined for new flows.
  std::uint64_t targets_examined = 0;
  /// New flows whose sample held no healthy target, so that the whole pool was scanned.
  std::uint64_t full_scans = 0;
};

/// Inputs of a target selection.
struct PlacementInputs {
  const SteeringView& view;
  const TargetScores& scores;
  const TargetReachability& reachability;
  const TargetRefusals& refusals;
  /// Not const: counts the flows that it diverts from targets that are warming up.
  WarmUpBudget& warm_up;
  const ZonePaths& zone_paths;
};

class FlowPlacement {
 public:
  /// `seed` makes balancers select pools and break ties differently.
  FlowPlacement(std::uint64_t seed, const SteeringPolicy& policy) : seed_(seed), policy_(policy) {}

  /// Selects the target for a new flow, and `avoided` only if there is no other. Returns nullptr
  /// if there is no target, or when all reachable ones are warming up and have no time slot for
  /// this balancer.
  const RegisteredTarget* place(const PlacementInputs& inputs, const FrontendView& frontend,
                                const ClientPacket& packet, TargetId avoided, Instant now);
  [[nodiscard]] const PlacementCounters& counters() const { return counters_; }
  void on_frontend_dropped(const Endpoint& address) { sequences_.erase(address); }
  /// Removes frontends that are not in the view.
  void adopt(const SteeringView& view);

 private:
  /// Median response time of a pool, in microseconds; 0 when unknown.
  [[nodiscard]] static double typical_response_us(const PlacementInputs& inputs, std::uint32_t pool,
                                                  Instant now);
  /// Counts a rejected flow when targets of the frontend wait for their time slot.
  static void count_rejection(const PlacementInputs& inputs, const FrontendView& frontend,
                              Instant now);
  /// The pool of the frontend's next new flow, by weight.
  std::uint32_t next_pool(const FrontendView& frontend);
  /// The best target of a pool. Large pools are sampled, and scanned as a whole only if the sample
  /// holds no healthy target.
  [[nodiscard]] const RegisteredTarget* best_target(const PlacementInputs& inputs,
                                                    std::uint32_t pool, const ClientPacket& packet,
                                                    TargetId avoided, Instant now);

  std::uint64_t seed_;
  SteeringPolicy policy_;
  PlacementCounters counters_;
  absl::flat_hash_map<Endpoint, PoolSequence> sequences_;
};

}  // namespace gorsevalve
