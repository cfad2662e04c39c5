#include "core/control/node_registry.h"

#include "core/control/timing.h"

namespace gorsevalve {

void NodeRegistry::merge(const NodeStatus& status, Instant seen_at, bool is_local) {
  NodeEntry& entry = nodes_[status.member.address];
  if (seen_at >= entry.last_seen) {
    entry = {status, seen_at, is_local};
  }
}

void NodeRegistry::on_heartbeat(const NodeHeartbeat& heartbeat, Instant now) {
  merge({heartbeat.member, heartbeat.revision, heartbeat.settled_revision, 0}, now, true);
}

void NodeRegistry::on_report(const ReplicaReport& report, Instant now) {
  for (const auto& status : report.nodes) {
    merge(status, now - std::chrono::milliseconds(status.age_ms), false);
  }
}

std::vector<NodeStatus> NodeRegistry::local_nodes(Instant now) const {
  std::vector<NodeStatus> nodes;
  for (const auto& [address, entry] : nodes_) {
    const Duration age = now - entry.last_seen;
    const bool is_member = entry.status.member.state != MemberState::kObserver;
    if (is_member && entry.is_local && age < control_timing::kMemberTimeout) {
      nodes.push_back(entry.status);
      nodes.back().age_ms = static_cast<std::uint32_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    }
  }
  return nodes;
}

const NodeEntry* NodeRegistry::find(const Endpoint& address) const {
  const auto found = nodes_.find(address);
  return found == nodes_.end() ? nullptr : &found->second;
}

void NodeRegistry::drop_older(Instant now, Duration age) {
  std::erase_if(nodes_, [&](const auto& entry) { return now - entry.second.last_seen > age; });
}

}  // namespace gorsevalve
