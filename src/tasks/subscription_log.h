/// Lines in the log about the replica that a balancer follows and about what it gets from there,
/// the same for balancers of all kinds. `up_to_date` is the balancer's revision.
#pragma once

#include "core/balancer/control_client.h"
#include "model/endpoint.h"
#include "model/fleet.h"

namespace gorsevalve {

void log_replica_chosen(const Endpoint& replica, Revision held, Revision in_force);
void log_replica_silent(const Endpoint& replica);
void log_updates_overdue(const Endpoint& replica, Revision behind, Revision in_force);
void log_update_refused(const RefusedUpdate& refused, Revision in_force);

}  // namespace gorsevalve
