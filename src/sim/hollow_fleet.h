/// The control plane at scale: real control replicas, and many hollow balancers that have the real
/// session with them but carry no traffic. All share one process and a virtual clock; processor
/// time is measured on the real one.
#pragma once

#include <memory>
#include <vector>

#include "core/balancer/control_client.h"
#include "sim/sim_control.h"
#include "sim/sim_operator.h"

namespace gorsevalve {

struct HollowFleetConfig {
  std::uint64_t seed = 1;
  int nodes = 750;
  int zones = 8;
  int control_replicas = 6;
  int services = 2200;
  int targets = 4200;
  std::uint32_t partitions = 4096;
  /// Settings changes that are measured, one every `change_interval`.
  int changes = 10;
  Duration change_interval = std::chrono::seconds(10);
  /// Whether each node also derives its tables (slots, owners), as the balancer does.
  bool derives_tables = false;
};

struct HollowFleetResult {
  /// Virtual time until all nodes had joined and settled.
  Duration join_time{};
  /// Per change: from its submission until the last node had it in force, sorted.
  std::vector<Duration> force_times;
  /// Octets a second that a node sent and received while nothing changed, and while changes came.
  double idle_octets_per_second = 0;
  double busy_octets_per_second = 0;
  /// The same for the replica with the most traffic.
  double replica_octets_per_second = 0;
  /// Real processor time of one node for one change, and for one second without changes.
  double change_microseconds = 0;
  double idle_microseconds_per_second = 0;
  /// Real processor time of all replicas for one second without changes.
  double replica_idle_microseconds_per_second = 0;
  /// Encoded size of the whole fleet state.
  std::size_t fleet_octets = 0;
  /// Nodes whose state differs from the leader's at the end.
  int differing_nodes = 0;
};

HollowFleetResult run_hollow_fleet(const HollowFleetConfig& config);

}  // namespace gorsevalve
