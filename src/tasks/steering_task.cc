#include "tasks/steering_task.h"

#include <algorithm>
#include <cmath>

#include "tasks/log.h"
#include "tasks/subscription_log.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(250);
/// Tick interval until the first state is confirmed.
constexpr Duration kStartTickInterval = milliseconds(100);
/// Resolution of the timers.
constexpr Duration kMinTimerDelay = milliseconds(1);
constexpr ControlClientTiming kControlTiming{milliseconds(500), milliseconds(800),
                                             kStartTickInterval};
/// Time that routers need to stop sending new flows. Afterwards a shutdown only waits until no
/// packets arrive.
constexpr Duration kRouterDrainTime = milliseconds(1500);
constexpr Duration kIdleTimeBeforeStop = milliseconds(700);
/// Interval between urgent reports, so that failures of many flows share a report.
constexpr Duration kUrgentReportInterval = milliseconds(20);
/// Age of the state that is logged as unconfirmed: three heartbeat intervals.
constexpr Duration kUnconfirmedLogThreshold = milliseconds(1500);

}  // namespace

tl::expected<std::unique_ptr<SteeringTask>, std::string> SteeringTask::open(
    EventLoop& loop, SteeringTaskConfig config, const PacketFormat& format) {
  auto socket = UdpSocket::open(loop, config.udp_address);
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  std::unique_ptr<SteeringTask> task(new SteeringTask(loop, std::move(config), format));
  SteeringTask& self = *task;
  self.socket_ = std::move(*socket);
  self.socket_->start([&self](ByteView datagram, const Endpoint& /*from*/) {
    const Instant now = monotonic_now();
    self.on_datagram(datagram, now);
  });
  loop.every(kTickInterval, [&self] { self.on_tick(); });
  self.tick_until_ready();
  return task;
}

SteeringTask::SteeringTask(EventLoop& loop, SteeringTaskConfig config, const PacketFormat& format)
    : loop_(loop),
      config_(std::move(config)),
      format_(format),
      envelope_(config_.cluster, config_.keys, config_.self.address, config_.self.incarnation),
      steering_(config_.self.incarnation, config_.self.zone, config_.policy),
      control_(config_.self, config_.control, {}, *this),
      network_(loop, [this](ByteView frame) { return on_frame(frame); }),
      buffered_(config_.policy),
      link_(config_.link_bytes_per_s),
      prober_(loop, [this](std::uint64_t number, ProbeAnswer answer) {
        steering_.on_probe_answer(number, answer, monotonic_now());
        probe_if_needed(monotonic_now());
        if (steering_.has_refused_probe()) {
          schedule_report();
        }
      }) {
  control_.set_timing(kControlTiming);
}

bool SteeringTask::is_ready() const {
  return !shutdown_started_at_ && steering_.has_settings() && control_.has_been_current();
}

void SteeringTask::tick_until_ready() {
  if (is_ready()) {
    return;
  }
  control_.on_tick(0, monotonic_now());
  loop_.after(kStartTickInterval, [this] { tick_until_ready(); });
}

void SteeringTask::begin_shutdown() {
  shutdown_started_at_ = monotonic_now();
  steering_.stop_observing();
  last_packet_at_ = *shutdown_started_at_;
  log_event(LogEvent::kStopping, {{"flows", steering_.flows()}});
}

void SteeringTask::on_datagram(ByteView datagram, Instant now) {
  const auto packet = format_.parse(datagram);
  if (!packet) {
    ++counters_.malformed;
    return;
  }
  last_packet_at_ = now;
  const FrontendView* frontend =
      link_.model().is_rate_known() ? steering_.frontend(packet->flow.frontend) : nullptr;
  const LinkDecision link_decision = link_.on_packet(*packet, datagram.size(), frontend, now);
  if (link_decision != LinkDecision::kForward) {
    if (link_decision == LinkDecision::kReject) {
      reject_for_full_link(*packet);
    }
    return;
  }
  if (!decide(*packet, datagram, now)) {
    buffered_.add(*packet, datagram, now);
  }
  if (steering_.is_probing() && !probe_step_scheduled_) {
    check_reachability(now);
  }
  if (packet->opens) {
    schedule_reply_check(now);
  }
}

