/// Sends fleet updates to the balancers that subscribe to this replica: pushes each new revision,
/// and sends catch-up updates when heartbeats show that a balancer is behind. A balancer is
/// subscribed while its heartbeats request updates and it has a connection.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/control/control_output.h"
#include "core/control/control_state.h"
#include "core/control/node_messages.h"
#include "core/control/node_registry.h"
#include "core/control/update_progress.h"
#include "model/endpoint.h"
#include "model/time.h"

namespace gorsevalve {

class UpdatePublisher {
 public:
  /// All references must outlive the publisher.
  UpdatePublisher(const ControlState& state, const NodeRegistry& nodes, ControlOutput& output);

  /// Sends a catch-up update if the heartbeat shows that the balancer is behind and no update is in
  /// flight. Must be called after the registry has processed the heartbeat.
  void on_heartbeat(const Endpoint& from, const NodeHeartbeat& heartbeat, Instant now);
  /// Sends a new revision once to all subscribers.
  void push(Instant now);
  /// Sends a message to all subscribers.
  void broadcast(const SharedNodeMessage& message);
  /// Removes subscribers without a recent heartbeat.
  void drop_timed_out(Instant now);

  /// Number of balancers subscribed to this replica.
  [[nodiscard]] std::size_t subscriber_count() const { return subscribers_.size(); }

  void set_faults(const ControlFaults& faults) { faults_ = faults; }

 private:
  /// Sends all changes after the balancer's revision, regardless of earlier updates.
  void send_catch_up(const Endpoint& to, const NodeHeartbeat& heartbeat, UpdateProgress& progress,
                     Instant now);
  /// True while this replica receives the balancer's heartbeats directly and recently enough.
  [[nodiscard]] bool is_subscribed(const Endpoint& address, Instant now) const;
  /// Sends the changes since the last update to one balancer. Returns false when the balancer has
  /// no connection or its heartbeats have stopped; it is then unsubscribed until its next heartbeat
  /// that requests updates.
  bool push_to(const Endpoint& address, UpdateProgress& progress, Instant now);
  /// Sends the changes after a revision. Returns false when the message is known to be dropped.
  bool send_update(const Endpoint& to, Revision revision, std::uint64_t digest);
  /// The changes after a revision, or nothing when they are no longer kept.
  [[nodiscard]] std::optional<FleetUpdate> changes_after(Revision revision) const;
  /// Update from a revision to the current one, or a snapshot if `needs_snapshot` is set. Cached
  /// for other balancers.
  SharedNodeMessage cached_update(Revision revision, bool needs_snapshot);

  const ControlState& state_;
  const NodeRegistry& nodes_;
  ControlOutput& output_;
  ControlFaults faults_;
  std::map<Endpoint, UpdateProgress> subscribers_;
  Revision pushed_revision_ = 0;
  /// Updates to the current revision by their base revision. Key 0 holds the snapshot.
  std::map<Revision, SharedNodeMessage> update_cache_;
  Revision cached_revision_ = 0;
};

}  // namespace gorsevalve
