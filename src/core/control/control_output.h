/// Messages that a control node sends about the fleet, and fault injection for tests.
#pragma once

#include <memory>

#include "core/control/node_messages.h"
#include "core/control/replica.h"

namespace gorsevalve {

/// Message that is sent to many balancers.
using SharedNodeMessage = std::shared_ptr<const NodeMessage>;

/// Update that is retransmitted because the balancer did not acknowledge it.
struct UpdateRetransmission {
  Endpoint balancer;
  /// Revision that the balancer has applied, and the last one sent to it.
  Revision acknowledged = 0;
  Revision sent = 0;
  /// The balancer reported a gap: an update before the received ones is missing.
  bool has_gap = false;
};

/// Output interface of a control node.
class ControlOutput : public ReplicaOutput {
 public:
  /// Sends a message to a balancer or another replica. Returns false if the message was certainly
  /// dropped; true does not guarantee delivery.
  virtual bool send_node(const Endpoint& to, const NodeMessage& message) = 0;
  /// Same as `send_node`, for a message to many receivers, which is encoded only once.
  virtual bool send_shared(const Endpoint& to, const SharedNodeMessage& message) {
    return send_node(to, *message);
  }
  /// Called when an update is retransmitted to a balancer.
  virtual void on_update_retransmitted(const UpdateRetransmission& /*retransmission*/) {}
  /// Called when the leader proposes that other targets hold the addresses of these. Repeated until
  /// the proposal is committed.
  virtual void on_targets_replaced(const std::vector<TargetIncarnation>& /*replaced*/) {}
};

/// Faults that a test injects to verify that the invariant checkers detect them. Programs leave all
/// of them off.
struct ControlFaults {
  bool accept_before_commit = false;
  bool send_older_revisions = false;
  /// Treats every sent update as in flight, regardless of what the balancer reports.
  bool assume_sends_delivered = false;
};

}  // namespace gorsevalve
