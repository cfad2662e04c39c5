/// Log events about the subscription of a balancer to a control replica, shared by all kinds of
/// balancers. `applied` is the revision that the balancer has applied.
#pragma once

#include "core/balancer/control_client.h"
#include "model/endpoint.h"
#include "model/fleet.h"

namespace gorsevalve {

void log_replica_chosen(const Endpoint& replica, Revision replica_revision, Revision applied);
void log_replica_silent(const Endpoint& replica);
void log_updates_overdue(const Endpoint& replica, Revision behind, Revision applied);
void log_update_rejected(const RejectedUpdate& refused, Revision applied);

}  // namespace gorsevalve
