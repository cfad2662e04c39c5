/// Registry of the balancers that a replica serves; on the leader, of those of all replicas.
#pragma once

#include <map>
#include <vector>

#include "core/control/node_messages.h"
#include "model/time.h"

namespace gorsevalve {

struct NodeEntry {
  NodeStatus status;
  /// Time of the last heartbeat, received directly or from a follower's report.
  Instant last_seen;
  /// True if the balancer sends its heartbeats to this replica.
  bool is_local = false;
};

class NodeRegistry {
 public:
  void on_heartbeat(const NodeHeartbeat& heartbeat, Instant now);
  void on_report(const ReplicaReport& report, Instant now);

  /// Members that recently sent a heartbeat to this replica, for a report to the leader.
  [[nodiscard]] std::vector<NodeStatus> local_nodes(Instant now) const;

  [[nodiscard]] const NodeEntry* find(const Endpoint& address) const;
  [[nodiscard]] const std::map<Endpoint, NodeEntry>& nodes() const { return nodes_; }

  /// Removes nodes without a heartbeat for longer than `age`.
  void drop_older(Instant now, Duration age);

 private:
  void merge(const NodeStatus& status, Instant seen_at, bool is_local);

  std::map<Endpoint, NodeEntry> nodes_;
};

}  // namespace gorsevalve
