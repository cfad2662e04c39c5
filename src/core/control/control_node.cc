#include "core/control/control_node.h"

#include <algorithm>
#include <utility>

#include "codec/archive.h"
#include "core/control/timing.h"

namespace gorsevalve {
namespace {

constexpr std::size_t kMaxPendingReports = 16;
constexpr Duration kNodeExpiry = std::chrono::seconds(60);
/// Lifetime of a WaitingNode. A balancer that still waits repeats its heartbeat earlier.
constexpr Duration kWaitingExpiry = std::chrono::seconds(2);
/// A follower without an acknowledged report for this long rejects announcements and does not serve
/// members, because the leader may time out its targets and members. Equals three report intervals.
constexpr Duration kReportTimeout = 3 * control_timing::kHeartbeatInterval;
/// Interval between two versions of target health.
constexpr Duration kHealthInterval = std::chrono::milliseconds(2000);
/// Interval between two versions, and between two reports to the leader, after a target failure.
constexpr Duration kFailureReportInterval = std::chrono::milliseconds(100);
/// Low bits of a version that count the versions of one term.
constexpr unsigned kHealthVersionBits = 32;

}  // namespace

ControlNode::ControlNode(ReplicaConfig config, ReplicaSet first_replicas, StoredReplica stored,
                         std::uint32_t partitions, ReplicaStorage& storage, ControlOutput& output,
                         Instant now)
    : config_(config),
      state_(partitions),
      output_(output),
      replica_(std::make_unique<Replica>(std::move(config), std::move(first_replicas),
                                         std::move(stored), storage, output, state_, now)),
      publisher_(state_, nodes_, output_),
      // A random start keeps replies to an earlier process at this address from matching.
      report_sequence_(config_.random_seed) {}

void ControlNode::on_replica_message(const ReplicaMessage& message, Instant now) {
  replica_->on_message(message, now);
  publisher_.push(now);
  notify_waiting_nodes(now);
}

void ControlNode::on_node_message(const Endpoint& from, const NodeMessage& message, Instant now) {
  std::visit([&](const auto& body) { handle(from, body, now); }, message);
}

Duration ControlNode::remaining_lease(Instant now) const {
  if (replica_->is_leader()) {
    return replica_->has_lease(now) ? control_timing::kBalancerLease : Duration::zero();
  }
  if (!last_acknowledged_report_) {
    return Duration::zero();
  }
  return std::max(*last_acknowledged_report_ + control_timing::kBalancerLease - now,
                  Duration::zero());
}

HeartbeatReply ControlNode::reply_to(const NodeHeartbeat& heartbeat, Instant now) const {
  // Only current members are granted a lease.
  const auto& members = state_.fleet().members;
  const bool is_member = std::any_of(members.begin(), members.end(), [&](const Member& member) {
    return member.address == heartbeat.member.address &&
           member.incarnation == heartbeat.member.incarnation;
  });
  HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining_lease(now));
  reply.lease_ms = is_member ? static_cast<std::uint32_t>(remaining.count()) : 0;
  reply.may_stop = may_stop_.contains(heartbeat.member.address) ||
                   (!is_member && heartbeat.member.state == MemberState::kLeaving);
  reply.revision = state_.fleet().revision;
  // A balancer with a newer revision proves that this replica lags behind. Members need the
  // leader's acknowledgement for their lease; observers only need the state.
  const bool is_served = heartbeat.member.state == MemberState::kObserver || reaches_leader(now);
  reply.is_current = replica_->is_current(now) && is_served && heartbeat.revision <= reply.revision;
  reply.zone = zone_;
  for (const auto& replica : replica_->replicas().replicas) {
    reply.replicas.push_back(replica.address);
  }
  reply.health = health_update_since(heartbeat.health_version);
  reply.rank = ranking_.rank_of(heartbeat.member.address, now);
  return reply;
}

