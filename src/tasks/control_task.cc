#include "tasks/control_task.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "tasks/log.h"

namespace gorsevalve {
namespace {

/// Delay between two ticks that is logged as a stall.
constexpr Duration kStallLogThreshold = std::chrono::milliseconds(120);
/// Encoded messages cached for other peers: a snapshot, recent deltas and target health.
constexpr std::size_t kMaxCachedMessages = 8;

std::string describe(const StorageError& error) { return error.message; }

}  // namespace

ReplicaSet initial_replica_set(const std::string& cluster, const std::vector<Endpoint>& addresses) {
  ReplicaSet set;
  for (const auto& address : addresses) {
    const std::string text = cluster + "/" + to_string(address);
    set.replicas.push_back({XXH3_64bits(text.data(), text.size()), address, true});
  }
  return set;
}

StorageResult<void> ControlTask::initialize(Disk& disk, const ControlTaskConfig& config) {
  LogStore store(disk);
  const auto existing = store.read_identity();
  if (!existing) {
    return tl::unexpected(existing.error());
  }
  if (existing->has_value()) {
    return tl::unexpected(
        StorageError{StorageErrorKind::kOperation, "the data directory already holds a replica"});
  }
  ReplicaIdentity identity;
  identity.cluster = config.cluster;
  identity.initial_replicas = initial_replica_set(config.cluster, config.replicas);
  for (const auto& replica : identity.initial_replicas.replicas) {
    if (replica.address == config.address) {
      identity.id = replica.id;
    }
  }
  if (identity.id == 0) {
    return tl::unexpected(
        StorageError{StorageErrorKind::kOperation, "--address is not among --replicas"});
  }
  return store.write_identity(identity);
}

tl::expected<std::unique_ptr<ControlTask>, std::string> ControlTask::open(EventLoop& loop,
                                                                          ControlTaskConfig config,
                                                                          Disk& disk) {
  std::unique_ptr<ControlTask> task(new ControlTask(loop, std::move(config), disk));
  auto identity = task->store_.read_identity();
  if (!identity) {
    return tl::unexpected(describe(identity.error()));
  }
  if (!identity->has_value()) {
    ReplicaIdentity new_identity;
    new_identity.id = task->config_.incarnation;
    new_identity.cluster = task->config_.cluster;
    const auto written = task->store_.write_identity(new_identity);
    if (!written) {
      return tl::unexpected(describe(written.error()));
    }
    *identity = new_identity;
  }
  if ((*identity)->cluster != task->config_.cluster) {
    return tl::unexpected("the data directory belongs to cluster \"" + (*identity)->cluster + "\"");
  }
  auto stored = task->store_.open();
  if (!stored) {
    return tl::unexpected(describe(stored.error()));
  }
  ReplicaConfig replica;
  replica.id = (*identity)->id;
  replica.address = task->config_.address;
  replica.seeds = task->config_.replicas;
  replica.random_seed = task->config_.incarnation;
  replica.timing = task->config_.timing;
  ControlTask& self = *task;
  ReplicaStorage& storage = self;
  ControlOutput& output = self;
  self.node_ =
      std::make_unique<ControlNode>(replica, (*identity)->initial_replicas, std::move(*stored),
                                    kDefaultPartitions, storage, output, monotonic_now());
  const auto listening = self.network_.listen(self.config_.listen.value_or(self.config_.address));
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  self.node_->set_zone(self.config_.zone);
  self.node_->set_registration_timing(self.config_.registrations);
  loop.every(self.config_.tick_interval, [&self] { self.on_tick(); });
  return task;
}

ControlTask::ControlTask(EventLoop& loop, ControlTaskConfig config, Disk& disk)
    : loop_(loop),
      config_(std::move(config)),
      store_(disk),
      envelope_(config_.cluster, config_.keys, config_.address, config_.incarnation),
      network_(loop, [this](ByteView frame) { return on_frame(frame); }) {}

std::optional<Endpoint> ControlTask::on_frame(ByteView frame) {
  const auto opened = envelope_.open(frame);
  if (!opened) {
    ++messages_rejected_;
    return std::nullopt;
  }
  const Instant now = monotonic_now();
  if (const auto* replica = std::get_if<ReplicaMessage>(&opened->message)) {
    node_->on_replica_message(*replica, now);
  } else if (const auto* message = std::get_if<NodeMessage>(&opened->message)) {
    // The network records the sender's connection after this call, so the message is handled in the
    // next iteration of the loop.
    loop_.post([this, sender = opened->sender, copy = *message] {
      node_->on_node_message(sender, copy, monotonic_now());
    });
  }
  complete_submissions(now);
  proposals_.complete(*node_, now);
  complete_forwarded(now);
  return opened->sender;
}

void ControlTask::on_tick() {
  const Instant now = monotonic_now();
  if (last_tick_ != Instant{} && now - last_tick_ > kStallLogThreshold) {
    log_event(
        LogEvent::kLoopStalled,
        {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - last_tick_).count()}});
  }
  last_tick_ = now;
  flush_log();
  node_->on_tick(now);
  complete_submissions(now);
  proposals_.complete(*node_, now);
  complete_forwarded(now);
  retry_buffered_requests(now);
  if (node_->replica().has_failed()) {
    log_event(LogEvent::kStorageFailedStopping);
    loop_.stop();
  }
  log_changes(now);
}

