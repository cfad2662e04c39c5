/// Keeps the balancers that follow this replica up to date: pushes each new revision to them, and
/// answers what they say that they lack. A balancer follows while its heartbeats want updates and a
/// connection takes what goes to it.
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

  /// Sends a balancer what it lacks by its own word, unless that may still arrive. To be called
  /// after the registry has the heartbeat.
  void on_heartbeat(const Endpoint& from, const NodeHeartbeat& heartbeat, Instant now);
  /// Sends a new revision to all followers, once.
  void push(Instant now);
  /// Sends something else to all followers.
  void broadcast(const SharedNodeMessage& message);
  /// Forgets balancers that were not heard for long.
  void drop_timed_out(Instant now);

  /// How many balancers follow this replica.
  [[nodiscard]] std::size_t subscriber_count() const { return subscribers_.size(); }

  void set_faults(const ControlFaults& faults) { faults_ = faults; }

 private:
  /// Sends a balancer all that it lacks, whatever was sent before.
  void send_catch_up(const Endpoint& to, const NodeHeartbeat& heartbeat, UpdateProgress& progress,
                     Instant now);
  /// True while the balancer counts as following this replica.
  [[nodiscard]] bool is_subscribed(const Endpoint& address, Instant now) const;
  /// Sends one balancer what it was not sent yet; false when it has no connection, or was not heard
  /// for long, so that it does not follow this replica any more. It asks when it comes back.
  bool push_to(const Endpoint& address, UpdateProgress& progress, Instant now);
  /// Sends what follows a revision; false when it was dropped for certain.
  bool send_update(const Endpoint& to, Revision revision, std::uint64_t digest);
  /// The changes after a revision; nothing when they are not known any more.
  [[nodiscard]] std::optional<FleetUpdate> changes_after(Revision revision) const;
  /// The update that takes a balancer from a revision, or from nothing, to the present one.
  SharedNodeMessage cached_update(Revision revision, bool whole);

  const ControlState& state_;
  const NodeRegistry& nodes_;
  ControlOutput& output_;
  ControlFaults faults_;
  std::map<Endpoint, UpdateProgress> subscribers_;
  Revision pushed_revision_ = 0;
  /// Updates to the present revision by the revision that they follow; 0 for the whole state.
  std::map<Revision, SharedNodeMessage> update_cache_;
  Revision cached_revision_ = 0;
};

}  // namespace gorsevalve