void ControlNode::notify_waiting_nodes(Instant now) {
  if (waiting_nodes_.empty() || !replica_->is_current(now)) {
    return;
  }
  std::erase_if(waiting_nodes_, [&](const auto& item) {
    const auto& [address, waiting] = item;
    const HeartbeatReply reply = reply_to(waiting.heartbeat, now);
    // Keep waiting if the balancer has a newer revision, or if the leader has not yet acknowledged
    // a report.
    if (reply.is_current) {
      output_.send_node(address, reply);
    }
    return reply.is_current;
  });
}

void ControlNode::handle(const Endpoint& from, const NodeHeartbeat& heartbeat, Instant now) {
  nodes_.on_heartbeat(heartbeat, now);
  if (heartbeat.wants_update) {
    ranking_.on_heartbeat(heartbeat.member.address, now);
  }
  const HeartbeatReply reply = reply_to(heartbeat, now);
  health_aggregator_.add(heartbeat.observations, now);
  if (replica_->has_lease(now)) {
    registrations_.on_observations(heartbeat.observations, state_.fleet().steering);
  }
  refusal_relay_.on_observations(from, heartbeat.member.zone, heartbeat.observations, now);
  relay_refusals(now);
  output_.send_node(from, reply);
  if (reply.is_current) {
    waiting_nodes_.erase(from);
  } else {
    WaitingNode& waiting = waiting_nodes_[from];
    waiting = {heartbeat, now};
    waiting.heartbeat.observations.clear();
  }
  publisher_.on_heartbeat(from, heartbeat, now);
}

void ControlNode::handle(const Endpoint& /*from*/, const HeartbeatReply& /*reply*/,
                         Instant /*now*/) {}

void ControlNode::handle(const Endpoint& /*from*/, const FleetUpdate& /*update*/, Instant /*now*/) {
}

void ControlNode::handle(const Endpoint& from, const ReplicaReport& report, Instant now) {
  if (!replica_->has_lease(now)) {
    return;
  }
  nodes_.on_report(report, now);
  for (const auto& target : report.targets) {
    registrations_.on_follower_report(target.incarnation,
                                      now - std::chrono::milliseconds(target.age_ms));
  }
  health_aggregator_.add(report.observations, now);
  registrations_.on_observations(report.observations, state_.fleet().steering);
  ranking_.on_reported(report.balancers, now);
  const std::vector<Endpoint> may_stop =
      MembershipController::members_safe_to_stop(state_.fleet(), nodes_);
  output_.send_node(
      from, ReportReply{report.sequence, may_stop, health_update_since(report.health_version),
                        ranking_.ranks_of(report.balancers, now)});
}

void ControlNode::handle(const Endpoint& from, const TargetHealthUpdate& new_health,
                         Instant /*now*/) {
  if (!replica_->is_leader() && from == replica_->leader_address()) {
    apply_target_health(new_health);
  }
}

void ControlNode::apply_target_health(TargetHealthUpdate new_health) {
  const bool has_changed = new_health.unhealthy() != target_health_.unhealthy() ||
                           new_health.unreachable() != target_health_.unreachable();
  target_health_ = std::move(new_health);
  if (!has_changed) {
    return;
  }
  const auto shared = std::make_shared<const NodeMessage>(target_health_);
  if (replica_->is_leader()) {
    send_to_replicas(shared);
  }
  publisher_.broadcast(shared);
}

void ControlNode::send_to_replicas(const SharedNodeMessage& message) {
  for (const auto& replica : replica_->replicas().replicas) {
    if (replica.id != replica_->id()) {
      output_.send_shared(replica.address, message);
    }
  }
}

void ControlNode::handle(const Endpoint& from, const RefusingTargets& refusing, Instant now) {
  const auto& replicas = replica_->replicas().replicas;
  const bool is_replica = std::any_of(replicas.begin(), replicas.end(),
                                      [&](const auto& replica) { return replica.address == from; });
  if (is_replica) {
    refusal_relay_.on_relayed(refusing, now);
    relay_refusals(now);
  }
}

void ControlNode::relay_refusals(Instant now) {
  const RefusalRelay::Outgoing outgoing = refusal_relay_.take_outgoing(now);
  for (const auto& message : outgoing.to_replicas) {
    send_to_replicas(std::make_shared<const NodeMessage>(message));
  }
  for (const auto& message : outgoing.to_balancers) {
    publisher_.broadcast(std::make_shared<const NodeMessage>(message));
  }
}

