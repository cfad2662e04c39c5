/// Test fixture without sockets: three control processes and a balancer that subscribes to one of
/// them, with injectable message loss.
#pragma once

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "core/balancer/control_client.h"
#include "core/control/control_node.h"

namespace gorsevalve::control_cluster {

using std::chrono::milliseconds;

inline constexpr Instant kStart{std::chrono::seconds(1000)};

class MemoryStorage : public ReplicaStorage {
 public:
  bool append(const LogFrame& /*frame*/) override { return true; }
  bool replace_with_snapshot(const Snapshot& /*snapshot*/, const LogFrame& /*frame*/) override {
    return true;
  }
};

/// Delivers messages between three control processes without delay.
class Cluster {
 public:
  struct Output : ControlOutput {
    Cluster* cluster = nullptr;
    std::size_t self = 0;
    std::vector<std::pair<Endpoint, NodeMessage>> to_nodes;
    std::vector<SharedNodeMessage> shared;
    /// No balancer is connected: sends to balancers fail.
    bool is_balancer_disconnected = false;
    /// Reports of this replica to other replicas are dropped, while the send succeeds.
    bool drops_reports = false;
    /// Receives messages to balancers instead of `to_nodes`. Returns false when the message is
    /// known to be dropped.
    std::function<bool(const Endpoint& to, const NodeMessage& message)> to_balancer;
    void send(const Endpoint& to, const ReplicaMessage& message) override {
      cluster->queue_.push_back({to.address, message, {}, self});
    }
    bool send_node(const Endpoint& to, const NodeMessage& message) override {
      const bool is_to_balancer = to.address > 3;
      if (is_to_balancer && is_balancer_disconnected) {
        return false;
      }
      if (is_to_balancer && to_balancer) {
        return to_balancer(to, message);
      }
      if (drops_reports && std::holds_alternative<ReplicaReport>(message)) {
        return true;
      }
      to_nodes.emplace_back(to, message);
      cluster->queue_.push_back({to.address, {}, message, self});
      return true;
    }
    bool send_shared(const Endpoint& to, const SharedNodeMessage& message) override {
      shared.push_back(message);
      return send_node(to, *message);
    }
  };

  Cluster() {
    const ReplicaSet set{{{1, {1, 7000}, true}, {2, {2, 7000}, true}, {3, {3, 7000}, true}}};
    for (std::uint32_t i = 1; i <= 3; ++i) {
      outputs_[i].cluster = this;
      outputs_[i].self = i;
      nodes_[i] = std::make_unique<ControlNode>(ReplicaConfig{i, {i, 7000}, {}, i, {}}, set,
                                                StoredReplica{}, 8, storage_, outputs_[i], kStart);
    }
  }

  void run(Duration time) {
    for (const Instant end = now_ + time; now_ < end; now_ += milliseconds(20)) {
      for (std::uint32_t i = 1; i <= 3; ++i) {
        if (i != frozen) {
          nodes_[i]->on_tick(now_);
        }
      }
      deliver();
    }
  }

  [[nodiscard]] std::uint32_t leader() const {
    for (std::uint32_t i = 1; i <= 3; ++i) {
      if (i != frozen && nodes_[i]->replica().has_lease(now_)) {
        return i;
      }
    }
    return 0;
  }

  /// Runs the cluster for an election; returns the number of the leader.
  std::uint32_t elect() {
    run(std::chrono::seconds(3));
    const std::uint32_t elected = leader();
    REQUIRE(elected != 0);
    return elected;
  }

  ControlNode& node(std::uint32_t i) { return *nodes_[i]; }
  Output& output(std::uint32_t i) { return outputs_[i]; }
  [[nodiscard]] Instant now() const { return now_; }

  /// Number of a paused process that receives no messages; 0 for none.
  std::uint32_t frozen = 0;
  /// Replicas that receive no messages, by number.
  std::array<bool, 4> drops_messages_to{};
  /// Drops all messages in flight.
  void drop_in_flight() { queue_.clear(); }

 private:
  struct QueuedMessage {
    std::uint32_t to = 0;
    std::optional<ReplicaMessage> replica;
    std::optional<NodeMessage> node;
    std::size_t from = 0;
  };

