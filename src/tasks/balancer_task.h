/// The balancer's main task. It owns the sockets and the balancer core, and passes messages between
/// them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "codec/envelope.h"
#include "core/balancer/balancer.h"
#include "core/balancer/control_client.h"
#include "core/balancer/graceful_shutdown.h"
#include "storage/disk.h"
#include "tasks/event_loop.h"
#include "tasks/frame_network.h"
#include "tasks/udp_socket.h"

namespace gorsevalve {

struct BalancerTaskConfig {
  Member self;
  /// Local address to bind, if peers reach `self.address` through a forwarder.
  std::optional<Endpoint> listen;
  /// Next hop of datagrams to clients: the fabric's address.
  Endpoint egress;
  std::vector<Endpoint> control;
  std::string cluster;
  ClusterKeys keys;
};

/// Status of a balancer for the administration API.
struct BalancerStatus {
  BalancerCounters counters;
  Revision revision = 0;
  Revision settled_revision = 0;
  std::uint64_t digest = 0;
  std::size_t flows = 0;
  std::size_t requests = 0;
  std::uint64_t messages_rejected = 0;
  std::size_t zones_evacuated = 0;
};

class BalancerTask : private BalancerOutput, private ControlClientOutput {
 public:
  /// `disk` stores the fleet state for the next start; nullptr disables it.
  static tl::expected<std::unique_ptr<BalancerTask>, std::string> open(EventLoop& loop,
                                                                       BalancerTaskConfig config,
                                                                       Disk* disk);

  /// Starts a graceful shutdown. The loop stops once all partitions have been handed over.
  void leave();

  [[nodiscard]] BalancerStatus status() const;
  /// Targets that have a health endpoint to poll.
  [[nodiscard]] std::vector<Target> polled_targets() const;
  void on_target_report(const TargetReport& report);

 private:
  BalancerTask(EventLoop& loop, BalancerTaskConfig config, Disk* disk, FleetState stored);

  void start();
  void on_datagram(ByteView datagram);
  std::optional<Endpoint> on_frame(ByteView frame);
  void on_tick();

  void send_to_client(const FlowKey& flow, ByteView message) override;
  void send_to_target(const Endpoint& target, const ProxyHeader& header, ByteView message) override;
  void relay(const Endpoint& peer, const ProxyHeader& header, ByteView payload) override;
  void send_peer(const Endpoint& peer, const PeerMessage& message) override;
  void send_control(const Endpoint& replica, const NodeMessage& message) override;
  void on_fleet(const FleetState& fleet, Instant now) override;
  void on_lease(Instant until) override;
  void on_replica_chosen(const Endpoint& replica, Revision replica_revision) override;
  void on_replica_timed_out(const Endpoint& replica) override;
  void on_updates_overdue(const Endpoint& replica, Revision revisions) override;
  void on_update_rejected(const RejectedUpdate& refused) override;
  void on_removed(Instant now) override;

  EventLoop& loop_;
  BalancerTaskConfig config_;
  Disk* disk_;
  Envelope envelope_;
  std::unique_ptr<Balancer> balancer_;
  ControlClient control_;
  std::unique_ptr<UdpSocket> socket_;
  FrameNetwork network_;
  std::uint64_t messages_rejected_ = 0;
  GracefulShutdown shutdown_;
};

}  // namespace gorsevalve