void ControlTask::log_changes(Instant now) {
  const Replica& replica = node_->replica();
  if (replica.is_leader() != was_leader_) {
    was_leader_ = !was_leader_;
    log_event(was_leader_ ? LogEvent::kBecameLeader : LogEvent::kLostLeadership,
              {{"term", replica.term()}});
  }
  const bool has_contact = replica.is_leader() || replica.has_leader_contact(now);
  if (has_contact != had_leader_contact_) {
    had_leader_contact_ = has_contact;
    log_event(has_contact ? LogEvent::kLeaderHeard : LogEvent::kLeaderSilent,
              {{"term", replica.term()}});
  }
  if (replica.replicas() != logged_replicas_) {
    logged_replicas_ = replica.replicas();
    nlohmann::json members = nlohmann::json::array();
    for (const auto& member : logged_replicas_.replicas) {
      members.push_back(to_string(member.address) + (member.voter ? " voter " : " learner ") +
                        std::to_string(member.id));
    }
    log_event(LogEvent::kReplicaSet, {{"replicas", members}});
  }
  log_unhealthy_targets();
}

void ControlTask::log_unhealthy_targets() {
  const std::vector<FlowToken> unhealthy_targets = node_->target_health().unhealthy();
  if (unhealthy_targets == logged_unhealthy_ || !node_->replica().is_leader()) {
    return;
  }
  logged_unhealthy_ = unhealthy_targets;
  nlohmann::json targets = nlohmann::json::array();
  for (const auto& [id, target] : node_->state().fleet().steering.targets) {
    if (std::binary_search(unhealthy_targets.begin(), unhealthy_targets.end(), target.token)) {
      targets.push_back(target.id);
    }
  }
  log_event(LogEvent::kTargetsTroubled,
            {{"targets", targets}, {"edition", node_->target_health().version}});
}

void ControlTask::submit(SettingsCommand command, SubmissionCallback callback) {
  const Instant now = monotonic_now();
  const SubmissionId id = command.id;
  log_event(LogEvent::kSubmission,
            {{"id", id}, {"author", command.author}, {"base_revision", command.base_revision}});
  const SubmissionResult result = node_->submit(command, now);
  if (result.status != ControlStatus::kPending) {
    callback(result);
    return;
  }
  pending_submissions_.push_back({id, std::move(callback), now + kSubmissionTimeout});
}

void ControlTask::complete_submissions(Instant now) {
  std::vector<PendingSubmission> still_pending;
  for (auto& submission : std::exchange(pending_submissions_, {})) {
    const SubmissionResult result = node_->outcome(submission.id, now);
    const bool decided = result.status == ControlStatus::kOk;
    if (decided || now >= submission.deadline) {
      submission.callback(result);
    } else {
      still_pending.push_back(std::move(submission));
    }
  }
  // Callbacks may have added submissions.
  std::move(pending_submissions_.begin(), pending_submissions_.end(),
            std::back_inserter(still_pending));
  pending_submissions_ = std::move(still_pending);
}

SubmissionResult ControlTask::outcome(const SubmissionId& id) const {
  return node_->outcome(id, monotonic_now());
}

CommandReply ControlTask::not_leader() const {
  return {CommandStatus::kNotLeader, node_->other_leader(monotonic_now())};
}

void ControlTask::submit_steering(const SteeringCommand& command, CommandCallback callback) {
  const Instant now = monotonic_now();
  if (stopping_ || !node_->replica().has_lease(now)) {
    callback(not_leader());
    return;
  }
  const OperatorVersion version = command.settings.version;
  const OperatorVersion committed_version = node_->state().fleet().steering.settings.version;
  log_event(LogEvent::kSteeringSubmitted,
            {{"version", version}, {"held_version", committed_version}});
  if (version <= committed_version) {
    callback({CommandStatus::kAcknowledged, std::nullopt});
    return;
  }
  std::vector<CommandCallback> callbacks;
  callbacks.push_back(std::move(callback));
  await_proposal(node_->propose(command, now), std::move(callbacks), version);
}

