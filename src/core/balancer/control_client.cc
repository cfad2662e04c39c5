#include "core/balancer/control_client.h"

#include <algorithm>
#include <utility>

#include "core/control/timing.h"

namespace gorsevalve {
namespace {

constexpr std::size_t kMaxPendingHeartbeats = 64;
/// Interval between heartbeats to replicas whose zone is unknown, and to the preferred replica
/// while another one is chosen.
constexpr Duration kProbeInterval = std::chrono::seconds(5);
/// A process that waits this long for admission may have been admitted and removed before it
/// received an update. Its incarnation would never be admitted again.
constexpr Duration kAdmissionTimeout = std::chrono::seconds(20);
/// Interval between two requests for a lost update.
constexpr Duration kRepairInterval = std::chrono::milliseconds(300);
/// Maximum age of the last confirmation by the chosen replica: three heartbeat intervals of an
/// observer, and half of the shortest time within which a change must be applied.
constexpr Duration kFreshnessTimeout = std::chrono::milliseconds(1500);
/// Interval between heartbeats to a replica that is not current, which sends a reply once it is.
/// Otherwise hundreds of balancers would delay the election after all replicas restarted.
/// Below the usual heartbeat interval, so that it affects starting observers only.
constexpr Duration kNotCurrentBackoff = std::chrono::milliseconds(450);
/// Minimum interval between update requests to replicas that are not current. It leaves time for a
/// snapshot to arrive over a low-bandwidth link, which takes 0.2 s.
constexpr Duration kUpdateRequestInterval = std::chrono::milliseconds(300);

}  // namespace

std::string_view to_string(UpdateRejection reason) {
  switch (reason) {
    case UpdateRejection::kGap:
      return "gap";
    case UpdateRejection::kDigest:
      return "digest";
    case UpdateRejection::kOlder:
      return "older";
  }
  return "unknown";
}

ControlClient::ControlClient(const Member& self, std::vector<Endpoint> replicas, FleetState stored,
                             ControlClientOutput& output)
    : self_(self),
      selector_(self.address, self.zone, std::move(replicas)),
      output_(output),
      fleet_(std::move(stored)),
      digest_(fleet_),
      revision_floor_(fleet_.revision),
      sequence_(self.incarnation) {
  freshness_.on_applied(fleet_.revision);
}

std::optional<Endpoint> ControlClient::replica() const {
  return selector_.is_searching() ? std::nullopt : std::optional(selector_.chosen());
}

void ControlClient::on_message(const Endpoint& from, const NodeMessage& message, Instant now) {
  if (faults_.trust_any_message && replica() == from) {
    last_reply_at_ = now;
    subscribed_since_ = now;
  }
  if (const auto* reply = std::get_if<HeartbeatReply>(&message)) {
    on_reply(from, *reply, now);
  } else if (const auto* update = std::get_if<FleetUpdate>(&message)) {
    on_update(from, *update, now);
  } else if (const auto* health_update = std::get_if<TargetHealthUpdate>(&message)) {
    apply_target_health(*health_update);
  } else if (const auto* refusing = std::get_if<RefusingTargets>(&message)) {
    output_.on_refusing(*refusing, now);
  }
}

void ControlClient::on_reply(const Endpoint& from, const HeartbeatReply& reply, Instant now) {
  const auto sent = heartbeats_sent_.find(reply.sequence);
  if (sent == heartbeats_sent_.end()) {
    return;
  }
  const Instant sent_at = sent->second;
  const Instant until = sent_at + std::chrono::milliseconds(reply.lease_ms);
  lease_until_ = std::max(lease_until_, until);
  output_.on_lease(lease_until_);
  may_stop_ = may_stop_ || (reply.may_stop && self_.state == MemberState::kLeaving);
  if (reply.is_current) {
    current_revision_ = std::max(current_revision_.value_or(0), reply.revision);
    freshness_.on_current_reply(sent_at, reply.revision);
  }
  if (reply.health) {
    apply_target_health(*reply.health);
  }
  output_.on_rank(reply.rank, now);
  check_confirmed(now);
  // Only the chosen replica counts; a late reply of another one must not extend the timeout.
  if (!selector_.is_searching() && from == selector_.chosen()) {
    last_reply_at_ = now;
  }
  evaluate_replica(from, reply, now);
}

void ControlClient::apply_target_health(const TargetHealthUpdate& health_update) {
  health_version_ = health_update.version;
  output_.on_target_health(health_update.targets);
}

void ControlClient::check_confirmed(Instant now) {
  if (!has_been_current_ && current_revision_ && fleet_.revision >= *current_revision_) {
    has_been_current_ = true;
    output_.on_confirmed(now);
  }
}

void ControlClient::evaluate_replica(const Endpoint& from, const HeartbeatReply& reply,
                                     Instant now) {
  selector_.set_zone(from, reply.zone);
  const bool was_searching = selector_.is_searching();
  if (!reply.is_current) {
    not_current_at_[from] = now;
    // This replica may be partitioned from the others. The search starts with the next heartbeat.
    if (!was_searching && from == selector_.chosen() && is_observer()) {
      begin_search();
    }
    // Its state is newer than the one applied here.
    if (was_searching && reply.revision > fleet_.revision) {
      request_update(from, now);
    }
    return;
  }
  not_current_at_.clear();
  if (was_searching || from == selector_.preferred()) {
    subscribe_to(from, reply.revision, now);
  }
  if (was_searching) {
    // Subscribes to the updates of this replica.
    send_heartbeat(from, true, now);
  }
  if (from == selector_.chosen()) {
    selector_.set_replicas(reply.replicas);
  }
}

void ControlClient::subscribe_to(const Endpoint& replica, Revision held_revision, Instant now) {
  const bool is_other = selector_.is_searching() || selector_.chosen() != replica;
  selector_.choose(replica);
  last_reply_at_ = now;
  if (is_other) {
    subscribed_since_ = now;
    output_.on_replica_chosen(replica, held_revision);
  }
}

void ControlClient::begin_search() {
  selector_.begin_search();
  ++session_;
}

bool ControlClient::will_notify(const Endpoint& replica, Instant now) const {
  const auto found = not_current_at_.find(replica);
  return found != not_current_at_.end() && now - found->second < kNotCurrentBackoff;
}

void ControlClient::request_update(const Endpoint& replica, Instant now) {
  if (update_requested_at_ && now - *update_requested_at_ < kUpdateRequestInterval) {
    return;
  }
  update_requested_at_ = now;
  send_heartbeat(replica, true, now);
}

bool ControlClient::is_member(const FleetState& fleet) const {
  return std::any_of(fleet.members.begin(), fleet.members.end(), [&](const Member& member) {
    return member.address == self_.address && member.incarnation == self_.incarnation;
  });
}

void ControlClient::check_reply_timeout(Instant now) {
  if (selector_.is_searching() || now - last_reply_at_ <= timing_.replica_timeout) {
    return;
  }
  output_.on_replica_timed_out(selector_.chosen());
  begin_search();
  next_heartbeat_ = now;
}

void ControlClient::check_freshness(Instant now) {
  const Instant confirmed =
      std::max(freshness_.confirmed_at().value_or(Instant{}), subscribed_since_);
  if (selector_.is_searching() || now - confirmed <= kFreshnessTimeout) {
    return;
  }
  output_.on_updates_overdue(selector_.chosen(), revisions_behind());
  begin_search();
  next_heartbeat_ = now;
}

void ControlClient::on_gap(const Endpoint& from, Revision base, Instant now) {
  has_gap_ = true;
  if (now < next_repair_) {
    return;
  }
  next_repair_ = now + kRepairInterval;
  output_.on_update_rejected({from, base, UpdateRejection::kGap});
  send_heartbeat(from, true, now);
}

void ControlClient::on_update(const Endpoint& from, const FleetUpdate& update, Instant now) {
  if (!update.is_snapshot && !update.deltas.empty() &&
      update.deltas.front().base > fleet_.revision) {
    on_gap(from, update.deltas.front().base, now);
    return;
  }
  const bool changes_members =
      std::any_of(update.deltas.begin(), update.deltas.end(),
                  [](const FleetDelta& delta) { return delta.members.has_value(); });
  if (update.is_snapshot) {
    apply_snapshot(from, update, now);
  } else if (changes_members) {
    apply_member_deltas(from, update, now);
  } else {
    apply_deltas(from, update, now);
  }
}

void ControlClient::apply_snapshot(const Endpoint& from, const FleetUpdate& update, Instant now) {
  // An older state never replaces a newer one. A snapshot of the same revision replaces a state
  // whose digest was wrong.
  const bool is_older =
      update.snapshot.revision < revision_floor_ && !faults_.ignore_revision_floor;
  const FleetDigest digest(update.snapshot);
  if (is_older) {
    output_.on_update_rejected({from, update.snapshot.revision, UpdateRejection::kOlder});
    return;
  }
  if (digest.value(update.snapshot) != update.digest) {
    output_.on_update_rejected({from, update.snapshot.revision, UpdateRejection::kDigest});
    return;
  }
  adopt(update.snapshot, digest, now);
}

void ControlClient::apply_deltas(const Endpoint& from, const FleetUpdate& update, Instant now) {
  std::vector<FleetDelta> applied;
  for (const auto& delta : update.deltas) {
    if (apply_delta(fleet_, delta, digest_)) {
      applied.push_back(delta);
    }
  }
  if (applied.empty()) {
    return;
  }
  if (digest_.value(fleet_) != update.digest) {
    // The state that was applied remains in effect; a snapshot is requested.
    output_.on_update_rejected({from, update.deltas.front().base, UpdateRejection::kDigest});
    fleet_ = {};
    digest_ = FleetDigest(fleet_);
    has_gap_ = true;
    next_heartbeat_ = now;
    return;
  }
  revision_floor_ = fleet_.revision;
  freshness_.on_applied(fleet_.revision);
  output_.on_deltas(fleet_, applied, now);
  on_adopted(now);
}

void ControlClient::apply_member_deltas(const Endpoint& from, const FleetUpdate& update,
                                        Instant now) {
  // Each membership is applied separately, since a handover follows each of them.
  std::vector<std::pair<FleetState, FleetDigest>> steps;
  FleetState next = fleet_;
  FleetDigest digest = digest_;
  for (const auto& delta : update.deltas) {
    if (apply_delta(next, delta, digest) && delta.members) {
      steps.emplace_back(next, digest);
    }
  }
  if (next.revision == fleet_.revision) {
    return;
  }
  if (digest.value(next) != update.digest) {
    output_.on_update_rejected({from, update.deltas.front().base, UpdateRejection::kDigest});
    return;
  }
  if (!steps.empty() && steps.back().first.revision == next.revision) {
    steps.pop_back();
  }
  for (auto& [state, step_digest] : steps) {
    adopt(std::move(state), step_digest, now);
  }
  adopt(std::move(next), digest, now);
}

void ControlClient::adopt(FleetState next, const FleetDigest& digest, Instant now) {
  const bool was_member = is_member(fleet_);
  const bool skipped_memberships = next.members_epoch > fleet_.members_epoch + 1;
  const bool was_removed = was_member && (!is_member(next) || skipped_memberships);
  fleet_ = std::move(next);
  digest_ = digest;
  revision_floor_ = fleet_.revision;
  freshness_.on_applied(fleet_.revision);
  if (was_removed && self_.state == MemberState::kActive) {
    output_.on_removed(now);
  }
  output_.on_fleet(fleet_, now);
  on_adopted(now);
}

void ControlClient::on_adopted(Instant now) {
  has_gap_ = false;
  update_requested_at_.reset();
  check_confirmed(now);
  const bool is_new_member = is_member(fleet_) && lease_until_ <= now;
  if (is_new_member || (is_observer() && !has_been_current_)) {
    // A new member has no lease yet, and an observer does not know whether this state is the
    // newest. Both send a heartbeat at once.
    settled_revision_ = 0;
    send_heartbeats(now);
  }
}

void ControlClient::rejoin(std::uint64_t incarnation) {
  self_.incarnation = incarnation;
  lease_until_ = Instant{};
  reported_settled_ = 0;
  heartbeats_sent_.clear();
}

void ControlClient::send_heartbeat(const Endpoint& replica, bool wants_update, Instant now) {
  NodeHeartbeat heartbeat;
  heartbeat.sequence = ++sequence_;
  heartbeat.member = self_;
  heartbeat.revision = fleet_.revision;
  heartbeat.digest = digest_.value(fleet_);
  heartbeat.settled_revision = settled_revision_;
  heartbeat.wants_update = wants_update;
  heartbeat.health_version = health_version_;
  heartbeat.has_gap = has_gap_;
  heartbeat.session = session_;
  if (wants_update && !selector_.is_searching()) {
    heartbeat.observations = output_.take_observations();
  }
  heartbeats_sent_[heartbeat.sequence] = now;
  if (heartbeats_sent_.size() > kMaxPendingHeartbeats) {
    heartbeats_sent_.erase(heartbeats_sent_.begin());
  }
  output_.send_control(replica, heartbeat);
}

void ControlClient::send_heartbeats(Instant now) {
  if (selector_.is_searching()) {
    // Only the preferred replica is asked for updates, since all of them would send the same state.
    // Without any state, none is asked: the first to reply is then asked for a snapshot.
    const bool has_state = fleet_.revision > 0;
    for (const auto& replica : selector_.candidates()) {
      if (!will_notify(replica, now)) {
        send_heartbeat(replica, has_state && replica == selector_.preferred(), now);
      }
    }
    return;
  }
  send_heartbeat(selector_.chosen(), true, now);
  if (now >= next_probe_) {
    next_probe_ = now + kProbeInterval;
    probe(now);
  }
}

void ControlClient::probe(Instant now) {
  std::vector<Endpoint> recipients = selector_.with_unknown_zone();
  const Endpoint preferred_replica = selector_.preferred();
  if (preferred_replica != selector_.chosen() &&
      std::find(recipients.begin(), recipients.end(), preferred_replica) == recipients.end()) {
    recipients.push_back(preferred_replica);
  }
  for (const auto& replica : recipients) {
    send_heartbeat(replica, false, now);
  }
}

void ControlClient::check_admission(Instant now) {
  const bool waits =
      self_.state == MemberState::kActive && fleet_.revision > 0 && !is_member(fleet_);
  if (!waits) {
    not_member_since_.reset();
    return;
  }
  not_member_since_ = not_member_since_.value_or(now);
  if (now - *not_member_since_ > kAdmissionTimeout) {
    not_member_since_ = now;
    output_.on_removed(now);
  }
}

void ControlClient::on_tick(Revision settled_revision, Instant now) {
  if (selector_.candidates().empty()) {
    return;
  }
  check_admission(now);
  check_reply_timeout(now);
  check_freshness(now);
  // Progress is reported at once, since a pending membership change may wait for it.
  const bool progress = settled_revision != reported_settled_ && settled_revision != 0;
  const bool is_urgent = !selector_.is_searching() && output_.has_urgent_observations();
  if (now >= next_heartbeat_ || progress || is_urgent) {
    const bool is_starting = is_observer() && !has_been_current_;
    next_heartbeat_ = now + (is_starting ? timing_.starting_interval : timing_.heartbeat_interval);
    settled_revision_ = settled_revision;
    reported_settled_ = settled_revision;
    send_heartbeats(now);
  }
}

}  // namespace gorsevalve
