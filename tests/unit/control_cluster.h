/// Three control processes and a balancer that follows one of them, without sockets: for tests of
/// what balancers are told and of what gets lost on the way.
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

/// Carries messages between three control processes at once.
class Cluster {
 public:
  struct Output : ControlOutput {
    Cluster* cluster = nullptr;
    std::size_t self = 0;
    std::vector<std::pair<Endpoint, NodeMessage>> to_nodes;
    std::vector<SharedNodeMessage> shared;
    /// There is no connection to any balancer: what is sent to one is dropped, and that is known.
    bool is_balancer_disconnected = false;
    /// What this replica reports to others is lost, and that is not known.
    bool drops_reports = false;
    /// Carries what goes to balancers in place of `to_nodes`; false when it is dropped for certain.
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

  /// Runs until a replica leads; gives its number.
  std::uint32_t elect() {
    run(std::chrono::seconds(3));
    const std::uint32_t elected = leader();
    REQUIRE(elected != 0);
    return elected;
  }

  ControlNode& node(std::uint32_t i) { return *nodes_[i]; }
  Output& output(std::uint32_t i) { return outputs_[i]; }
  [[nodiscard]] Instant now() const { return now_; }

  /// A process that stands still, and what is sent to it is lost; 0 for none.
  std::uint32_t frozen = 0;
  /// Replicas to which everything gets lost, by their number.
  std::array<bool, 4> drops_messages_to{};
  /// Loses all that was sent and has not arrived.
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
      for (const auto& letter : std::exchange(queue_, {})) {
        if (letter.to < 1 || letter.to > 3 || letter.to == frozen || drops_messages_to[letter.to]) {
          continue;
        }
        const Endpoint from{static_cast<std::uint32_t>(letter.from), 7000};
        if (letter.replica) {
          nodes_[letter.to]->on_replica_message(*letter.replica, now_);
        } else {
          nodes_[letter.to]->on_node_message(from, *letter.node, now_);
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

/// A balancer that follows the state at one replica of a cluster, with messages that can be lost.
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
    ++behind_events;
  }
  void on_update_refused(const RefusedUpdate& /*update*/) override { ++refused_updates; }

  /// Lets time pass, and carries messages each 20 ms.
  void run(Duration time) {
    for (Duration passed{0}; passed < time; passed += milliseconds(20)) {
      cluster_.run(milliseconds(20));
      exchange();
    }
  }

  /// Carries what waits in both directions; updates do not arrive while `drops_updates` is set.
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
        const bool is_lost = drops_updates && std::holds_alternative<FleetUpdate>(message);
        if (to == kAddress && !is_lost) {
          client_.on_message({i, 7000}, message, cluster_.now());
        }
      }
    }
  }

  /// The chosen replica tells figures of targets.
  void receive_target_health(std::uint64_t edition) {
    client_.on_message(*replica(), TargetHealthUpdate{edition, {}}, cluster_.now());
  }

  [[nodiscard]] Revision revision() const { return client_.fleet().revision; }
  /// The replica that it follows; nothing while it looks for one.
  [[nodiscard]] std::optional<Endpoint> replica() const { return client_.replica(); }

  bool drops_updates = false;
  /// What the balancer sends to this replica does not arrive.
  std::optional<Endpoint> drops_heartbeats_to;
  int behind_events = 0;
  int refused_updates = 0;

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

/// Makes a revision by a new target; false when the replica cannot.
inline bool register_target(ControlNode& leader, TargetId id, Instant now) {
  RegistrationCommand command;
  command.announced.push_back(make_announcement(1));
  command.announced.back().id = id;
  return leader.propose(command, now).has_value();
}

}  // namespace gorsevalve::control_cluster
