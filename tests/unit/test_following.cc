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
constexpr Duration kInForceWithin = std::chrono::seconds(3);

/// Updates among what a replica has sent since the last look.
int take_updates(Cluster& cluster, std::uint32_t replica) {
  int updates = 0;
  for (const auto& [to, message] : std::exchange(cluster.output(replica).to_nodes, {})) {
    updates += std::holds_alternative<FleetUpdate>(message) ? 1 : 0;
  }
  return updates;
}

}  // namespace

TEST_SUITE("following") {
  TEST_CASE("what was sent while a balancer followed another replica is not under way to it") {
    // Real processes: the connection to a balancer that had gone elsewhere was closed, six updates
    // were dropped and counted as sent; when the balancer came back, it got none of them.
    Cluster cluster;
    cluster.run(std::chrono::seconds(3));
    const std::uint32_t leader = cluster.leader();
    REQUIRE(leader != 0);
    REQUIRE(register_target(cluster.node(leader), 5, cluster.now()));
    NodeHeartbeat heartbeat;
    heartbeat.member.address = {100, 6000};
    heartbeat.member.incarnation = 9;
    heartbeat.member.state = MemberState::kObserver;
    const auto ask = [&](bool wants_update) {
      heartbeat.wants_update = wants_update;
      cluster.node(leader).on_node_message(heartbeat.member.address, heartbeat, cluster.now());
    };
    cluster.run(milliseconds(100));
    const FleetState& fleet = cluster.node(leader).state().fleet();
    heartbeat.revision = fleet.revision;
    heartbeat.digest = cluster.node(leader).state().digest();
    ask(true);
    take_updates(cluster, leader);
    // It follows another replica now; what goes to it from here does not arrive.
    cluster.run(std::chrono::seconds(2));
    REQUIRE(register_target(cluster.node(leader), 6, cluster.now()));
    cluster.run(milliseconds(40));
    take_updates(cluster, leader);
    // It looks for a replica, and chooses this one.
    ask(false);
    ask(true);
    CHECK(take_updates(cluster, leader) == 1);
  }

  TEST_CASE(
      "figures of targets are no answer: a balancer whose questions get lost goes elsewhere") {
    Cluster cluster;
    cluster.run(std::chrono::seconds(3));
    const std::uint32_t leader = cluster.leader();
    REQUIRE(leader != 0);
    FollowingBalancer balancer(cluster);
    Duration longest_behind{0};
    Duration behind{0};
    for (int turn = 0; turn < 700; ++turn) {
      if (turn % 10 == 0) {
        REQUIRE(register_target(cluster.node(leader), 1000 + turn, cluster.now()));
      }
      if (turn == 100) {
        REQUIRE(balancer.replica());
        balancer.questions_lost_to = balancer.replica();
      }
      if (turn > 100 && turn % 10 == 5 && balancer.replica()) {
        balancer.tell_figures(static_cast<std::uint64_t>(turn));
      }
      cluster.run(milliseconds(20));
      balancer.exchange();
      const Revision newest = cluster.node(leader).state().fleet().revision;
      behind = balancer.revision() + 1 < newest ? behind + milliseconds(20) : Duration{0};
      longest_behind = turn < 100 ? Duration{0} : std::max(longest_behind, behind);
    }
    CHECK(longest_behind < kInForceWithin);
  }
}

}  // namespace gorsevalve
