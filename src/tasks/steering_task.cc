#include "tasks/steering_task.h"

#include <algorithm>
#include <cmath>

#include "tasks/following_log.h"
#include "tasks/log.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(250);
/// Tick while the first state is awaited.
constexpr Duration kStartTickInterval = milliseconds(100);
/// Timers count milliseconds.
constexpr Duration kLeastWait = milliseconds(1);
constexpr ControlClientTiming kControlTiming{milliseconds(500), milliseconds(800),
                                             kStartTickInterval};
/// Routers need this long to turn away; after it a stop waits for silence only.
constexpr Duration kTurnAwayTime = milliseconds(1500);
constexpr Duration kSilenceBeforeStop = milliseconds(700);
/// Pause between two reports of something urgent: what many callers meet at once goes together.
constexpr Duration kUrgentPause = milliseconds(20);
/// Age of the state that is worth a line: three pauses between heartbeats.
constexpr Duration kUnconfirmedLogged = milliseconds(1500);

}  // namespace

tl::expected<std::unique_ptr<SteeringTask>, std::string> SteeringTask::open(
    EventLoop& loop, SteeringTaskConfig config, const PacketFormat& format) {
  auto socket = UdpSocket::open(loop, config.datagrams);
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
      held_(config_.policy),
      link_(config_.link_octets_per_s),
      prober_(loop, [this](std::uint64_t number, ProbeAnswer answer) {
        steering_.on_probe_answer(number, answer, monotonic_now());
        probe_soon(monotonic_now());
        if (steering_.has_refused_probe()) {
          report_soon();
        }
      }) {
  control_.set_timing(kControlTiming);
}

bool SteeringTask::is_ready() const {
  return !stop_since_ && steering_.has_settings() && control_.has_been_current();
}

void SteeringTask::tick_until_ready() {
  if (is_ready()) {
    return;
  }
  control_.on_tick(0, monotonic_now());
  loop_.after(kStartTickInterval, [this] { tick_until_ready(); });
}

void SteeringTask::begin_stop() {
  stop_since_ = monotonic_now();
  steering_.stop_observing();
  last_packet_ = *stop_since_;
  log_event(LogEvent::kStopping, {{"flows", steering_.flows()}});
}

void SteeringTask::on_datagram(ByteView datagram, Instant now) {
  const auto packet = format_.parse(datagram);
  if (!packet) {
    ++counters_.malformed;
    return;
  }
  last_packet_ = now;
  const FrontendView* frontend =
      link_.model().is_rate_known() ? steering_.frontend(packet->flow.frontend) : nullptr;
  const LinkDecision verdict = link_.on_packet(*packet, datagram.size(), frontend, now);
  if (verdict != LinkDecision::kForward) {
    if (verdict == LinkDecision::kReject) {
      refuse_for_want_of_room(*packet);
    }
    return;
  }
  if (!decide(*packet, datagram, now)) {
    held_.hold(*packet, datagram, now);
  }
  if (steering_.is_probing() && !steps_probes_) {
    look_after_targets(now);
  }
  if (packet->opens) {
    check_expectations_later(now);
  }
}

void SteeringTask::check_expectations(Instant now) {
  steering_.check_reply_timeouts(now);
  probe_soon(now);
  if (steering_.has_refused_probe()) {
    report_soon();
  }
  check_expectations_later(now);
}

void SteeringTask::probe_soon(Instant now) {
  if (steering_.is_probing() && steps_probes_) {
    // What is due now does not wait for the next step.
    send_probes(now);
  } else if (steering_.is_probing()) {
    look_after_targets(now);
  }
}

void SteeringTask::check_expectations_later(Instant now) {
  const std::optional<Instant> next = steering_.next_reply_deadline();
  if (checks_later_ || !next) {
    return;
  }
  checks_later_ = true;
  const Duration wait = std::max<Duration>(*next - now, kLeastWait);
  loop_.after(wait, [this] {
    checks_later_ = false;
    check_expectations(monotonic_now());
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

void SteeringTask::look_after_targets(Instant now) {
  send_probes(now);
  judge_zone_paths(now);
  const std::vector<UnreachableTarget> unreachable = steering_.evaluate_reachability(now);
  for (const auto& one : unreachable) {
    on_unreachable(one);
  }
  for (const TargetId target : steering_.take_restored()) {
    log_event(LogEvent::kTargetReachable, {{"target", target}});
  }
  if (!unreachable.empty()) {
    socket_->flush();
    report_soon();
  }
  if (steering_.is_probing() && !steps_probes_) {
    steps_probes_ = true;
    loop_.after(TargetReachability::kStepInterval, [this] { step_probes(); });
  }
}

void SteeringTask::report_soon() {
  // Others with flows there should look for themselves soon. The control client may be up the
  // stack, with an answer that it has not noted yet: it goes on in the next turn.
  if (reports_soon_) {
    return;
  }
  reports_soon_ = true;
  const auto report = [this] {
    reports_soon_ = false;
    reported_at_ = monotonic_now();
    control_.on_tick(0, reported_at_);
  };
  const Duration rest = reported_at_ + kUrgentPause - monotonic_now();
  if (rest > Duration::zero()) {
    loop_.after(rest, report);
  } else {
    loop_.post(report);
  }
}

void SteeringTask::step_probes() {
  steps_probes_ = false;
  look_after_targets(monotonic_now());
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

void SteeringTask::judge_zone_paths(Instant now) {
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
    report_soon();
  }
}

void SteeringTask::on_target_health(const std::vector<TargetHealth>& figures) {
  const Instant now = monotonic_now();
  steering_.set_target_health(figures, now);
  look_after_targets(now);
}

void SteeringTask::on_refusing(const RefusingTargets& refusing, Instant now) {
  steering_.on_refusing(refusing, now);
  probe_soon(now);
  log_event(LogEvent::kTargetsRefusing,
            {{"zone", refusing.zone}, {"targets", refusing.targets.size()}});
}

void SteeringTask::release_held(Instant now) {
  if (held_.size() == 0) {
    return;
  }
  held_.release(steering_, now,
                [&](const BufferedPacket& held) { return decide(held.packet, held.bytes, now); });
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
    ++counters_.messages_refused;
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
  look_after_targets(now);
  control_.on_tick(0, now);
  log_warm_up(now);
  log_freshness(now);
  flush_log();
  if (is_ready() != was_ready_) {
    was_ready_ = !was_ready_;
    log_event(was_ready_ ? LogEvent::kReady : LogEvent::kNotReady,
              {{"revision", control_.fleet().revision}});
  }
  if (!stop_since_) {
    return;
  }
  const bool turned_away = now - *stop_since_ > kTurnAwayTime;
  const bool silent = now - last_packet_ > kSilenceBeforeStop;
  const bool has_sent_all = link_.scheduler().queued_packets() == 0;
  if ((turned_away && silent && has_sent_all) || now - *stop_since_ > config_.stop_time) {
    log_event(LogEvent::kStopped);
    loop_.stop();
  }
}

void SteeringTask::send_control(const Endpoint& replica, const NodeMessage& message) {
  network_.send(replica, envelope_.seal(message), true);
}

void SteeringTask::on_replica_silent(const Endpoint& replica) {
  log_replica_silent(replica);
  network_.drop(replica);
}

void SteeringTask::on_updates_overdue(const Endpoint& replica, Revision revisions) {
  log_behind(replica, revisions, control_.fleet().revision);
}

void SteeringTask::on_replica_chosen(const Endpoint& replica, Revision held) {
  log_replica_chosen(replica, held, control_.fleet().revision);
}

void SteeringTask::on_update_refused(const RefusedUpdate& refused) {
  ++counters_.updates_refused;
  log_update_refused(refused, control_.fleet().revision);
}

Duration SteeringTask::state_age(Instant now) const {
  return now - control_.confirmed_at().value_or(started_at_);
}

void SteeringTask::log_warm_up(Instant now) {
  const std::vector<TargetId> cooled = steering_.take_newly_cold();
  if (!cooled.empty()) {
    log_event(LogEvent::kWarmUpBegan, {{"targets", cooled.size()},
                                       {"first", cooled.front()},
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

void SteeringTask::log_freshness(Instant now) {
  const Duration age = state_age(now);
  const bool is_unconfirmed = age > kUnconfirmedLogged;
  if (is_unconfirmed == told_unconfirmed_ || !control_.confirmed_at()) {
    return;
  }
  told_unconfirmed_ = is_unconfirmed;
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
                                         {"held_packets", held_.size()}});
  log_evacuations(fleet);
  release_held(now);
}

void SteeringTask::log_evacuations(const FleetState& fleet) {
  const std::vector<EvacuatedZone>& present = fleet.steering.evacuated_zones;
  for (const auto& before : logged_evacuations_) {
    if (std::find(present.begin(), present.end(), before) == present.end()) {
      log_event(LogEvent::kZoneRestored, {{"zone", before.zone}, {"revision", fleet.revision}});
    }
  }
  for (const auto& evacuated : present) {
    if (std::find(logged_evacuations_.begin(), logged_evacuations_.end(), evacuated) ==
        logged_evacuations_.end()) {
      log_event(LogEvent::kZoneEvacuated,
                {{"zone", evacuated.zone}, {"revision", evacuated.since}});
    }
  }
  logged_evacuations_ = present;
}

void SteeringTask::on_confirmed(Instant now) {
  steering_.confirm(now);
  log_event(LogEvent::kRevisionConfirmed,
            {{"revision", control_.fleet().revision}, {"held_packets", held_.size()}});
  release_held(now);
}

}  // namespace gorsevalve
