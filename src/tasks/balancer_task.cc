#include "tasks/balancer_task.h"

#include <algorithm>
#include <array>

#include "codec/archive.h"
#include "storage/log_store.h"
#include "tasks/log.h"
#include "tasks/random_number.h"
#include "tasks/subscription_log.h"

namespace gorsevalve {
namespace {

constexpr const char* kFleetFile = "fleet";
/// Reads the stored fleet state. A missing or damaged file gives an empty state, which the control
/// replicas then replace.
FleetState read_fleet(Disk* disk) {
  if (disk == nullptr) {
    return {};
  }
  const auto names = disk->list();
  if (!names || std::find(names->begin(), names->end(), kFleetFile) == names->end()) {
    return {};
  }
  const auto bytes = disk->read(kFleetFile);
  const auto body = bytes ? decode_frame(*bytes) : std::nullopt;
  return body ? decode_archive<FleetState>(*body).value_or(FleetState{}) : FleetState{};
}

}  // namespace

tl::expected<std::unique_ptr<BalancerTask>, std::string> BalancerTask::open(
    EventLoop& loop, BalancerTaskConfig config, Disk* disk) {
  auto socket = UdpSocket::open(loop, config.listen.value_or(config.self.address));
  if (!socket) {
    return tl::unexpected(socket.error());
  }
  std::unique_ptr<BalancerTask> task(
      new BalancerTask(loop, std::move(config), disk, read_fleet(disk)));
  task->socket_ = std::move(*socket);
  task->start();
  return task;
}

BalancerTask::BalancerTask(EventLoop& loop, BalancerTaskConfig config, Disk* disk,
                           FleetState stored)
    : loop_(loop),
      config_(std::move(config)),
      disk_(disk),
      envelope_(config_.cluster, config_.keys, config_.self.address, config_.self.incarnation),
      balancer_(std::make_unique<Balancer>(BalancerConfig{config_.self, {}},
                                           static_cast<BalancerOutput&>(*this))),
      control_(config_.self, config_.control, std::move(stored), *this),
      network_(loop, [this](ByteView frame) { return on_frame(frame); }) {}

void BalancerTask::start() {
  if (control_.fleet().revision > 0) {
    balancer_->on_fleet(control_.fleet(), monotonic_now());
  }
  socket_->start([this](ByteView datagram, const Endpoint& /*from*/) { on_datagram(datagram); });
  loop_.every(Balancer::kTickInterval, [this] { on_tick(); });
}

void BalancerTask::on_datagram(ByteView datagram) {
  if (!Envelope::has_envelope_magic(datagram)) {
    balancer_->on_datagram(datagram, monotonic_now());
    return;
  }
  const auto opened = envelope_.open(datagram);
  if (!opened || opened->kind != MessageKind::kPeer) {
    ++messages_rejected_;
    return;
  }
  balancer_->on_peer_message(opened->sender, std::get<PeerMessage>(opened->message),
                             monotonic_now());
}

std::optional<Endpoint> BalancerTask::on_frame(ByteView frame) {
  const auto opened = envelope_.open(frame);
  if (!opened || opened->kind != MessageKind::kNode) {
    ++messages_rejected_;
    return std::nullopt;
  }
  control_.on_message(opened->sender, std::get<NodeMessage>(opened->message), monotonic_now());
  return opened->sender;
}

void BalancerTask::on_tick() {
  const Instant now = monotonic_now();
  balancer_->on_tick(now);
  control_.on_tick(balancer_->settled_revision(), now);
  socket_->flush();
  flush_log();
  if (shutdown_.on_tick(control_.may_stop() && balancer_->has_released_all(now), now)) {
    log_event(LogEvent::kStopped);
    loop_.stop();
  }
}

void BalancerTask::leave() {
  shutdown_.begin();
  control_.leave();
  log_event(LogEvent::kLeaving);
}

BalancerStatus BalancerTask::status() const {
  BalancerStatus result;
  result.counters = balancer_->counters();
  result.revision = balancer_->revision();
  result.settled_revision = balancer_->settled_revision();
  result.digest = fleet_digest(control_.fleet());
  result.flows = balancer_->flow_count();
  result.requests = balancer_->request_count();
  result.messages_rejected = messages_rejected_;
  result.zones_evacuated = control_.fleet().steering.evacuated_zones.size();
  return result;
}

std::vector<Target> BalancerTask::polled_targets() const {
  std::vector<Target> targets;
  if (balancer_->view() == nullptr) {
    return targets;
  }
  for (const auto& service : balancer_->view()->state().settings.services) {
    for (const auto& target : service.targets) {
      if (target.health.port != 0) {
        targets.push_back(target);
      }
    }
  }
  return targets;
}

void BalancerTask::on_target_report(const TargetReport& report) {
  balancer_->on_target_report(report, monotonic_now());
}

void BalancerTask::send_to_client(const FlowKey& flow, ByteView message) {
  std::array<std::uint8_t, kMaxProxyHeaderSize> head{};
  const std::size_t size = encode_proxy_header({flow, {}, {}, {}}, head.data());
  socket_->send(config_.egress, ByteView(head.data(), size), message);
}

void BalancerTask::send_to_target(const Endpoint& target, const ProxyHeader& header,
                                  ByteView message) {
  std::array<std::uint8_t, kMaxProxyHeaderSize> head{};
  const std::size_t size = encode_proxy_header(header, head.data());
  socket_->send(target, ByteView(head.data(), size), message);
}

void BalancerTask::relay(const Endpoint& peer, const ProxyHeader& header, ByteView payload) {
  send_to_target(peer, header, payload);
}

void BalancerTask::send_peer(const Endpoint& peer, const PeerMessage& message) {
  socket_->send(peer, envelope_.seal(message));
}

void BalancerTask::send_control(const Endpoint& replica, const NodeMessage& message) {
  network_.send(replica, envelope_.seal(message), true);
}

void BalancerTask::on_fleet(const FleetState& fleet, Instant now) {
  if (disk_ != nullptr) {
    const auto written = disk_->replace(kFleetFile, encode_frame(encode_archive(fleet)));
    if (!written) {
      // The stored copy only speeds up the next start: the control replicas hold the state.
      log_event(LogEvent::kFleetNotKept, {{"error", written.error().message}});
    }
  }
  balancer_->on_fleet(fleet, now);
  log_event(LogEvent::kRevisionInForce, {{"revision", fleet.revision},
                                         {"settings_revision", fleet.settings_revision},
                                         {"members", fleet.members.size()}});
}

void BalancerTask::on_removed(Instant /*now*/) {
  config_.self.incarnation = random_number();
  balancer_ = std::make_unique<Balancer>(BalancerConfig{config_.self, {}},
                                         static_cast<BalancerOutput&>(*this));
  control_.rejoin(config_.self.incarnation);
  log_event(LogEvent::kExpelledAndRejoining);
}

void BalancerTask::on_replica_chosen(const Endpoint& replica, Revision replica_revision) {
  log_replica_chosen(replica, replica_revision, control_.fleet().revision);
}

void BalancerTask::on_replica_timed_out(const Endpoint& replica) {
  log_replica_silent(replica);
  network_.disconnect(replica);
}

void BalancerTask::on_updates_overdue(const Endpoint& replica, Revision revisions) {
  log_updates_overdue(replica, revisions, control_.fleet().revision);
}

void BalancerTask::on_update_rejected(const RejectedUpdate& refused) {
  log_update_rejected(refused, control_.fleet().revision);
}

void BalancerTask::on_lease(Instant until) { balancer_->on_lease(until); }

}  // namespace gorsevalve
