#include "tasks/subscription_log.h"

#include "tasks/log.h"

namespace gorsevalve {

void log_replica_chosen(const Endpoint& replica, Revision replica_revision, Revision applied) {
  log_event(LogEvent::kReplicaChosen,
            {{"replica", to_string(replica)}, {"held", replica_revision}, {"revision", applied}});
}

void log_replica_silent(const Endpoint& replica) {
  log_event(LogEvent::kReplicaSilent, {{"replica", to_string(replica)}});
}

void log_updates_overdue(const Endpoint& replica, Revision behind, Revision applied) {
  log_event(LogEvent::kRevisionsBehind,
            {{"replica", to_string(replica)}, {"revision", applied}, {"behind", behind}});
}

void log_update_rejected(const RejectedUpdate& refused, Revision applied) {
  log_event(LogEvent::kUpdateRefused, {{"revision", applied},
                                       {"base", refused.base},
                                       {"replica", to_string(refused.replica)},
                                       {"reason", to_string(refused.reason)}});
}

}  // namespace gorsevalve
