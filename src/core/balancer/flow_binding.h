/// Binds flows to targets, counts them per target, and marks them for replication to the backup.
#pragma once

#include "core/balancer/balancer_state.h"

namespace gorsevalve {

class FlowBinding {
 public:
  explicit FlowBinding(BalancerState& state) : state_(state) {}

  /// Binds a flow to a target, replacing an earlier binding.
  FlowRecord& bind(Partition& partition, const FlowKey& flow, const Endpoint& target, Instant now);

  /// Returns the binding of a flow and updates its last activity; nullptr when there is none.
  FlowRecord* touch(Partition& partition, const FlowKey& flow, Instant now);

  /// Deletes a flow.
  void release(Partition& partition, const FlowKey& flow);

  /// Deletes the flows without observations that have been idle for timing::kFlowIdle.
  void release_idle(Partition& partition, Instant now);

  /// Deletes all flows and requests of a partition and updates the counts of their targets.
  void clear(Partition& partition);

  /// True when the target of the flow differs from that of its slot, or the flow has observations.
  /// Other bindings can be derived from the slot table.
  [[nodiscard]] bool needs_replication(const FlowKey& flow, const FlowRecord& record) const;

  /// Marks the flows that need replication under the current view as changed.
  void mark_for_replication(Partition& partition);

 private:
  BalancerState& state_;
};

}  // namespace gorsevalve
