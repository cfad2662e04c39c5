#include "core/balancer/control_client.h"

#include <algorithm>

#include "core/control/timing.h"

namespace gorsevalve {
namespace {

constexpr std::size_t kHeartbeatsRemembered = 16;
/// A replica that is silent for this long is left for the next one.
constexpr Duration kReplicaTimeout = std::chrono::milliseconds(1500);

}  // namespace

ControlClient::ControlClient(Member self, std::vector<Endpoint> replicas, FleetState stored,
                             ControlClientOutput& output)
    : self_(std::move(self)),
      replicas_(std::move(replicas)),
      output_(output),
      fleet_(std::move(stored)),
      digest_(fleet_digest(fleet_)) {
  // Nodes spread over the replicas by their address.
  replica_ = replicas_.empty() ? 0 : packed(self_.address) % replicas_.size();
}

void ControlClient::on_message(const Endpoint& /*from*/, const NodeMessage& message, Instant now) {
  last_heard_ = now;
  if (const auto* reply = std::get_if<HeartbeatReply>(&message)) {
    on_reply(*reply, now);
  } else if (const auto* update = std::get_if<FleetUpdate>(&message)) {
    on_update(*update, now);
  }
}

void ControlClient::on_reply(const HeartbeatReply& reply, Instant /*now*/) {
  const auto sent = heartbeats_sent_.find(reply.sequence);
  if (sent == heartbeats_sent_.end()) {
    return;
  }
  const Instant until = sent->second + std::chrono::milliseconds(reply.lease_ms);
  lease_until_ = std::max(lease_until_, until);
  output_.on_lease(lease_until_);
  may_stop_ = may_stop_ || (reply.may_stop && self_.state == MemberState::kLeaving);
}

void ControlClient::on_update(const FleetUpdate& update, Instant now) {
  FleetState next = fleet_;
  if (update.is_whole) {
    next = update.whole;
  } else {
    for (const auto& delta : update.deltas) {
      apply_delta(next, delta);
    }
  }
  // An older state never replaces a newer one. A whole state of the same revision repairs one whose
  // digest was wrong.
  const bool newer = next.revision > fleet_.revision;
  const bool repairs = update.is_whole && next.revision == fleet_.revision;
  const std::uint64_t digest = fleet_digest(next);
  if ((!newer && !repairs) || digest != update.digest) {
    return;
  }
  fleet_ = std::move(next);
  digest_ = digest;
  output_.on_fleet(fleet_, now);
}

void ControlClient::send_heartbeat(Revision settled_revision, Instant now) {
  NodeHeartbeat heartbeat;
  heartbeat.sequence = ++sequence_;
  heartbeat.member = self_;
  heartbeat.revision = fleet_.revision;
  heartbeat.digest = digest_;
  heartbeat.settled_revision = settled_revision;
  heartbeats_sent_[heartbeat.sequence] = now;
  if (heartbeats_sent_.size() > kHeartbeatsRemembered) {
    heartbeats_sent_.erase(heartbeats_sent_.begin());
  }
  output_.send_control(replicas_[replica_], heartbeat);
}

void ControlClient::on_tick(Revision settled_revision, Instant now) {
  if (replicas_.empty()) {
    return;
  }
  if (sequence_ == 0) {
    last_heard_ = now;
  }
  if (now - last_heard_ > kReplicaTimeout) {
    replica_ = (replica_ + 1) % replicas_.size();
    last_heard_ = now;
    next_heartbeat_ = now;
  }
  // Progress is told at once, so that a change that waits for it goes on.
  const bool progress = settled_revision != reported_settled_ && settled_revision != 0;
  if (now >= next_heartbeat_ || progress) {
    next_heartbeat_ = now + control_timing::kHeartbeatInterval;
    reported_settled_ = settled_revision;
    send_heartbeat(settled_revision, now);
  }
}

}  // namespace gorsevalve
