/// Actions of scenarios: changes and failures at random processes of a simulated deployment.
#pragma once

#include "sim/world.h"

namespace gorsevalve {

using Action = void (*)(World&);

/// Returns a random time within the load phase.
Duration random_load_time(World& world);
/// Schedules an action `times` times, each at a random time within the load phase.
void schedule(World& world, Action action, int times);

// Planned changes.
/// Restarts the balancers with index `i` and above, one after the other.
void restart_balancers_from(World& world, std::size_t i);
void planned_restart(World& world);
void planned_join(World& world);
void planned_leave(World& world);
void planned_drain(World& world);
void drain_second_service(World& world);
void add_target(World& world);
void add_target_to_second_service(World& world);
/// Removes a target of the first service without a drain.
void remove_target(World& world, std::size_t target);
void change_weight(World& world);
void add_service(World& world);

// Failures of balancers, targets and the network.
void kill_balancer(World& world);
void pause_balancer(World& world);
/// Partitions a balancer from all control replicas; other processes still reach it.
void isolate_balancer(World& world);
void isolate_zone(World& world);
void kill_target(World& world);
void add_packet_loss(World& world);

// Failures of control replicas.
void kill_control(World& world);
/// Crashes a replica and erases its disk, unless a replica is down or not a voter.
void wipe_control_disk(World& world);
void isolate_leader(World& world);
/// Partial partition between the leader and one other replica; the rest reach both.
void block_leader_from_follower(World& world);
void pause_leader(World& world);
void fail_disk(World& world);

/// Adds concurrent operators that each submit `changes` edits over a lossy connection.
void race_operators(World& world, int operators, int changes);

}  // namespace gorsevalve
