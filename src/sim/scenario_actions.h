/// What scenarios are made of: changes and failures of a simulated deployment at random places.
#pragma once

#include "sim/world.h"

namespace gorsevalve {

using Action = void (*)(World&);

/// A random time within the load.
Duration random_load_time(World& world);
/// Schedules an action several times, each at a random moment.
void schedule(World& world, Action action, int times);

// Planned changes.
/// Restarts the balancers from number `i` on, one after the other.
void restart_balancers_from(World& world, std::size_t i);
void planned_restart(World& world);
void planned_join(World& world);
void planned_leave(World& world);
void planned_drain(World& world);
void drain_second_service(World& world);
void add_target(World& world);
void add_target_to_second_service(World& world);
/// Takes a target of the first service out at once.
void remove_target(World& world, std::size_t target);
void change_weight(World& world);
void add_service(World& world);

// Failures of balancers, targets and the network.
void kill_balancer(World& world);
void pause_balancer(World& world);
/// Cuts a balancer off from all control replicas; others still reach it.
void isolate_balancer(World& world);
void isolate_zone(World& world);
void kill_target(World& world);
void add_packet_loss(World& world);

// Failures of control replicas.
void kill_control(World& world);
/// A replica loses its disk, unless another one is down or has not been replaced yet.
void wipe_control_disk(World& world);
void isolate_leader(World& world);
/// Cuts the leader off from one other replica; the rest still hears both.
void block_leader_from_follower(World& world);
void pause_leader(World& world);
void fail_disk(World& world);

/// Operators that race each other with equal numbers of submissions, over lossy requests.
void race_operators(World& world, int operators, int changes);

}  // namespace gorsevalve
