/// Binding of flows to targets, with the counts and the copies to the backup that go with it.
#pragma once

#include "core/balancer/balancer_state.h"

namespace gorsevalve {

class FlowBinding {
 public:
  explicit FlowBinding(BalancerState& state) : state_(state) {}

  /// Binds a flow to a target, in place of an earlier one.
  FlowRecord& bind(Partition& partition, const FlowKey& flow, const Endpoint& target, Instant now);

  /// The binding of a flow, marked as used now; nullptr when there is none.
  FlowRecord* touch(Partition& partition, const FlowKey& flow, Instant now);

  /// Forgets a flow.
  void release(Partition& partition, const FlowKey& flow);

  /// Drops the flows that were idle for timing::kFlowIdle.
  void release_idle(Partition& partition, Instant now);

  /// Drops all flows and requests of a partition and what they count at targets.
  void clear(Partition& partition);

  /// True when the target of the flow is not the one that its slot gives now: such flows, and those
  /// with feeds, are copied to the backup.
  [[nodiscard]] bool needs_replication(const FlowKey& flow, const FlowRecord& record) const;

  /// Marks the flows that became exceptions with a new view as changed.
  void mark_for_replication(Partition& partition);

 private:
  BalancerState& state_;
};

}  // namespace gorsevalve