void SteeringTask::check_reply_timeouts(Instant now) {
  steering_.check_reply_timeouts(now);
  probe_if_needed(now);
  if (steering_.has_refused_probe()) {
    schedule_report();
  }
  schedule_reply_check(now);
}

void SteeringTask::probe_if_needed(Instant now) {
  if (steering_.is_probing() && probe_step_scheduled_) {
    // Probes that are due do not wait for the next step.
    send_probes(now);
  } else if (steering_.is_probing()) {
    check_reachability(now);
  }
}

void SteeringTask::schedule_reply_check(Instant now) {
  const std::optional<Instant> next = steering_.next_reply_deadline();
  if (reply_check_scheduled_ || !next) {
    return;
  }
  reply_check_scheduled_ = true;
  const Duration delay = std::max<Duration>(*next - now, kMinTimerDelay);
  loop_.after(delay, [this] {
    reply_check_scheduled_ = false;
    check_reply_timeouts(monotonic_now());
  });
}

bool SteeringTask::decide(const ClientPacket& packet, ByteView datagram, Instant now) {
  const SteeringDecision decision = steering_.on_packet(packet, now);
  ++counters_.packets[static_cast<std::size_t>(decision.reason)];
  if (decision.reason == SteeringReason::kNoState) {
    return false;
  }
  log_decision(packet, decision);
  if (decision.action == SteeringAction::kForward) {
    forward(packet, datagram, *decision.target, now);
  } else if (decision.action == SteeringAction::kReset) {
    send_reset(reset_of(packet));
  }
  return true;
}

void SteeringTask::send_reset(const FlowReset& reset) {
  ++counters_.resets;
  const Bytes datagram = format_.make_reset(reset);
  link_.on_reset(reset.flow, datagram.size(), monotonic_now());
  socket_->send(format_.reset_destination(reset), datagram);
}

void SteeringTask::send_probes(Instant now) {
  steering_.set_link_congested(link_.model().is_congested(now), now);
  for (const auto& probe : steering_.take_probes(now)) {
    if (!prober_.send(probe.number, probe.address)) {
      steering_.on_probe_not_sent(probe.number, now);
    }
  }
}

void SteeringTask::check_reachability(Instant now) {
  send_probes(now);
  check_zone_paths(now);
  const std::vector<UnreachableTarget> unreachable = steering_.evaluate_reachability(now);
  for (const auto& unreachable_target : unreachable) {
    on_unreachable(unreachable_target);
  }
  for (const TargetId target : steering_.take_restored()) {
    log_event(LogEvent::kTargetReachable, {{"target", target}});
  }
  if (!unreachable.empty()) {
    socket_->flush();
    schedule_report();
  }
  if (steering_.is_probing() && !probe_step_scheduled_) {
    probe_step_scheduled_ = true;
    loop_.after(TargetReachability::kStepInterval, [this] { on_probe_step(); });
  }
}

void SteeringTask::schedule_report() {
  // The report makes other balancers with flows to the target probe it soon. The control client may
  // be on the call stack with an unfinished reply, so the report is sent in a later iteration of
  // the loop.
  if (report_scheduled_) {
    return;
  }
  report_scheduled_ = true;
  const auto report = [this] {
    report_scheduled_ = false;
    last_report_at_ = monotonic_now();
    control_.on_tick(0, last_report_at_);
  };
  const Duration delay = last_report_at_ + kUrgentReportInterval - monotonic_now();
  if (delay > Duration::zero()) {
    loop_.after(delay, report);
  } else {
    loop_.post(report);
  }
}

void SteeringTask::on_probe_step() {
  probe_step_scheduled_ = false;
  check_reachability(monotonic_now());
}

void SteeringTask::on_unreachable(const UnreachableTarget& unreachable) {
  const std::vector<FlowReset> resets = steering_.reset_flows_to(unreachable.target);
  for (const auto& reset : resets) {
    send_reset(reset);
  }
  log_event(LogEvent::kTargetUnreachable,
            {{"target", unreachable.target},
             {"reason", to_string(unreachable.reason)},
             {"took_ms", unreachable.detection_time / milliseconds(1)},
             {"probes", unreachable.probes},
             {"flows_reset", resets.size()}});
}

