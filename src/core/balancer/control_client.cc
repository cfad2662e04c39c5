#include "core/balancer/control_client.h"

#include <algorithm>
#include <utility>

#include "core/control/timing.h"

namespace gorsevalve {
namespace {

constexpr std::size_t kHeartbeatsRemembered = 16;
/// A process that is not admitted for this long was perhaps admitted and removed before it heard of
/// it; under its present incarnation it would never be admitted again.
constexpr Duration kAdmissionTimeout = std::chrono::seconds(20);

}  // namespace

ControlClient::ControlClient(Member self, std::vector<Endpoint> replicas, FleetState stored,
                             ControlClientOutput& output)
    : self_(std::move(self)),
      replicas_(std::move(replicas)),
      output_(output),
      fleet_(std::move(stored)),
      digest_(fleet_digest(fleet_)) {
  seeds_ = replicas_;
  // Nodes spread over the replicas by their address.
  replica_ = replicas_.empty() ? 0 : packed(self_.address) % replicas_.size();
}

void ControlClient::on_message(const Endpoint& from, const NodeMessage& message, Instant now) {
  // Only the replica that is asked now counts as heard: one that answers late is not waited for.
  const bool is_observer = self_.state == MemberState::kObserver;
  if (!is_observer || (!replicas_.empty() && from == replicas_[replica_])) {
    last_heard_ = now;
  }
  if (const auto* reply = std::get_if<HeartbeatReply>(&message)) {
    on_reply(*reply, now);
  } else if (const auto* update = std::get_if<FleetUpdate>(&message)) {
    on_update(*update, now);
  }
}

void ControlClient::take_replicas(const std::vector<Endpoint>& replicas) {
  if (replicas.empty() || replicas == replicas_) {
    return;
  }
  const Endpoint present = replicas_[replica_];
  replicas_ = replicas;
  const auto found = std::find(replicas_.begin(), replicas_.end(), present);
  replica_ = found == replicas_.end() ? 0 : static_cast<std::size_t>(found - replicas_.begin());
}

void ControlClient::set_seeds(const std::vector<Endpoint>& seeds) {
  if (seeds == seeds_ || seeds.empty()) {
    return;
  }
  seeds_ = seeds;
  for (const auto& seed : seeds) {
    if (std::find(replicas_.begin(), replicas_.end(), seed) == replicas_.end()) {
      replicas_.push_back(seed);
    }
  }
}

void ControlClient::next_replica(Instant now) {
  replica_ = (replica_ + 1) % replicas_.size();
  if (replica_ == 0) {
    // All were asked in vain: the seeds may name others.
    const std::vector<Endpoint> seeds = std::exchange(seeds_, {});
    set_seeds(seeds);
  }
  last_heard_ = now;
  next_heartbeat_ = now;
}

void ControlClient::on_reply(const HeartbeatReply& reply, Instant now) {
  const auto sent = heartbeats_sent_.find(reply.sequence);
  if (sent == heartbeats_sent_.end()) {
    return;
  }
  const Instant until = sent->second + std::chrono::milliseconds(reply.lease_ms);
  lease_until_ = std::max(lease_until_, until);
  output_.on_lease(lease_until_);
  may_stop_ = may_stop_ || (reply.may_stop && self_.state == MemberState::kLeaving);
  if (reply.is_current && fleet_.revision >= reply.revision) {
    has_been_current_ = true;
    current_at_ = std::max(current_at_, sent->second);
  }
  if (self_.state != MemberState::kObserver) {
    return;
  }
  if (reply.is_current) {
    take_replicas(reply.replicas);
  } else {
    // This replica may be cut off from the others: ask the next one, not sooner than usual.
    const Instant next = next_heartbeat_;
    next_replica(now);
    next_heartbeat_ = next;
  }
}

bool ControlClient::is_member(const FleetState& fleet) const {
  return std::any_of(fleet.members.begin(), fleet.members.end(), [&](const Member& member) {
    return member.address == self_.address && member.incarnation == self_.incarnation;
  });
}

void ControlClient::on_update(const FleetUpdate& update, Instant now) {
  // The steps are kept apart where the members change, since a handover follows each of them.
  std::vector<FleetState> steps;
  FleetState next = fleet_;
  if (update.is_whole) {
    next = update.whole;
  } else {
    for (const auto& delta : update.deltas) {
      if (apply_delta(next, delta) && delta.members) {
        steps.push_back(next);
      }
    }
  }
  // An older state never replaces a newer one. A whole state of the same revision repairs one whose
  // digest was wrong.
  const bool newer = next.revision > fleet_.revision;
  const bool repairs = update.is_whole && next.revision == fleet_.revision;
  if ((!newer && !repairs && !faults_.ignore_revision_floor) ||
      fleet_digest(next) != update.digest) {
    return;
  }
  if (!steps.empty() && steps.back().revision == next.revision) {
    steps.pop_back();
  }
  for (auto& step : steps) {
    const std::uint64_t digest = fleet_digest(step);
    adopt(std::move(step), digest, now);
  }
  adopt(std::move(next), update.digest, now);
}

void ControlClient::adopt(FleetState next, std::uint64_t digest, Instant now) {
  const bool was_member = is_member(fleet_);
  const bool missed_members = next.members_epoch > fleet_.members_epoch + 1;
  const bool expelled = was_member && (!is_member(next) || missed_members);
  fleet_ = std::move(next);
  digest_ = digest;
  if (expelled && self_.state == MemberState::kActive) {
    output_.on_expelled(now);
  }
  output_.on_fleet(fleet_, now);
  if (self_.state == MemberState::kObserver && !has_been_current_) {
    // Only a heartbeat with this state shows whether it is the newest.
    send_heartbeat(0, now);
  }
  if (is_member(fleet_) && lease_until_ <= now) {
    // A new member has no lease yet: it asks at once.
    send_heartbeat(0, now);
  }
}

void ControlClient::rejoin(std::uint64_t incarnation) {
  self_.incarnation = incarnation;
  lease_until_ = Instant{};
  reported_settled_ = 0;
  heartbeats_sent_.clear();
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

void ControlClient::check_admission(Instant now) {
  const bool waits =
      self_.state == MemberState::kActive && fleet_.revision > 0 && !is_member(fleet_);
  if (!waits) {
    outside_since_.reset();
    return;
  }
  outside_since_ = outside_since_.value_or(now);
  if (now - *outside_since_ > kAdmissionTimeout) {
    outside_since_ = now;
    output_.on_expelled(now);
  }
}

void ControlClient::on_tick(Revision settled_revision, Instant now) {
  if (replicas_.empty()) {
    return;
  }
  check_admission(now);
  if (sequence_ == 0) {
    last_heard_ = now;
  }
  if (now - last_heard_ > timing_.replica_timeout) {
    output_.on_replica_silent(replicas_[replica_]);
    next_replica(now);
  }
  // Progress is told at once, so that a change that waits for it goes on.
  const bool progress = settled_revision != reported_settled_ && settled_revision != 0;
  if (now >= next_heartbeat_ || progress) {
    const bool is_starting = self_.state == MemberState::kObserver && !has_been_current_;
    next_heartbeat_ = now + (is_starting ? timing_.starting_interval : timing_.heartbeat_interval);
    reported_settled_ = settled_revision;
    send_heartbeat(settled_revision, now);
  }
}

}  // namespace gorsevalve