std::optional<TargetHealthUpdate> ControlNode::health_update_since(
    std::uint64_t known_version) const {
  return known_version == target_health_.version ? std::nullopt : std::optional(target_health_);
}

void ControlNode::handle(const Endpoint& /*from*/, const ReportReply& reply, Instant now) {
  const auto sent = reports_sent_.find(reply.sequence);
  if (sent == reports_sent_.end()) {
    return;
  }
  last_acknowledged_report_ = std::max(last_acknowledged_report_.value_or(Instant{}), sent->second);
  may_stop_ = std::set<Endpoint>(reply.may_stop.begin(), reply.may_stop.end());
  if (reply.health) {
    apply_target_health(*reply.health);
  }
  if (!replica_->is_leader()) {
    ranking_.on_ranks_received(reply.ranks, now);
  }
}

void ControlNode::report_to_leader(Instant now) {
  const std::optional<Endpoint> leader = replica_->leader_address();
  const Duration interval = health_aggregator_.has_failures()
                                ? kFailureReportInterval
                                : Duration(control_timing::kHeartbeatInterval);
  if (now - reported_at_ < interval || !leader || replica_->is_leader()) {
    return;
  }
  reported_at_ = now;
  ReplicaReport report{++report_sequence_, config_.address, nodes_.local_nodes(now)};
  report.observations = health_aggregator_.take_observations(now);
  report.health_version = target_health_.version;
  report.balancers = ranking_.local_balancers(now);
  for (const auto& [id, announcement] : std::exchange(unreported_targets_, {})) {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - announcement.received_at);
    report.targets.push_back(
        {{id, announcement.started_at_ms}, static_cast<std::uint32_t>(age.count())});
  }
  reports_sent_[report.sequence] = now;
  if (reports_sent_.size() > kMaxPendingReports) {
    reports_sent_.erase(reports_sent_.begin());
  }
  output_.send_node(*leader, report);
}

void ControlNode::run_leader_tasks(Instant now) {
  if (!replica_->has_lease(now)) {
    return;
  }
  if (!was_leader_) {
    was_leader_ = true;
    pending_members_ = 0;
    membership_.on_elected(now);
    registrations_.on_elected(now);
    health_aggregator_.clear();
    ranking_.on_elected(now);
  }
  check_target_timeouts(now);
  update_target_health(now);
  ranking_.assign_ranks(now);
  const std::vector<Endpoint> stoppable =
      MembershipController::members_safe_to_stop(state_.fleet(), nodes_);
  may_stop_ = std::set<Endpoint>(stoppable.begin(), stoppable.end());
  if (pending_members_ > replica_->commit_index()) {
    return;
  }
  const auto change = membership_.next_change(state_.fleet(), nodes_, now);
  if (change) {
    pending_members_ =
        replica_->propose(EntryType::kMembers, encode_archive(*change), now).value_or(0);
  }
}

void ControlNode::update_target_health(Instant now) {
  const Duration interval =
      health_aggregator_.has_failures() ? kFailureReportInterval : kHealthInterval;
  if (now - health_evaluated_at_ < interval) {
    return;
  }
  health_evaluated_at_ = now;
  std::vector<TargetHealth> new_health = health_aggregator_.evaluate(state_.fleet().steering, now);
  if (new_health != target_health_.targets) {
    // Versions are compared for equality only. The term makes those of two leaders differ.
    const std::uint64_t first_of_term = (replica_->term() << kHealthVersionBits) + 1;
    apply_target_health(
        {std::max(target_health_.version + 1, first_of_term), std::move(new_health)});
  }
}

std::optional<Proposal> ControlNode::propose(const SteeringCommand& command, Instant now) {
  return propose_entry(EntryType::kSteering, encode_archive(command), now);
}

std::optional<Proposal> ControlNode::propose(const RegistrationCommand& command, Instant now) {
  return propose_entry(EntryType::kRegistrations, encode_archive(command), now);
}

