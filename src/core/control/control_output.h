/// What a control process sends about the fleet, and the deliberate faults of a control process.
#pragma once

#include <memory>

#include "core/control/node_messages.h"
#include "core/control/replica.h"

namespace gorsevalve {

/// A message that goes to many balancers.
using SharedNodeMessage = std::shared_ptr<const NodeMessage>;

/// A balancer did not confirm what was sent to it, so it is sent again.
struct UpdateRetransmission {
  Endpoint balancer;
  /// What the balancer has in force, and what was sent to it.
  Revision confirmed = 0;
  Revision sent = 0;
  /// The balancer said that an update before the ones that it got is missing.
  bool has_gap = false;
};

/// What a control process sends about the fleet.
class ControlOutput : public ReplicaOutput {
 public:
  /// To a balancer, or to another replica, by its address. False when the message was dropped for
  /// certain; true promises nothing.
  virtual bool send_node(const Endpoint& to, const NodeMessage& message) = 0;
  /// The same for a message that goes to many, which need be encoded once only.
  virtual bool send_shared(const Endpoint& to, const SharedNodeMessage& message) {
    return send_node(to, *message);
  }
  /// Told when an update goes to a balancer again.
  virtual void on_update_retransmitted(const UpdateRetransmission& /*repeated*/) {}
};

/// Deliberate faults, for the test that shows that the checkers can fail. All off in programs.
struct ControlFaults {
  bool accept_before_commit = false;
  bool send_older_revisions = false;
  /// What was handed to the network counts as under way, whatever the balancer says.
  bool assume_sends_delivered = false;
};

}  // namespace gorsevalve
