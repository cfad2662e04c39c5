#include "sim/sim_balancer.h"

namespace gorsevalve {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(500);

}  // namespace

SimBalancer::SimBalancer(SimContext context, SimBalancerConfig config, HealthPoll poll)
    : SimProcess(context), config_(std::move(config)), poll_(std::move(poll)) {}

void SimBalancer::start() {
  begin_incarnation();
  shutdown_ = GracefulShutdown{};
  applied_at_.clear();
  const Member self = make_self(context().random.next());
  make_node(self);
  control_ = std::make_unique<ControlClient>(self, config_.control, stored_fleet_,
                                             static_cast<ControlClientOutput&>(*this));
  control_->set_faults(config_.client_faults);
  if (stored_fleet_.revision > 0) {
    node_->on_fleet(stored_fleet_, now());
  }
  run_every(Balancer::kTickInterval, [this] { on_tick(); });
  run_every(kPollInterval, [this] { poll_targets(); });
}

Member SimBalancer::make_self(std::uint64_t incarnation) const {
  Member self;
  self.name = config_.name;
  self.zone = config_.zone;
  self.address = config_.address;
  self.incarnation = incarnation;
  return self;
}

void SimBalancer::make_node(const Member& self) {
  node_ = make_balancer_node(config_.scheme, {self, config_.faults},
                             static_cast<BalancerOutput&>(*this));
}

void SimBalancer::kill() {
  if (is_up()) {
    past_counters_.push_back(node_->counters());
    end_incarnation();
  }
}

void SimBalancer::begin_shutdown(std::function<void()> when_stopped) {
  shutdown_.begin();
  on_stopped_ = std::move(when_stopped);
  control_->leave();
}

BalancerCounters SimBalancer::total_counters() const {
  BalancerCounters total = node_ == nullptr ? BalancerCounters{} : node_->counters();
  for (const auto& past : past_counters_) {
    total.datagrams_in += past.datagrams_in;
    total.datagrams_relayed += past.datagrams_relayed;
    total.requests += past.requests;
    for (std::size_t i = 0; i < kFailureReasonCount; ++i) {
      total.given_up[i] += past.given_up[i];
    }
  }
  return total;
}

void SimBalancer::handle(const SimMessage& message) {
  if (const auto* datagram = std::get_if<Bytes>(&message.body)) {
    node_->on_datagram(*datagram, now());
  } else if (const auto* peer = std::get_if<PeerMessage>(&message.body)) {
    node_->on_peer_message(message.from, *peer, now());
  } else if (const auto* control = std::get_if<NodeMessage>(&message.body)) {
    control_->on_message(message.from, *control, now());
  }
}

void SimBalancer::on_tick() {
  node_->on_tick(now());
  control_->on_tick(node_->settled_revision(), now());
  if (shutdown_.on_tick(control_->may_stop() && node_->has_released_all(now()), now())) {
    kill();
    on_stopped_();
  }
}

void SimBalancer::poll_targets() {
  for (const auto& service : control_->fleet().settings.services) {
    for (const auto& target : service.targets) {
      TargetReport failed;
      failed.target = target.address;
      failed.healthy = false;
      const bool reachable = context().network.is_reachable(config_.address, target.address);
      const auto report = reachable ? poll_(target.address) : std::nullopt;
      node_->on_target_report(report.value_or(failed), now());
    }
  }
}

void SimBalancer::send_to_client(const FlowKey& flow, ByteView message) {
  context().network.send_datagram(config_.address, flow.client,
                                  encode_proxy_datagram({flow, {}, {}, {}}, message),
                                  TrafficKind::kData);
}

void SimBalancer::send_to_target(const Endpoint& target, const ProxyHeader& header,
                                 ByteView message) {
  context().network.send_datagram(config_.address, target, encode_proxy_datagram(header, message),
                                  TrafficKind::kData);
}

void SimBalancer::relay(const Endpoint& peer, const ProxyHeader& header, ByteView payload) {
  context().network.send_datagram(config_.address, peer, encode_proxy_datagram(header, payload),
                                  TrafficKind::kRelay);
}

void SimBalancer::send_peer(const Endpoint& peer, const PeerMessage& message) {
  context().network.send_peer(config_.address, peer, message);
}

void SimBalancer::send_control(const Endpoint& replica, const NodeMessage& message) {
  context().network.send_node(config_.address, replica, message);
}

void SimBalancer::on_fleet(const FleetState& fleet, Instant now) {
  context().checker.on_revision(config_.name, stored_fleet_.revision, fleet.revision);
  context().checker.on_state(config_.name, fleet.revision, fleet_digest(fleet));
  stored_fleet_ = fleet;
  applied_at_.emplace(fleet.settings_revision, now);
  node_->on_fleet(fleet, now);
}

void SimBalancer::on_lease(Instant until) { node_->on_lease(until); }

void SimBalancer::on_removed(Instant now) {
  context().trace.note(now, config_.name + " was expelled");
  past_counters_.push_back(node_->counters());
  const std::uint64_t incarnation = context().random.next();
  make_node(make_self(incarnation));
  control_->rejoin(incarnation);
}

}  // namespace gorsevalve
