/// Moves open observations away from targets that were removed or became unhealthy.
#pragma once

#include "core/balancer/flow_binding.h"
#include "core/balancer/request_actions.h"

namespace gorsevalve {

class ObservationMigrator {
 public:
  ObservationMigrator(BalancerState& state, FlowBinding& binding, RequestActions& actions)
      : state_(state), binding_(binding), actions_(actions) {}

  /// Processes all partitions that this process owns.
  void migrate_from_lost_targets(Instant now);
  /// Processes one partition. Observations stay in place when no other target accepts new work.
  void migrate_from_lost_targets(Partition& partition, Instant now);

 private:
  [[nodiscard]] bool has_lost_target(const RequestRecord& record) const;

  BalancerState& state_;
  FlowBinding& binding_;
  RequestActions& actions_;
};

}  // namespace gorsevalve
