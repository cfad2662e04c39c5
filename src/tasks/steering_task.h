/// Task of a balancer that steers by reflected tokens. It owns the datagram socket, the session
/// with the control replicas, and the steering core. PacketFormat defines the encoding of
/// datagrams.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "codec/envelope.h"
#include "core/balancer/control_client.h"
#include "core/link/link_shaper.h"
#include "core/steering/buffered_packets.h"
#include "core/steering/flow_steering.h"
#include "tasks/event_loop.h"
#include "tasks/frame_network.h"
#include "tasks/target_prober.h"
#include "tasks/udp_socket.h"

namespace gorsevalve {

/// Encoding of packets from clients and to targets.
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;
  /// Parses a datagram from a client; empty if it is malformed.
  [[nodiscard]] virtual std::optional<ClientPacket> parse(ByteView datagram) const = 0;
  /// Size in bytes of the packet to a target for a datagram of a client.
  [[nodiscard]] virtual std::size_t forwarded_size(std::size_t datagram_size) const = 0;
  /// Writes the packet to the target, with its token, into `out`, whose size is `forwarded_size`.
  virtual void write_forwarded(ByteView datagram, const RegisteredTarget& target,
                               std::span<std::uint8_t> out) const = 0;
  /// Reset packet that notifies a client that its flow has ended.
  [[nodiscard]] virtual Bytes make_reset(const FlowReset& reset) const = 0;
  /// Address to which the reset packet is sent.
  [[nodiscard]] virtual Endpoint reset_destination(const FlowReset& reset) const = 0;
};

struct SteeringTaskConfig {
  /// `self.address` identifies this process to the control replicas.
  Member self;
  Endpoint udp_address;
  std::vector<Endpoint> control;
  std::string cluster;
  ClusterKeys keys;
  SteeringPolicy policy;
  /// Rate of the machine's link in each direction, in bytes per second; 0 if unknown.
  double link_bytes_per_s = 0;
  /// Time limit of a graceful shutdown.
  Duration shutdown_timeout = std::chrono::milliseconds(5000);
};

/// Counters since the start. `packets` is indexed by SteeringReason.
struct SteeringCounters {
  std::uint64_t malformed = 0;
  std::array<std::uint64_t, kSteeringReasons> packets{};
  std::uint64_t resets = 0;
  std::uint64_t messages_rejected = 0;
  std::uint64_t updates_rejected = 0;
};

class SteeringTask : private ControlClientOutput {
 public:
  /// `format` must outlive the task.
  static tl::expected<std::unique_ptr<SteeringTask>, std::string> open(EventLoop& loop,
                                                                       SteeringTaskConfig config,
                                                                       const PacketFormat& format);

  /// True while routers may send packets: settings are applied, a replica with the newest state has
  /// confirmed them, and no shutdown is in progress.
  [[nodiscard]] bool is_ready() const;
  /// Starts a graceful shutdown: reports not ready, forwards until packets cease, then stops the
  /// loop.
  void begin_shutdown();
  void set_control_seeds(const std::vector<Endpoint>& seeds) { control_.set_seeds(seeds); }
  [[nodiscard]] const SteeringCounters& counters() const { return counters_; }
  [[nodiscard]] const FlowSteering& steering() const { return steering_; }
  [[nodiscard]] std::uint64_t probes_sent() const { return prober_.sent(); }
  [[nodiscard]] const FleetState& fleet() const { return control_.fleet(); }
  [[nodiscard]] Revision revisions_behind() const { return control_.revisions_behind(); }
  /// Time since the applied state was last known to be the newest, or since the start if it never
  /// was.
  [[nodiscard]] Duration state_age(Instant now) const;
  [[nodiscard]] const LinkShaper& link() const { return link_; }
  [[nodiscard]] const FrameCounters& frames() const { return network_.counters(); }

 private:
  SteeringTask(EventLoop& loop, SteeringTaskConfig config, const PacketFormat& format);

