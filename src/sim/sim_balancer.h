/// Simulated balancer process: the core, its control client, the fleet state on its disk, and the
/// polling of target health.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "core/balancer/control_client.h"
#include "core/balancer/graceful_shutdown.h"
#include "sim/balancer_node.h"
#include "sim/sim_process.h"

namespace gorsevalve {

struct SimBalancerConfig {
  std::string name;
  std::string zone;
  Endpoint address;
  std::vector<Endpoint> control;
  BalancerFaults faults;
  ControlClientFaults client_faults;
  AffinityScheme scheme = AffinityScheme::kPartitionOwners;
};

class SimBalancer : public SimProcess, private BalancerOutput, private ControlClientOutput {
 public:
  /// Polls the health endpoint of a target; nullopt when it does not respond.
  using HealthPoll = std::function<std::optional<TargetReport>(const Endpoint& target)>;

  SimBalancer(SimContext context, SimBalancerConfig config, HealthPoll poll);

  void start();
  void kill();
  /// Begins a graceful shutdown; `when_stopped` runs at its end.
  void begin_shutdown(std::function<void()> when_stopped);

  [[nodiscard]] const SimBalancerConfig& config() const { return config_; }
  [[nodiscard]] const BalancerNode* node() const { return node_.get(); }
  [[nodiscard]] const FleetState& fleet() const { return control_->fleet(); }
  /// Time at which each settings revision was applied in this incarnation.
  [[nodiscard]] const std::map<Revision, Instant>& applied_at() const { return applied_at_; }
  /// Sum of the counters of all incarnations.
  [[nodiscard]] BalancerCounters total_counters() const;

 private:
  void handle(const SimMessage& message) override;
  void on_tick();
  void poll_targets();

  void send_to_client(const FlowKey& flow, ByteView message) override;
  void send_to_target(const Endpoint& target, const ProxyHeader& header, ByteView message) override;
  void relay(const Endpoint& peer, const ProxyHeader& header, ByteView payload) override;
  void send_peer(const Endpoint& peer, const PeerMessage& message) override;
  void send_control(const Endpoint& replica, const NodeMessage& message) override;
  void on_fleet(const FleetState& fleet, Instant now) override;
  void on_lease(Instant until) override;
  void on_removed(Instant now) override;
  [[nodiscard]] Member make_self(std::uint64_t incarnation) const;
  void make_node(const Member& self);

  SimBalancerConfig config_;
  HealthPoll poll_;
  std::unique_ptr<BalancerNode> node_;
  std::unique_ptr<ControlClient> control_;
  /// Fleet state on disk; survives crashes.
  FleetState stored_fleet_;
  GracefulShutdown shutdown_;
  std::function<void()> on_stopped_;
  std::map<Revision, Instant> applied_at_;
  std::vector<BalancerCounters> past_counters_;
};

}  // namespace gorsevalve
