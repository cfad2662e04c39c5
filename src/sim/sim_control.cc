#include "sim/sim_control.h"

namespace gorsevalve {
namespace {

constexpr const char* kClusterName = "simulated";

}  // namespace

ReplicaSet sim_replica_set(const std::vector<Endpoint>& addresses) {
  ReplicaSet set;
  for (const auto& address : addresses) {
    set.replicas.push_back({packed(address), address, true});
  }
  return set;
}

SimControl::SimControl(SimContext context, SimControlConfig config)
    : SimProcess(context), config_(std::move(config)) {}

void SimControl::initialize() {
  LogStore store(disk_);
  ReplicaIdentity identity;
  identity.id = packed(config_.address);
  identity.cluster = kClusterName;
  identity.initial_replicas = sim_replica_set(config_.replicas);
  (void)store.write_identity(identity);
}

void SimControl::start() {
  store_ = std::make_unique<LogStore>(disk_);
  start_error_.clear();
  auto identity = store_->read_identity();
  if (identity && !identity->has_value()) {
    ReplicaIdentity fresh;
    fresh.id = config_.replica_faults.keep_identity_on_empty_disk ? packed(config_.address)
                                                                  : context().random.next();
    fresh.cluster = kClusterName;
    if (config_.replica_faults.keep_identity_on_empty_disk) {
      fresh.initial_replicas = sim_replica_set(config_.replicas);
    }
    (void)store_->write_identity(fresh);
    identity = store_->read_identity();
  }
  auto stored = store_->open();
  if (!identity || !stored) {
    start_error_ = !identity ? identity.error().message : stored.error().message;
    return;
  }
  begin_incarnation();
  ReplicaConfig replica;
  replica.id = (*identity)->id;
  replica.address = config_.address;
  replica.seeds = config_.replicas;
  replica.random_seed = context().random.next();
  replica.faults = config_.replica_faults;
  node_ = std::make_unique<ControlNode>(replica, (*identity)->initial_replicas, std::move(*stored),
                                        config_.partitions, static_cast<ReplicaStorage&>(*this),
                                        static_cast<ControlOutput&>(*this), now());
  node_->set_faults(config_.control_faults);
  last_revision_ = 0;
  run_every(Replica::kTickInterval, [this] { on_tick(); });
}

void SimControl::kill() {
  if (is_up()) {
    end_incarnation();
    disk_.crash(context().random);
  }
}

void SimControl::wipe() { disk_.wipe(); }

bool SimControl::holds_lease() const {
  return is_up() && !is_paused() && node_->replica().has_lease(now());
}

void SimControl::handle(const SimMessage& message) {
  if (const auto* replica = std::get_if<ReplicaMessage>(&message.body)) {
    node_->on_replica_message(*replica, now());
  } else if (const auto* control = std::get_if<NodeMessage>(&message.body)) {
    node_->on_node_message(message.from, *control, now());
  }
}

void SimControl::on_tick() {
  node_->on_tick(now());
  if (node_->replica().is_leader()) {
    context().checker.on_leader(node_->replica().term(), node_->replica().id());
  }
  const Revision revision = node_->state().fleet().revision;
  if (revision != last_revision_) {
    context().checker.on_revision(config_.name, last_revision_, revision);
    context().checker.on_state(config_.name, revision, node_->state().digest());
    last_revision_ = revision;
  }
  if (node_->replica().has_failed()) {
    context().trace.note(now(), config_.name + " stops: its storage failed");
    kill();
  }
}

void SimControl::send(const Endpoint& to, const ReplicaMessage& message) {
  context().network.send_replica(config_.address, to, message);
}

bool SimControl::send_node(const Endpoint& to, const NodeMessage& message) {
  context().network.send_node(config_.address, to, message);
  return true;
}

bool SimControl::append(const LogFrame& frame) { return store_->append(frame).has_value(); }

bool SimControl::replace_with_snapshot(const Snapshot& snapshot, const LogFrame& frame) {
  return store_->replace_with_snapshot(snapshot, frame).has_value();
}

}  // namespace gorsevalve