  void on_datagram(ByteView datagram, Instant now);
  /// Forwards or drops a packet, or resets its flow; false if there is not enough state to decide.
  bool decide(const ClientPacket& packet, ByteView datagram, Instant now);
  /// Rejects a flow because the machine's link has no capacity for it.
  void reject_for_full_link(const ClientPacket& packet);
  /// Sends a packet to its target, or queues it until the link has capacity.
  void forward(const ClientPacket& packet, ByteView datagram, const RegisteredTarget& target,
               Instant now);
  /// Sends queued packets that are due.
  void send_queued(Instant now);
  void schedule_send(Instant now);
  /// Logs long queueing delays, at most once per kLinkLogInterval.
  void log_queueing_delay(Duration queueing_delay, Instant now);
  void send_reset(const FlowReset& reset);
  void send_probes(Instant now);
  /// Sends probes that are due, without waiting for the next step.
  void probe_if_needed(Instant now);
  /// Sends probes, evaluates targets and zone paths, and schedules the next step while probing is
  /// in progress.
  void check_reachability(Instant now);
  void on_probe_step();
  /// Schedules a report to the chosen replica, at most once per kUrgentReportInterval.
  void schedule_report();
  /// Checks flows whose reply timeout expired and schedules the next check.
  void check_reply_timeouts(Instant now);
  void schedule_reply_check(Instant now);
  void on_unreachable(const UnreachableTarget& unreachable);
  /// Evaluates the paths to zones and resets the flows into unreachable ones.
  void check_zone_paths(Instant now);
  /// Processes buffered packets again after the state changed.
  void release_buffered(Instant now);
  std::optional<Endpoint> on_frame(ByteView frame);
  void on_tick();
  /// Polls the replicas at a shorter interval until the first state is confirmed.
  void tick_until_ready();
  void log_decision(const ClientPacket& packet, const SteeringDecision& decision) const;

  void send_control(const Endpoint& replica, const NodeMessage& message) override;
  void on_fleet(const FleetState& fleet, Instant now) override;
  void on_deltas(const FleetState& fleet, const std::vector<FleetDelta>& deltas,
                 Instant now) override;
  void on_revision(const FleetState& fleet, Instant now);
  /// Logs evacuations that became effective and those that ended.
  void log_evacuations(const FleetState& fleet);
  void on_confirmed(Instant now) override;
  bool has_urgent_observations() override { return steering_.has_failures(); }
  std::vector<TargetStatistics> take_observations() override {
    return steering_.take_observations();
  }
  void on_target_health(const std::vector<TargetHealth>& health) override;
  void on_refusing(const RefusingTargets& refusing, Instant now) override;
  void on_rank(const BalancerRank& rank, Instant now) override {
    steering_.set_balancer_rank(rank, now);
  }
  void on_lease(Instant /*until*/) override {}
  void on_removed(Instant /*now*/) override {}
  void on_replica_timed_out(const Endpoint& replica) override;
  void on_updates_overdue(const Endpoint& replica, Revision revisions) override;
  void on_replica_chosen(const Endpoint& replica, Revision replica_revision) override;
  void on_update_rejected(const RejectedUpdate& refused) override;
  /// Logs targets that started to warm up, and the flows placed at those that are warm now.
  void log_warm_up(Instant now);
  /// Logs when the applied state has been unconfirmed for long, and when it is confirmed again.
  void log_state_age(Instant now);

  EventLoop& loop_;
  SteeringTaskConfig config_;
  const PacketFormat& format_;
  Envelope envelope_;
  FlowSteering steering_;
  ControlClient control_;
  FrameNetwork network_;
  std::unique_ptr<UdpSocket> socket_;
  BufferedPackets buffered_;
  LinkShaper link_;
  bool send_scheduled_ = false;
  Instant link_logged_at_;
  TargetProber prober_;
  bool probe_step_scheduled_ = false;
  bool reply_check_scheduled_ = false;
  bool report_scheduled_ = false;
  Instant last_report_at_;
  SteeringCounters counters_;
  Instant last_packet_at_;
  std::optional<Instant> shutdown_started_at_;
  bool was_ready_ = false;
  Instant started_at_ = monotonic_now();
  bool logged_unconfirmed_ = false;
  std::vector<EvacuatedZone> logged_evacuations_;
};

}  // namespace gorsevalve
