/// A subscribed balancer must stay up to date despite lost messages and changes of its replica.
#include <doctest/doctest.h>

#include <algorithm>

#include "control_cluster.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using namespace control_cluster;

/// Maximum time until a change is applied at every connected balancer.
constexpr Duration kMaxUpdateDelay = std::chrono::seconds(3);

/// Number of updates that a replica has sent since the last call.
int take_updates(Cluster& cluster, std::uint32_t replica) {
  int updates = 0;
  for (const auto& [to, message] : std::exchange(cluster.output(replica).to_nodes, {})) {
    updates += std::holds_alternative<FleetUpdate>(message) ? 1 : 0;
  }
  return updates;
}

/// A balancer with scripted heartbeats to one replica.
class ScriptedBalancer {
 public:
  ScriptedBalancer(Cluster& cluster, std::uint32_t replica) : cluster_(cluster), replica_(replica) {
    heartbeat.member.address = {100, 6000};
    heartbeat.member.incarnation = 9;
    heartbeat.member.state = MemberState::kObserver;
  }

  /// Sets the applied state to that of the replica.
  void catch_up() {
    heartbeat.revision = node().state().fleet().revision;
    heartbeat.digest = node().state().digest();
  }

  /// Sends a heartbeat; returns the number of immediate updates.
  int send_heartbeat(bool wants_update = true) {
    take_updates(cluster_, replica_);
    heartbeat.wants_update = wants_update;
    ++heartbeat.sequence;
    node().on_node_message(heartbeat.member.address, heartbeat, cluster_.now());
    return take_updates(cluster_, replica_);
  }

  /// Sends a heartbeat that requests no updates; returns whether the replica reports itself as
  /// current.
  bool replica_reports_current() {
    heartbeat.wants_update = false;
    cluster_.output(replica_).to_nodes.clear();
    node().on_node_message(heartbeat.member.address, heartbeat, cluster_.now());
    REQUIRE(cluster_.output(replica_).to_nodes.size() == 1);
    return std::get<HeartbeatReply>(cluster_.output(replica_).to_nodes[0].second).is_current;
  }

  NodeHeartbeat heartbeat;

 private:
  ControlNode& node() { return cluster_.node(replica_); }

  Cluster& cluster_;
  std::uint32_t replica_;
};

/// A cluster with a leader and one target.
struct RunningCluster : Cluster {
  RunningCluster() {
    run(std::chrono::seconds(3));
    leader_number = leader();
    REQUIRE(leader_number != 0);
    commit_change(5);
    run(milliseconds(100));
  }

  void commit_change(TargetId id) { REQUIRE(register_target(node(leader_number), id, now())); }

  std::uint32_t leader_number = 0;
};

}  // namespace

