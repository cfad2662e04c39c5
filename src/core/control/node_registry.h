/// The balancers that one replica serves, and on the leader those of all replicas.
#pragma once

#include <map>
#include <vector>

#include "core/control/node_messages.h"
#include "model/time.h"

namespace gorsevalve {

struct NodeEntry {
  NodeStatus status;
  /// When the node was last heard, directly or by a report.
  Instant last_seen;
  /// True when it heartbeats to this replica.
  bool is_local = false;
};

class NodeRegistry {
 public:
  void on_heartbeat(const NodeHeartbeat& heartbeat, Instant now);
  void on_report(const ReplicaReport& report, Instant now);

  /// Nodes that heartbeat to this replica and were heard lately, for a report.
  [[nodiscard]] std::vector<NodeStatus> local_nodes(Instant now) const;

  [[nodiscard]] const NodeEntry* find(const Endpoint& address) const;
  [[nodiscard]] const std::map<Endpoint, NodeEntry>& nodes() const { return nodes_; }

  /// Forgets nodes that were not heard for `age`.
  void drop_older(Instant now, Duration age);

 private:
  void merge(const NodeStatus& status, Instant heard_at, bool is_local);

  std::map<Endpoint, NodeEntry> nodes_;
};

}  // namespace gorsevalve
