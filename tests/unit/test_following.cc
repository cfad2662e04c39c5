/// A balancer that follows the state keeps up whatever gets lost between it and the replicas, and
/// wherever it goes.
#include <doctest/doctest.h>

#include <algorithm>

#include "control_cluster.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using namespace control_cluster;

/// Bound within which a change must be in force at every balancer in touch.
constexpr Duration kMaxUpdateDelay = std::chrono::seconds(3);

/// Updates among what a replica has sent since the last look.
int take_updates(Cluster& cluster, std::uint32_t replica) {
  int updates = 0;
  for (const auto& [to, message] : std::exchange(cluster.output(replica).to_nodes, {})) {
    updates += std::holds_alternative<FleetUpdate>(message) ? 1 : 0;
  }
  return updates;
}

/// A balancer whose heartbeats are made by hand, and the replica that it asks.
class ScriptedBalancer {
 public:
  ScriptedBalancer(Cluster& cluster, std::uint32_t replica) : cluster_(cluster), replica_(replica) {
    heartbeat.member.address = {100, 6000};
    heartbeat.member.incarnation = 9;
    heartbeat.member.state = MemberState::kObserver;
  }

  /// Has in force what the replica holds.
  void catch_up() {
    heartbeat.revision = node().state().fleet().revision;
    heartbeat.digest = node().state().digest();
  }

  /// Sends a heartbeat; gives how many updates come back at once.
  int send_heartbeat(bool wants_update = true) {
    take_updates(cluster_, replica_);
    heartbeat.wants_update = wants_update;
    ++heartbeat.sequence;
    node().on_node_message(heartbeat.member.address, heartbeat, cluster_.now());
    return take_updates(cluster_, replica_);
  }

  /// Asks without wanting updates: whether the replica says that it is current.
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
  TEST_CASE("what was sent while a balancer followed another replica is not under way to it") {
    // Real processes: the connection to a balancer that had gone elsewhere was closed, six updates
    // were dropped and counted as sent; when the balancer came back, it got none of them.
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    // It follows another replica now; what goes to it from here does not arrive.
    cluster.run(std::chrono::seconds(2));
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    // It looks for a replica, and chooses this one.
    CHECK(balancer.send_heartbeat(false) == 0);
    CHECK(balancer.send_heartbeat() == 1);
  }

  TEST_CASE("an update that no connection took is not under way") {
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
    // That one may be under way now.
    CHECK(balancer.send_heartbeat() == 0);
  }

  TEST_CASE("an update of an earlier session is not under way") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    CHECK(balancer.send_heartbeat() == 0);
    // The balancer gave its connection up: what was on the way is gone with it.
    ++balancer.heartbeat.session;
    CHECK(balancer.send_heartbeat() == 1);
    CHECK(balancer.send_heartbeat() == 0);
  }

  TEST_CASE("a heartbeat that was overtaken changes nothing") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    const NodeHeartbeat latest = balancer.heartbeat;
    // Sent by another connection, while the balancer was looking for a replica.
    balancer.heartbeat.sequence -= 2;
    CHECK(balancer.send_heartbeat(false) == 0);
    CHECK(cluster.node(cluster.leader_number).balancers_served() == 1);
    balancer.heartbeat = latest;
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    CHECK(take_updates(cluster, cluster.leader_number) == 1);
  }

  TEST_CASE("a balancer that turns away gets no more updates and figures") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    CHECK(balancer.send_heartbeat() == 0);
    CHECK(balancer.send_heartbeat(false) == 0);
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    CHECK(take_updates(cluster, cluster.leader_number) == 0);
  }

  TEST_CASE("a replica that holds less than a balancer does not say that it is current") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    for (const Revision ahead : {0, 1}) {
      balancer.heartbeat.revision += ahead;
      CHECK(balancer.replica_reports_current() == (ahead == 0));
    }
  }

  TEST_CASE("a balancer that is ahead of its replica gets changes from where it is") {
    // It came from a replica that was one entry further: a whole state would be sent for nothing.
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    const Revision held = balancer.heartbeat.revision;
    ++balancer.heartbeat.revision;
    CHECK(balancer.send_heartbeat() == 0);
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    REQUIRE(cluster.node(cluster.leader_number).state().fleet().revision == held + 1);
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
    CHECK(updates[0].deltas.front().base == held + 1);
  }

  TEST_CASE("a balancer that was ahead is told when its replica has caught up") {
    RunningCluster cluster;
    ScriptedBalancer balancer(cluster, cluster.leader_number);
    balancer.catch_up();
    ++balancer.heartbeat.revision;
    CHECK_FALSE(balancer.replica_reports_current());
    cluster.output(cluster.leader_number).to_nodes.clear();
    cluster.commit_change(6);
    cluster.run(milliseconds(40));
    int told = 0;
    for (const auto& [to, message] : cluster.output(cluster.leader_number).to_nodes) {
      const auto* reply = std::get_if<HeartbeatReply>(&message);
      told += reply != nullptr && reply->is_current && to == balancer.heartbeat.member.address;
    }
    CHECK(told == 1);
  }

  TEST_CASE("a follower whose reports do not reach the leader answers no targets and members") {
    // The leader would take a target for silent that a follower tells that all is well.
    RunningCluster cluster;
    const std::uint32_t follower = cluster.leader_number == 1 ? 2 : 1;
    const auto hear = [&](std::uint64_t sequence) {
      return cluster.node(follower).on_announcement(make_announcement(sequence), cluster.now());
    };
    CHECK(hear(2) == AnnouncementStatus::kCommitted);
    // The leader itself hears the target meanwhile, so that nothing else changes.
    const auto run_while_leader_hears = [&](int seconds) {
      for (int second = 0; second < seconds; ++second) {
        cluster.run(std::chrono::seconds(1));
        cluster.node(cluster.leader_number).on_announcement(make_announcement(3), cluster.now());
      }
    };
    cluster.output(follower).drops_reports = true;
    run_while_leader_hears(4);
    CHECK(hear(4) == AnnouncementStatus::kNotLeader);
    // A member would stay there without a lease; an observer needs the state only.
    for (const MemberState state : {MemberState::kActive, MemberState::kObserver}) {
      ScriptedBalancer balancer(cluster, follower);
      balancer.heartbeat.member.state = state;
      CHECK(balancer.replica_reports_current() == (state == MemberState::kObserver));
    }
    cluster.output(follower).drops_reports = false;
    run_while_leader_hears(2);
    CHECK(hear(5) == AnnouncementStatus::kCommitted);
  }

  TEST_CASE(
      "figures of targets are no answer: a balancer whose questions get lost goes elsewhere") {
    RunningCluster cluster;
    SubscribedBalancer balancer(cluster);
    Duration longest_behind{0};
    Duration behind{0};
    for (int turn = 0; turn < 700; ++turn) {
      if (turn % 10 == 0) {
        cluster.commit_change(1000 + turn);
      }
      if (turn == 100) {
        REQUIRE(balancer.replica());
        balancer.drops_heartbeats_to = balancer.replica();
      }
      if (turn > 100 && turn % 10 == 5 && balancer.replica()) {
        balancer.receive_target_health(static_cast<std::uint64_t>(turn));
      }
      balancer.run(milliseconds(20));
      const Revision newest = cluster.node(cluster.leader_number).state().fleet().revision;
      behind = balancer.revision() + 1 < newest ? behind + milliseconds(20) : Duration{0};
      longest_behind = turn < 100 ? Duration{0} : std::max(longest_behind, behind);
    }
    CHECK(longest_behind < kMaxUpdateDelay);
  }
}

}  // namespace gorsevalve
