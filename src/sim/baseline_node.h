/// Baselines for the comparison of flow affinity: every balancer selects targets with its own
/// Maglev table and records the flows that it has seen; it can replicate each new record to all
/// others.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "sim/balancer_node.h"

namespace gorsevalve {

class BaselineNode : public BalancerNode {
 public:
  BaselineNode(const BalancerConfig& config, BalancerOutput& output, bool replicates)
      : self_(config.self), output_(output), replicates_(replicates) {}

  void on_datagram(ByteView datagram, Instant now) override;
  void on_peer_message(const Endpoint& from, const PeerMessage& message, Instant now) override;
  void on_fleet(const FleetState& fleet, Instant now) override;
  void on_lease(Instant /*until*/) override {}
  void on_target_report(const TargetReport& /*report*/, Instant /*now*/) override {}
  void on_tick(Instant /*now*/) override {}
  [[nodiscard]] Revision revision() const override { return fleet_.revision; }
  [[nodiscard]] Revision settled_revision() const override { return fleet_.members_revision; }
  [[nodiscard]] bool has_released_all(Instant /*now*/) const override { return true; }
  [[nodiscard]] std::size_t flow_count() const override { return flows_.size(); }
  [[nodiscard]] BalancerCounters counters() const override { return counters_; }

 private:
  struct ServiceTable {
    std::vector<Endpoint> targets;
    std::vector<std::uint32_t> entries;
  };

  [[nodiscard]] const Endpoint* find_or_bind(const FlowKey& flow);
  void replicate(const FlowKey& flow, const Endpoint& target);
  [[nodiscard]] bool is_target(const FlowKey& flow, const Endpoint& target) const;

  Member self_;
  BalancerOutput& output_;
  bool replicates_;
  FleetState fleet_;
  absl::flat_hash_map<Endpoint, ServiceTable> services_;
  absl::flat_hash_map<FlowKey, Endpoint> flows_;
  BalancerCounters counters_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_batch_ = 0;
};

}  // namespace gorsevalve
