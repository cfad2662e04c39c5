/// Interface of a simulated balancer: the production core or a baseline for comparison.
#pragma once

#include <memory>

#include "core/balancer/balancer.h"

namespace gorsevalve {

class BalancerNode {
 public:
  virtual ~BalancerNode() = default;
  virtual void on_datagram(ByteView datagram, Instant now) = 0;
  virtual void on_peer_message(const Endpoint& from, const PeerMessage& message, Instant now) = 0;
  virtual void on_fleet(const FleetState& fleet, Instant now) = 0;
  virtual void on_lease(Instant until) = 0;
  virtual void on_target_report(const TargetReport& report, Instant now) = 0;
  virtual void on_tick(Instant now) = 0;
  /// See Balancer.
  [[nodiscard]] virtual Revision revision() const = 0;
  [[nodiscard]] virtual Revision settled_revision() const = 0;
  [[nodiscard]] virtual bool has_released_all(Instant now) const = 0;
  [[nodiscard]] virtual std::size_t flow_count() const = 0;
  [[nodiscard]] virtual BalancerCounters counters() const = 0;
};

/// How balancers keep a flow on its target.
enum class AffinityScheme : std::uint8_t {
  /// The production core: flow records at the owner of each partition.
  kPartitionOwners = 0,
  /// Each balancer uses a Maglev table and a local flow table; balancers share no state.
  kMaglevLocal = 1,
  /// As kMaglevLocal; each new flow record is also replicated to every other balancer.
  kReplicateToAll = 2,
};

std::unique_ptr<BalancerNode> make_balancer_node(AffinityScheme scheme,
                                                 const BalancerConfig& config,
                                                 BalancerOutput& output);

}  // namespace gorsevalve
