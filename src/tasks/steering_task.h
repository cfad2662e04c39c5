/// The task of a balancer that steers by reflected tokens: owns the datagram socket, the session
/// with the control replicas, and the steering core. What datagrams look like is the business of
/// the packet format that is given to it.
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

/// How packets of callers and of targets look on the wire.
class PacketFormat {
 public:
  virtual ~PacketFormat() = default;
  /// What steering needs of a datagram from a caller; nothing when it is malformed.
  [[nodiscard]] virtual std::optional<ClientPacket> parse(ByteView datagram) const = 0;
  /// Size of what is sent to a target in place of a caller's datagram, in octets.
  [[nodiscard]] virtual std::size_t forwarded_size(std::size_t datagram_size) const = 0;
  /// Writes what is sent to the target, with its token, into `out` of that size.
  virtual void write_forwarded(ByteView datagram, const RegisteredTarget& target,
                               std::span<std::uint8_t> out) const = 0;
  /// A reset that tells a caller that its flow has ended, and where it goes.
  [[nodiscard]] virtual Bytes make_reset(const FlowReset& reset) const = 0;
  [[nodiscard]] virtual Endpoint reset_destination(const FlowReset& reset) const = 0;
};

struct SteeringTaskConfig {
  /// `member.address` names this process to the control replicas.
  Member self;
  Endpoint datagram_address;
  std::vector<Endpoint> control;
  std::string cluster;
  ClusterKeys keys;
  SteeringPolicy policy;
  /// Rate of the machine's link each way, in octets per second; 0 when it is not known.
  double link_bytes_per_s = 0;
  /// How long a planned stop may take.
  Duration shutdown_timeout = std::chrono::milliseconds(5000);
};

/// Counters since the start, by the reason of each decision.
struct SteeringCounters {
  std::uint64_t malformed = 0;
  std::array<std::uint64_t, kSteeringReasons> packets{};
  std::uint64_t resets = 0;
  std::uint64_t messages_rejected = 0;
  std::uint64_t updates_refused = 0;
};

class SteeringTask : private ControlClientOutput {
 public:
  /// `format` must outlive the task.
  static tl::expected<std::unique_ptr<SteeringTask>, std::string> open(EventLoop& loop,
                                                                       SteeringTaskConfig config,
                                                                       const PacketFormat& format);

  /// True while routers may send packets here: settings are in force, a replica that holds the
  /// newest state confirmed them, and no stop is under way.
  [[nodiscard]] bool is_ready() const;
  /// Begins a planned stop: not ready any more, forwards until packets cease, then ends the loop.
  void begin_shutdown();
  void set_control_seeds(const std::vector<Endpoint>& seeds) { control_.set_seeds(seeds); }
  [[nodiscard]] const SteeringCounters& counters() const { return counters_; }
  [[nodiscard]] const FlowSteering& steering() const { return steering_; }
  [[nodiscard]] std::uint64_t probes_sent() const { return prober_.sent(); }
  [[nodiscard]] const FleetState& fleet() const { return control_.fleet(); }
  [[nodiscard]] Revision revisions_behind() const { return control_.revisions_behind(); }
  /// Time since the latest moment as of which the state in force was known to be the newest; since
  /// the start before the first one.
  [[nodiscard]] Duration state_age(Instant now) const;
  [[nodiscard]] const LinkShaper& link() const { return link_; }
  [[nodiscard]] const FrameCounters& frames() const { return network_.counters(); }

 private:
  SteeringTask(EventLoop& loop, SteeringTaskConfig config, const PacketFormat& format);

  void on_datagram(ByteView datagram, Instant now);
  /// Forwards or resets; false when nothing can be decided yet.
  bool decide(const ClientPacket& packet, ByteView datagram, Instant now);
  /// Refuses a flow that the machine's link has no room for.
  void reject_for_full_link(const ClientPacket& packet);
  /// Sends a packet to its target, or keeps it until the link has room for it.
  void forward(const ClientPacket& packet, ByteView datagram, const RegisteredTarget& target,
               Instant now);
  /// Sends what waits for the link and may leave now.
  void send_queued(Instant now);
  void schedule_send(Instant now);
  /// Writes a line while packets have to wait, at most one for each kLinkLogInterval.
  void log_queueing_delay(Duration waited, Instant now);
  void send_reset(const FlowReset& reset);
  void send_probes(Instant now);
  /// Sends probes that are due, also between two steps.
  void probe_if_needed(Instant now);
  /// Probes targets that seem dead, each few milliseconds while there are any.
  void check_reachability(Instant now);
  void on_probe_step();
  /// Reports to the chosen replica in the next turn, or after the pause between two such reports.
  void schedule_report();
  /// Looks at what should have been followed by something, and does so again when more is due.
  void check_reply_timeouts(Instant now);
  void schedule_reply_check(Instant now);
  void on_unreachable(const UnreachableTarget& unreachable);
  /// Concludes about paths to zones, and ends the flows into those that are cut off.
  void check_zone_paths(Instant now);
  /// Gives held packets again, since more is known now.
  void release_buffered(Instant now);
  std::optional<Endpoint> on_frame(ByteView frame);
  void on_tick();
  /// Asks the replicas more often until the first state is confirmed.
  void tick_until_ready();
  void log_decision(const ClientPacket& packet, const SteeringDecision& decision) const;

  void send_control(const Endpoint& replica, const NodeMessage& message) override;
  void on_fleet(const FleetState& fleet, Instant now) override;
  void on_deltas(const FleetState& fleet, const std::vector<FleetDelta>& deltas,
                 Instant now) override;
  void on_revision(const FleetState& fleet, Instant now);
  /// Tells which evacuations came into force and which ended.
  void log_evacuations(const FleetState& fleet);
  void on_confirmed(Instant now) override;
  bool has_urgent_observations() override { return steering_.has_trouble(); }
  std::vector<TargetObservation> take_observations() override {
    return steering_.take_observations();
  }
  void on_target_health(const std::vector<TargetHealth>& figures) override;
  void on_refusing(const RefusingTargets& refusing, Instant now) override;
  void on_rank(const BalancerRank& place, Instant now) override {
    steering_.set_balancer_rank(place, now);
  }
  void on_lease(Instant /*until*/) override {}
  void on_removed(Instant /*now*/) override {}
  void on_replica_silent(const Endpoint& replica) override;
  void on_updates_overdue(const Endpoint& replica, Revision revisions) override;
  void on_replica_chosen(const Endpoint& replica, Revision held) override;
  void on_update_refused(const RefusedUpdate& refused) override;
  /// Tells which targets turned cold, and what those that are warm now took from here.
  void log_warm_up(Instant now);
  /// Tells when the state in force has not been confirmed for long, and when it is again.
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