void ControlTask::submit_evacuation(const EvacuationCommand& command, CommandCallback callback) {
  const Instant now = monotonic_now();
  if (stopping_ || !node_->replica().has_lease(now)) {
    callback(not_leader());
    return;
  }
  const std::vector<std::string> known = known_zones(config_.zones, node_->state().fleet());
  if (!std::binary_search(known.begin(), known.end(), command.zone)) {
    log_event(LogEvent::kEvacuationRefused, {{"zone", command.zone}, {"known_zones", known}});
    callback({CommandStatus::kUnknownZone, std::nullopt, known});
    return;
  }
  const bool already_committed = node_->is_committed(command, now);
  log_event(
      LogEvent::kEvacuationOrdered,
      {{"zone", command.zone}, {"order", to_string(command.action)}, {"held", already_committed}});
  if (already_committed) {
    callback({CommandStatus::kAcknowledged, std::nullopt});
    return;
  }
  std::vector<CommandCallback> callbacks;
  callbacks.push_back(std::move(callback));
  await_proposal(node_->propose(command, now), std::move(callbacks), command);
}

void ControlTask::await_proposal(const std::optional<Proposal>& proposal,
                                 std::vector<CommandCallback> callbacks,
                                 PendingProposals::Subject subject) {
  const Instant now = monotonic_now();
  if (!proposal) {
    for (const auto& callback : callbacks) {
      callback(not_leader());
    }
    return;
  }
  proposals_.add(
      {*proposal, std::move(callbacks), std::move(subject), now, now + config_.steering_timeout});
  proposals_.complete(*node_, now);
}

tl::expected<std::string, CommandReply> ControlTask::read_steering() const {
  if (stopping_ || !node_->replica().has_lease(monotonic_now())) {
    return tl::unexpected(not_leader());
  }
  return node_->state().steering_text();
}

void ControlTask::prepare_stop() {
  stopping_ = true;
  node_->prepare_stop(monotonic_now());
  log_event(LogEvent::kStopping);
}

void ControlTask::send(const Endpoint& to, const ReplicaMessage& message) {
  network_.send(to, envelope_.seal(message), true);
}

bool ControlTask::is_replica(const Endpoint& address) const {
  const auto& seeds = config_.replicas;
  const auto& replicas = node_->replica().replicas().replicas;
  return std::find(seeds.begin(), seeds.end(), address) != seeds.end() ||
         std::any_of(replicas.begin(), replicas.end(),
                     [&](const ReplicaInfo& replica) { return replica.address == address; });
}

bool ControlTask::send_node(const Endpoint& to, const NodeMessage& message) {
  return network_.send(to, envelope_.seal(message), is_replica(to));
}

bool ControlTask::send_shared(const Endpoint& to, const SharedNodeMessage& message) {
  return network_.send(to, envelope_.seal(encode_cached(message)), is_replica(to));
}

void ControlTask::on_update_retransmitted(const UpdateRetransmission& retransmission) {
  ++updates_retransmitted_;
  log_event(LogEvent::kUpdateRepeated, {{"balancer", to_string(retransmission.balancer)},
                                        {"confirmed", retransmission.acknowledged},
                                        {"sent", retransmission.sent},
                                        {"has_gap", retransmission.has_gap}});
}

const EncodedMessage& ControlTask::encode_cached(const SharedNodeMessage& message) {
  const auto found = std::find_if(encoded_messages_.begin(), encoded_messages_.end(),
                                  [&](const auto& entry) { return entry.first == message; });
  if (found != encoded_messages_.end()) {
    return found->second;
  }
  if (encoded_messages_.size() >= kMaxCachedMessages) {
    encoded_messages_.pop_front();
  }
  encoded_messages_.emplace_back(message, encode_message(*message));
  return encoded_messages_.back().second;
}

bool ControlTask::check_write(const StorageResult<void>& result) {
  if (!result) {
    storage_damaged_ = result.error().kind != StorageErrorKind::kOperation;
    if (!storage_failing_) {
      log_event(LogEvent::kStorageRefuses, {{"error", result.error().message}});
    }
  } else if (storage_failing_) {
    log_event(LogEvent::kStorageAcceptsAgain);
  }
  storage_failing_ = !result;
  return result.has_value();
}

bool ControlTask::append(const LogFrame& frame) { return check_write(store_.append(frame)); }

bool ControlTask::replace_with_snapshot(const Snapshot& snapshot, const LogFrame& frame) {
  return check_write(store_.replace_with_snapshot(snapshot, frame));
}

}  // namespace gorsevalve
