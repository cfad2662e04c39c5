#include "tasks/control_task.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "tasks/log.h"

namespace gorsevalve {
namespace {

std::string describe(const StorageError& error) { return error.message; }

}  // namespace

ReplicaSet founding_replicas(const std::string& cluster, const std::vector<Endpoint>& addresses) {
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
        StorageError{StorageErrorKind::kOperation, "the data folder holds a replica already"});
  }
  ReplicaIdentity identity;
  identity.cluster = config.cluster;
  identity.first_replicas = founding_replicas(config.cluster, config.replicas);
  for (const auto& replica : identity.first_replicas.replicas) {
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
    ReplicaIdentity fresh;
    fresh.id = task->config_.incarnation;
    fresh.cluster = task->config_.cluster;
    const auto written = task->store_.write_identity(fresh);
    if (!written) {
      return tl::unexpected(describe(written.error()));
    }
    *identity = fresh;
  }
  if ((*identity)->cluster != task->config_.cluster) {
    return tl::unexpected("the data folder belongs to cluster \"" + (*identity)->cluster + "\"");
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
  ControlTask& self = *task;
  ReplicaStorage& storage = self;
  ControlOutput& output = self;
  self.node_ =
      std::make_unique<ControlNode>(replica, (*identity)->first_replicas, std::move(*stored),
                                    kDefaultPartitions, storage, output, monotonic_now());
  const auto listening = self.network_.listen(self.config_.listen.value_or(self.config_.address));
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  loop.every(Replica::kTickInterval, [&self] { self.on_tick(); });
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
    ++messages_refused_;
    return std::nullopt;
  }
  const Instant now = monotonic_now();
  if (const auto* replica = std::get_if<ReplicaMessage>(&opened->message)) {
    node_->on_replica_message(*replica, now);
  } else if (const auto* message = std::get_if<NodeMessage>(&opened->message)) {
    // The sender's connection must be known before the answer is sent, so the answer waits a turn.
    loop_.post([this, sender = opened->sender, copy = *message] {
      node_->on_node_message(sender, copy, monotonic_now());
    });
  }
  answer_waiting(now);
  return opened->sender;
}

void ControlTask::on_tick() {
  const Instant now = monotonic_now();
  node_->on_tick(now);
  answer_waiting(now);
  if (node_->replica().has_failed()) {
    log_event(LogLevel::kError, "storage_failed_stopping");
    loop_.stop();
  }
  if (node_->replica().is_leader() != was_leader_) {
    was_leader_ = !was_leader_;
    log_event(LogLevel::kInfo, was_leader_ ? "became_leader" : "lost_leadership",
              {{"term", node_->replica().term()}});
  }
}

void ControlTask::submit(SettingsCommand command, SubmissionCallback callback) {
  const Instant now = monotonic_now();
  const SubmissionId id = command.id;
  log_event(LogLevel::kInfo, "submission",
            {{"id", id}, {"author", command.author}, {"base_revision", command.base_revision}});
  const SubmissionResult result = node_->submit(command, now);
  if (result.status != ControlStatus::kPending) {
    callback(result);
    return;
  }
  waiting_.push_back({id, std::move(callback), now + kDecisionTimeout});
}

void ControlTask::answer_waiting(Instant now) {
  std::vector<Waiting> still_waiting;
  for (auto& waiting : std::exchange(waiting_, {})) {
    const SubmissionResult result = node_->outcome(waiting.id, now);
    const bool decided = result.status == ControlStatus::kOk;
    if (decided || now >= waiting.deadline) {
      waiting.callback(result);
    } else {
      still_waiting.push_back(std::move(waiting));
    }
  }
  waiting_ = std::move(still_waiting);
}

SubmissionResult ControlTask::outcome(const SubmissionId& id) const {
  return node_->outcome(id, monotonic_now());
}

void ControlTask::send(const Endpoint& to, const ReplicaMessage& message) {
  network_.send(to, envelope_.seal(message), true);
}

void ControlTask::send_node(const Endpoint& to, const NodeMessage& message) {
  const bool is_replica =
      std::find(config_.replicas.begin(), config_.replicas.end(), to) != config_.replicas.end();
  network_.send(to, envelope_.seal(message), is_replica);
}

bool ControlTask::check(const StorageResult<void>& result) {
  if (!result) {
    log_event(LogLevel::kError, "storage_failed", {{"error", result.error().message}});
  }
  return result.has_value();
}

bool ControlTask::append(const LogFrame& frame) { return check(store_.append(frame)); }

bool ControlTask::replace_with_snapshot(const Snapshot& snapshot, const LogFrame& frame) {
  return check(store_.replace_with_snapshot(snapshot, frame));
}

}  // namespace gorsevalve