std::optional<Proposal> ControlNode::propose(const EvacuationCommand& command, Instant now) {
  const auto proposal = propose_entry(EntryType::kEvacuation, encode_archive(command), now);
  last_evacuation_ = proposal.value_or(last_evacuation_);
  return proposal;
}

bool ControlNode::is_committed(const EvacuationCommand& command, Instant now) const {
  // A leader with a lease has committed all entries of earlier terms, so only its own proposals can
  // be uncommitted.
  const bool is_resolved = last_evacuation_.term != replica_->term() ||
                           last_evacuation_.index <= replica_->commit_index();
  return replica_->has_lease(now) && is_resolved &&
         is_already_applied(state_.fleet().steering, command);
}

std::optional<Proposal> ControlNode::propose_entry(EntryType type, Bytes payload, Instant now) {
  const auto index = replica_->propose(type, std::move(payload), now);
  publisher_.push(now);
  return index ? std::optional(Proposal{*index, replica_->term()}) : std::nullopt;
}

ProposalStatus ControlNode::status(const Proposal& proposal) const {
  // A leader never overwrites its own entries, so the index identifies the entry within the term.
  if (!replica_->is_leader() || replica_->term() != proposal.term) {
    return ProposalStatus::kUnknown;
  }
  return replica_->commit_index() >= proposal.index ? ProposalStatus::kCommitted
                                                    : ProposalStatus::kPending;
}

bool ControlNode::reaches_leader(Instant now) const {
  const bool is_acknowledged =
      last_acknowledged_report_ && now - *last_acknowledged_report_ < kReportTimeout;
  return replica_->is_leader() || is_acknowledged;
}

std::optional<Endpoint> ControlNode::other_leader(Instant now) const {
  if (replica_->is_leader() || !replica_->has_leader_contact(now)) {
    return std::nullopt;
  }
  return replica_->leader_address();
}

void ControlNode::on_tick(Instant now) {
  replica_->on_tick(now);
  propose_forwarded(now);
  if (replica_->is_leader()) {
    run_leader_tasks(now);
  } else {
    was_leader_ = false;
    report_to_leader(now);
  }
  relay_refusals(now);
  nodes_.drop_older(now, kNodeExpiry);
  publisher_.drop_timed_out(now);
  publisher_.push(now);
  notify_waiting_nodes(now);
  std::erase_if(waiting_nodes_,
                [&](const auto& item) { return now - item.second.at >= kWaitingExpiry; });
}

SubmissionResult ControlNode::submit(const SettingsCommand& command, Instant now) {
  const SubmissionId id = command.id;
  SubmissionResult known = outcome(id, now);
  if (known.status != ControlStatus::kPending) {
    return known;
  }
  const bool proposed =
      replica_->propose(EntryType::kSettings, encode_archive(command), now).has_value();
  if (!proposed) {
    known.status = ControlStatus::kNotLeader;
    return known;
  }
  if (faults_.accept_before_commit) {
    known.status = ControlStatus::kOk;
    known.outcome = {id, true, replica_->last_index(), id};
    return known;
  }
  publisher_.push(now);
  return outcome(id, now);
}

SubmissionResult ControlNode::outcome(const SubmissionId& id, Instant now) const {
  SubmissionResult result;
  if (!replica_->has_lease(now)) {
    result.status = ControlStatus::kNotLeader;
    result.leader = replica_->is_leader() ? std::nullopt : replica_->leader_address();
    return result;
  }
  if (const auto outcome = state_.outcome(id)) {
    result.status = ControlStatus::kOk;
    result.outcome = *outcome;
  }
  return result;
}

RolloutStatus ControlNode::rollout_status() const {
  RolloutStatus status;
  status.revision = state_.fleet().settings_revision;
  for (const auto& member : state_.fleet().members) {
    ++status.members;
    const NodeEntry* entry = nodes_.find(member.address);
    const bool is_up_to_date = entry != nullptr && entry->status.revision >= status.revision;
    if (is_up_to_date) {
      ++status.up_to_date;
    } else {
      status.lagging.push_back(member);
    }
  }
  return status;
}

}  // namespace gorsevalve