void SteeringTask::check_zone_paths(Instant now) {
  const std::vector<ZonePathChange> changes =
      steering_.evaluate_zone_paths(link_.model().is_congested(now), now);
  const std::vector<FlowReset> resets = steering_.reset_flows_to_unreachable_zones(now);
  for (const auto& reset : resets) {
    send_reset(reset);
  }
  for (const auto& change : changes) {
    log_event(change.is_cut ? LogEvent::kZonePathCut : LogEvent::kZonePathRestored,
              {{"to_zone", change.zone},
               {"took_ms", change.duration / milliseconds(1)},
               {"targets", change.targets},
               {"probes", change.probes},
               {"refusals", change.refusals},
               {"flows_reset", resets.size()}});
  }
  if (!resets.empty()) {
    socket_->flush();
  }
  if (!changes.empty()) {
    schedule_report();
  }
}

void SteeringTask::on_target_health(const std::vector<TargetHealth>& health) {
  const Instant now = monotonic_now();
  steering_.set_target_health(health, now);
  check_reachability(now);
}

void SteeringTask::on_refusing(const RefusingTargets& refusing, Instant now) {
  steering_.on_refusing(refusing, now);
  probe_if_needed(now);
  log_event(LogEvent::kTargetsRefusing,
            {{"zone", refusing.zone}, {"targets", refusing.targets.size()}});
}

void SteeringTask::release_buffered(Instant now) {
  if (buffered_.size() == 0) {
    return;
  }
  buffered_.release(steering_, now, [&](const BufferedPacket& buffered) {
    return decide(buffered.packet, buffered.bytes, now);
  });
  socket_->flush();
}

void SteeringTask::log_decision(const ClientPacket& packet,
                                const SteeringDecision& decision) const {
  if (decision.reason == SteeringReason::kToken) {
    return;
  }
  log_event(LogEvent::kFlowDecision,
            {{"flow", to_string(packet.flow.client) + ">" + to_string(packet.flow.frontend)},
             {"reason", to_string(decision.reason)},
             {"copies_before", packet.retransmissions},
             {"target", decision.target == nullptr ? 0 : decision.target->id},
             {"token", packet.token},
             {"revision", control_.fleet().revision}});
}

std::optional<Endpoint> SteeringTask::on_frame(ByteView frame) {
  const auto opened = envelope_.open(frame);
  if (!opened || opened->kind != MessageKind::kNode) {
    ++counters_.messages_rejected;
    return std::nullopt;
  }
  control_.on_message(opened->sender, std::get<NodeMessage>(opened->message), monotonic_now());
  return opened->sender;
}

void SteeringTask::on_tick() {
  const Instant now = monotonic_now();
  steering_.on_tick(now);
  prober_.on_tick(now);
  link_.on_tick(now);
  check_reachability(now);
  control_.on_tick(0, now);
  log_warm_up(now);
  log_state_age(now);
  flush_log();
  if (is_ready() != was_ready_) {
    was_ready_ = !was_ready_;
    log_event(was_ready_ ? LogEvent::kReady : LogEvent::kNotReady,
              {{"revision", control_.fleet().revision}});
  }
  if (!shutdown_started_at_) {
    return;
  }
  const bool routers_drained = now - *shutdown_started_at_ > kRouterDrainTime;
  const bool is_idle = now - last_packet_at_ > kIdleTimeBeforeStop;
  const bool has_sent_all = link_.scheduler().queued_packets() == 0;
  if ((routers_drained && is_idle && has_sent_all) ||
      now - *shutdown_started_at_ > config_.shutdown_timeout) {
    log_event(LogEvent::kStopped);
    loop_.stop();
  }
}

void SteeringTask::send_control(const Endpoint& replica, const NodeMessage& message) {
  network_.send(replica, envelope_.seal(message), true);
}

void SteeringTask::on_replica_timed_out(const Endpoint& replica) {
  log_replica_silent(replica);
  network_.disconnect(replica);
}