TEST_SUITE("following") {
  TEST_CASE("updates sent while a balancer used another replica do not count as in flight") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    // The balancer uses another replica, so updates to it are dropped.
    cluster.run(std::chrono::seconds(2));
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    // It searches for a replica and selects this one.
    CHECK(balancer.send_heartbeat(false) == 0);
    CHECK(balancer.send_heartbeat() == 1);
  }

  TEST_CASE("an update without a connection does not count as in flight") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    cluster.output(cluster.leader_number).is_balancer_disconnected = true;
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    CHECK(cluster.node(cluster.leader_number).balancers_served() == 0);
    cluster.output(cluster.leader_number).is_balancer_disconnected = false;
    CHECK(balancer.send_heartbeat() == 1);
    // The update may be in flight now.
    CHECK(balancer.send_heartbeat() == 0);
  }

  TEST_CASE("an update of an earlier session does not count as in flight") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    CHECK(balancer.send_heartbeat() == 0);
    // The balancer closed its connection, which drops the messages in flight.
    ++balancer.heartbeat.session;
    CHECK(balancer.send_heartbeat() == 1);
    CHECK(balancer.send_heartbeat() == 0);
  }

  TEST_CASE("an out-of-order heartbeat has no effect") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    const NodeHeartbeat latest = balancer.heartbeat;
    // Sent over another connection during the search for a replica.
    balancer.heartbeat.sequence -= 2;
    CHECK(balancer.send_heartbeat(false) == 0);
    CHECK(cluster.node(cluster.leader_number).balancers_served() == 1);
    balancer.heartbeat = latest;
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    CHECK(take_updates(cluster, cluster.leader_number) == 1);
  }

  TEST_CASE("a balancer that requests no updates gets no more pushes") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    CHECK(balancer.send_heartbeat(false) == 0);
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    CHECK(take_updates(cluster, cluster.leader_number) == 0);
  }

  TEST_CASE("a replica behind a balancer does not report itself as current") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    for (const Revision ahead : {0, 1}) {
      balancer.heartbeat.revision += ahead;
      CHECK(balancer.replica_reports_current() == (ahead == 0));
    }
  }

  TEST_CASE("a balancer ahead of its replica gets deltas from its own revision") {
    // It switched from a replica that was one entry ahead. A snapshot would be unnecessary.
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    const Revision replica_revision = balancer.heartbeat.revision;
    ++balancer.heartbeat.revision;
    CHECK(balancer.send_heartbeat() == 0);
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    REQUIRE(cluster.node(cluster.leader_number).state().fleet().revision == replica_revision + 1);
    CHECK(take_updates(cluster, cluster.leader_number) == 0);
    cluster.commit_change(7);
    cluster.run(milliseconds(40));
    std::vector<FleetUpdate> updates;
    for (const auto& [to, message] : cluster.output(cluster.leader_number).to_nodes) {
      if (const auto* update = std::get_if<FleetUpdate>(&message)) {
        updates.push_back(*update);
      }
    }
    REQUIRE(updates.size() == 1);
    CHECK_FALSE(updates[0].is_snapshot);
    CHECK(updates[0].deltas.front().base == replica_revision + 1);
  }

  TEST_CASE("a balancer that was ahead is notified when its replica has caught up") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    ++balancer.heartbeat.revision;
    CHECK_FALSE(balancer.replica_reports_current());
    cluster.output(cluster.leader_number).to_nodes.clear();
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    int replies = 0;
    for (const auto& [to, message] : cluster.output(cluster.leader_number).to_nodes) {
      const auto* reply = std::get_if<HeartbeatReply>(&message);
      replies += reply != nullptr && reply->is_current && to == balancer.heartbeat.member.address;
    }
    CHECK(replies == 1);
  }

  TEST_CASE(
      "a follower whose reports do not reach the leader acknowledges no targets and members") {
    // Otherwise the leader times out a target that the follower acknowledges.
    RunningCluster cluster;
    const std::uint32_t follower = cluster.leader_number == 1 ? 2 : 1;
    const auto announce = [&](std::uint64_t sequence) {
      return cluster.node(follower).on_announcement(make_announcement(sequence), cluster.now());
    };
    CHECK(announce(2) == AnnouncementStatus::kCommitted);
    // The leader receives announcements of the target directly, so that its state does not change.
    const auto run_with_announcements_to_leader = [&](int seconds) {
      for (int second = 0; second < seconds; ++second) {
        cluster.run(std::chrono::seconds(1));
        cluster.node(cluster.leader_number).on_announcement(make_announcement(3), cluster.now());
      }
    };
    cluster.output(follower).drops_reports = true;
    run_with_announcements_to_leader(4);
    CHECK(announce(4) == AnnouncementStatus::kNotLeader);
    // A member would stay with this replica without a lease; an observer needs only the state.
    for (const MemberState state : {MemberState::kActive, MemberState::kObserver}) {
      ScriptedBalancer balancer(cluster, follower);
      balancer.heartbeat.member.state = state;
      CHECK(balancer.replica_reports_current() == (state == MemberState::kObserver));
    }
    cluster.output(follower).drops_reports = false;
    run_with_announcements_to_leader(2);
    CHECK(announce(5) == AnnouncementStatus::kCommitted);
  }

  TEST_CASE(
      "a balancer whose heartbeats are lost switches replicas despite target health updates") {
    RunningCluster cluster;
    SubscribedBalancer balancer(cluster);
    Duration longest_behind{0};
    Duration behind{0};
    for (int tick = 0; tick < 700; ++tick) {
      if (tick % 10 == 0) {
        cluster.commit_change(1000 + tick);
      }
      if (tick == 100) {
        REQUIRE(balancer.replica());
        balancer.drops_heartbeats_to = balancer.replica();
      }
      if (tick > 100 && tick % 10 == 5 && balancer.replica()) {
        balancer.receive_target_health(static_cast<std::uint64_t>(tick));
      }
      balancer.run(milliseconds(20));
      const Revision latest_revision = cluster.node(cluster.leader_number).state().fleet().revision;
      behind = balancer.revision() + 1 < latest_revision ? behind + milliseconds(20) : Duration{0};
      longest_behind = tick < 100 ? Duration{0} : std::max(longest_behind, behind);
    }
    CHECK(longest_behind < kMaxUpdateDelay);
  }
}

}  // namespace gorsevalve