  void deliver() {
    for (int round = 0; round < 10; ++round) {
      for (const auto& queued : std::exchange(queue_, {})) {
        if (queued.to < 1 || queued.to > 3 || queued.to == frozen || drops_messages_to[queued.to]) {
          continue;
        }
        const Endpoint from{static_cast<std::uint32_t>(queued.from), 7000};
        if (queued.replica) {
          nodes_[queued.to]->on_replica_message(*queued.replica, now_);
        } else {
          nodes_[queued.to]->on_node_message(from, *queued.node, now_);
        }
      }
    }
  }

  Instant now_ = kStart;
  MemoryStorage storage_;
  std::array<Output, 4> outputs_;
  std::array<std::unique_ptr<ControlNode>, 4> nodes_;
  std::vector<QueuedMessage> queue_;
};

/// A balancer that subscribes to one replica of a cluster, with injectable message loss.
class SubscribedBalancer : public ControlClientOutput {
 public:
  explicit SubscribedBalancer(Cluster& cluster) : cluster_(cluster) {
    client_.set_timing({milliseconds(500), milliseconds(800), milliseconds(100)});
  }

  void send_control(const Endpoint& replica, const NodeMessage& message) override {
    to_replica_.emplace_back(replica, message);
  }
  void on_fleet(const FleetState& /*fleet*/, Instant /*now*/) override {}
  void on_lease(Instant /*until*/) override {}
  void on_removed(Instant /*now*/) override {}
  void on_updates_overdue(const Endpoint& /*replica*/, Revision /*revisions*/) override {
    ++overdue_events;
  }
  void on_update_rejected(const RejectedUpdate& /*update*/) override { ++rejected_updates; }

  /// Advances time in steps of 20 ms and delivers messages after each step.
  void run(Duration time) {
    for (Duration passed{0}; passed < time; passed += milliseconds(20)) {
      cluster_.run(milliseconds(20));
      exchange();
    }
  }

  /// Delivers queued messages in both directions. Drops updates while `drops_updates` is set.
  void exchange() {
    client_.on_tick(0, cluster_.now());
    for (const auto& [replica, message] : std::exchange(to_replica_, {})) {
      if (replica == drops_heartbeats_to) {
        continue;
      }
      cluster_.node(replica.address).on_node_message(kAddress, message, cluster_.now());
    }
    for (std::uint32_t i = 1; i <= 3; ++i) {
      for (const auto& [to, message] : std::exchange(cluster_.output(i).to_nodes, {})) {
        const bool is_dropped = drops_updates && std::holds_alternative<FleetUpdate>(message);
        if (to == kAddress && !is_dropped) {
          client_.on_message({i, 7000}, message, cluster_.now());
        }
      }
    }
  }

  /// Delivers a target health update from the selected replica.
  void receive_target_health(std::uint64_t health_version) {
    client_.on_message(*replica(), TargetHealthUpdate{health_version, {}}, cluster_.now());
  }

  [[nodiscard]] Revision revision() const { return client_.fleet().revision; }
  /// The replica to which it subscribes; nothing during a search.
  [[nodiscard]] std::optional<Endpoint> replica() const { return client_.replica(); }

  bool drops_updates = false;
  /// Messages from the balancer to this replica are dropped.
  std::optional<Endpoint> drops_heartbeats_to;
  int overdue_events = 0;
  int rejected_updates = 0;

 private:
  static constexpr Endpoint kAddress{99, 6000};

  Cluster& cluster_;
  std::vector<std::pair<Endpoint, NodeMessage>> to_replica_;
  ControlClient client_{{"b", "z", kAddress, 42, MemberState::kObserver},
                        {{1, 7000}, {2, 7000}, {3, 7000}},
                        {},
                        *this};
};

inline RegisteredTarget make_announcement(std::uint64_t sequence) {
  RegisteredTarget target;
  target.id = 5;
  target.pool = "alpha";
  target.address = {10, 8000};
  target.sequence = sequence;
  return target;
}

/// Registers a target, which creates a revision. Returns false when the replica rejects the
/// proposal.
inline bool register_target(ControlNode& leader, TargetId id, Instant now) {
  RegistrationCommand command;
  command.announced.push_back(make_announcement(1));
  command.announced.back().id = id;
  return leader.propose(command, now).has_value();
}

}  // namespace gorsevalve::control_cluster
