#include "sim/baseline_node.h"

#include <algorithm>

#include "sim/maglev_table.h"

namespace gorsevalve {
namespace {

/// Adapts the production core to the interface of the simulator.
class CoreNode : public BalancerNode {
 public:
  CoreNode(const BalancerConfig& config, BalancerOutput& output) : balancer_(config, output) {}

  void on_datagram(ByteView datagram, Instant now) override {
    balancer_.on_datagram(datagram, now);
  }
  void on_peer_message(const Endpoint& from, const PeerMessage& message, Instant now) override {
    balancer_.on_peer_message(from, message, now);
  }
  void on_fleet(const FleetState& fleet, Instant now) override { balancer_.on_fleet(fleet, now); }
  void on_lease(Instant until) override { balancer_.on_lease(until); }
  void on_target_report(const TargetReport& report, Instant now) override {
    balancer_.on_target_report(report, now);
  }
  void on_tick(Instant now) override { balancer_.on_tick(now); }
  [[nodiscard]] Revision revision() const override { return balancer_.revision(); }
  [[nodiscard]] Revision settled_revision() const override { return balancer_.settled_revision(); }
  [[nodiscard]] bool has_released_all(Instant now) const override {
    return balancer_.has_released_all(now);
  }
  [[nodiscard]] std::size_t flow_count() const override { return balancer_.flow_count(); }
  [[nodiscard]] BalancerCounters counters() const override { return balancer_.counters(); }

 private:
  Balancer balancer_;
};

}  // namespace

std::unique_ptr<BalancerNode> make_balancer_node(AffinityScheme scheme,
                                                 const BalancerConfig& config,
                                                 BalancerOutput& output) {
  switch (scheme) {
    case AffinityScheme::kPartitionOwners:
      return std::make_unique<CoreNode>(config, output);
    case AffinityScheme::kMaglevLocal:
      return std::make_unique<BaselineNode>(config, output, false);
    case AffinityScheme::kReplicateToAll:
      return std::make_unique<BaselineNode>(config, output, true);
  }
  return nullptr;
}

void BaselineNode::on_fleet(const FleetState& fleet, Instant /*now*/) {
  fleet_ = fleet;
  services_.clear();
  for (const auto& service : fleet_.settings.services) {
    ServiceTable table;
    std::vector<std::uint64_t> keys;
    for (const auto& target : service.targets) {
      if (!target.draining) {
        table.targets.push_back(target.address);
        keys.push_back(packed(target.address));
      }
    }
    table.entries = make_maglev_table(keys);
    services_.emplace(service.address, std::move(table));
  }
}

bool BaselineNode::is_target(const FlowKey& flow, const Endpoint& target) const {
  return std::any_of(fleet_.settings.services.begin(), fleet_.settings.services.end(),
                     [&](const Service& service) {
                       return service.address == flow.service &&
                              std::any_of(service.targets.begin(), service.targets.end(),
                                          [&](const Target& one) { return one.address == target; });
                     });
}

const Endpoint* BaselineNode::find_or_bind(const FlowKey& flow) {
  const auto known = flows_.find(flow);
  if (known != flows_.end() && is_target(flow, known->second)) {
    return &known->second;
  }
  const auto table = services_.find(flow.service);
  if (table == services_.end() || table->second.entries.empty()) {
    return nullptr;
  }
  const std::uint32_t entry = table->second.entries[flow_hash(flow) % kMaglevTableSize];
  const Endpoint target = table->second.targets[entry];
  flows_[flow] = target;
  if (replicates_) {
    replicate(flow, target);
  }
  return &flows_[flow];
}

void BaselineNode::replicate(const FlowKey& flow, const Endpoint& target) {
  ReplicateRequest request;
  request.members_revision = fleet_.members_revision;
  request.batch = ++last_batch_;
  request.changes.flow_records.push_back({flow, target, 0});
  for (const auto& member : fleet_.members) {
    if (member.address != self_.address) {
      output_.send_peer(member.address, request);
    }
  }
}

void BaselineNode::on_datagram(ByteView datagram, Instant /*now*/) {
  ++counters_.datagrams_in;
  const auto decoded = decode_proxy_datagram(datagram);
  if (!decoded) {
    return;
  }
  const FlowKey& flow = decoded->header.flow;
  if (decoded->header.target) {
    output_.send_to_client(flow, decoded->payload);
    return;
  }
  if (const Endpoint* target = find_or_bind(flow)) {
    ProxyHeader header;
    header.flow = flow;
    header.request_id = RequestId{self_.incarnation, ++last_request_};
    output_.send_to_target(*target, header, decoded->payload);
  }
}

void BaselineNode::on_peer_message(const Endpoint& /*from*/, const PeerMessage& message,
                                   Instant /*now*/) {
  if (const auto* request = std::get_if<ReplicateRequest>(&message)) {
    for (const auto& record : request->changes.flow_records) {
      flows_.try_emplace(record.flow, record.target);
    }
  }
}

}  // namespace gorsevalve