void SteeringTask::on_updates_overdue(const Endpoint& replica, Revision revisions) {
  log_updates_overdue(replica, revisions, control_.fleet().revision);
}

void SteeringTask::on_replica_chosen(const Endpoint& replica, Revision replica_revision) {
  log_replica_chosen(replica, replica_revision, control_.fleet().revision);
}

void SteeringTask::on_update_rejected(const RejectedUpdate& refused) {
  ++counters_.updates_rejected;
  log_update_rejected(refused, control_.fleet().revision);
}

Duration SteeringTask::state_age(Instant now) const {
  return now - control_.confirmed_at().value_or(started_at_);
}

void SteeringTask::log_warm_up(Instant now) {
  const std::vector<TargetId> cold = steering_.take_newly_cold();
  if (!cold.empty()) {
    log_event(LogEvent::kWarmUpBegan, {{"targets", cold.size()},
                                       {"first", cold.front()},
                                       {"cold", steering_.warm_up().size()},
                                       {"balancers", steering_.warm_up().rank().count}});
  }
  const std::vector<WarmedTarget> warmed = steering_.take_warmed(now);
  if (warmed.empty()) {
    return;
  }
  std::uint64_t flows = 0;
  for (const auto& target : warmed) {
    flows += target.flows;
  }
  log_event(LogEvent::kWarmUpEnded, {{"targets", warmed.size()},
                                     {"first", warmed.front().id},
                                     {"flows", flows},
                                     {"cold", steering_.warm_up().size()}});
}

void SteeringTask::log_state_age(Instant now) {
  const Duration age = state_age(now);
  const bool is_unconfirmed = age > kUnconfirmedLogThreshold;
  if (is_unconfirmed == logged_unconfirmed_ || !control_.confirmed_at()) {
    return;
  }
  logged_unconfirmed_ = is_unconfirmed;
  const auto replica = control_.replica();
  log_event(is_unconfirmed ? LogEvent::kStateUnconfirmed : LogEvent::kStateConfirmedAgain,
            {{"replica", replica ? to_string(*replica) : "searching"},
             {"age_ms", age / milliseconds(1)},
             {"revision", control_.fleet().revision},
             {"awaited", control_.pending_revision()}});
}

void SteeringTask::on_fleet(const FleetState& fleet, Instant now) {
  steering_.adopt(fleet.steering, now);
  on_revision(fleet, now);
}

void SteeringTask::on_deltas(const FleetState& fleet, const std::vector<FleetDelta>& deltas,
                             Instant now) {
  for (const auto& delta : deltas) {
    if (delta.steering) {
      steering_.apply(*delta.steering, now);
    }
  }
  on_revision(fleet, now);
}

void SteeringTask::on_revision(const FleetState& fleet, Instant now) {
  log_event(LogEvent::kRevisionInForce, {{"revision", fleet.revision},
                                         {"operator_version", fleet.steering.settings.version},
                                         {"targets", fleet.steering.targets.size()},
                                         {"held_packets", buffered_.size()}});
  log_evacuations(fleet);
  release_buffered(now);
}

void SteeringTask::log_evacuations(const FleetState& fleet) {
  const std::vector<EvacuatedZone>& current = fleet.steering.evacuated_zones;
  for (const auto& previous : logged_evacuations_) {
    if (std::find(current.begin(), current.end(), previous) == current.end()) {
      log_event(LogEvent::kZoneRestored, {{"zone", previous.zone}, {"revision", fleet.revision}});
    }
  }
  for (const auto& evacuated : current) {
    if (std::find(logged_evacuations_.begin(), logged_evacuations_.end(), evacuated) ==
        logged_evacuations_.end()) {
      log_event(LogEvent::kZoneEvacuated,
                {{"zone", evacuated.zone}, {"revision", evacuated.since}});
    }
  }
  logged_evacuations_ = current;
}

void SteeringTask::on_confirmed(Instant now) {
  steering_.confirm(now);
  log_event(LogEvent::kRevisionConfirmed,
            {{"revision", control_.fleet().revision}, {"held_packets", buffered_.size()}});
  release_buffered(now);
}

}  // namespace gorsevalve
