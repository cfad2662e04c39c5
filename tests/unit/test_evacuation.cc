#include <doctest/doctest.h>

#include "codec/archive.h"
#include "control_cluster.h"
#include "core/balancer/fleet_view.h"
#include "core/control/control_state.h"
#include "core/control/evacuation.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace control_cluster;

const EvacuationCommand kEvacuateA{"zone-a", EvacuationAction::kEvacuate};
const EvacuationCommand kEvacuateB{"zone-b", EvacuationAction::kEvacuate};
const EvacuationCommand kRestoreA{"zone-a", EvacuationAction::kRestore};

LogEntry entry(LogIndex index, const EvacuationCommand& command) {
  return {1, index, EntryType::kEvacuation, encode_archive(command)};
}

RegisteredTarget target(TargetId id, const std::string& pool, const std::string& zone) {
  RegisteredTarget result = make_announcement(1);
  result.id = id;
  result.pool = pool;
  result.zone = zone;
  return result;
}

/// Evacuated zones in the committed state of a replica.
std::vector<std::string> evacuated_zones_at(ControlNode& node) {
  std::vector<std::string> zones;
  for (const auto& evacuated : node.state().fleet().steering.evacuated_zones) {
    zones.push_back(evacuated.zone);
  }
  return zones;
}

/// A cluster with an elected leader.
struct ClusterWithLeader {
  ClusterWithLeader() {
    cluster.run(seconds(3));
    leader = cluster.leader();
    REQUIRE(leader != 0);
  }
  ControlNode& leader_node() { return cluster.node(leader); }
  /// Freezes the leader and waits for another one to be elected.
  void fail_over() {
    cluster.frozen = leader;
    cluster.run(seconds(5));
    leader = cluster.leader();
    REQUIRE(leader != 0);
  }
  Cluster cluster;
  std::uint32_t leader = 0;
};

}  // namespace

TEST_SUITE("evacuation") {
  TEST_CASE("a repeated command has no effect and keeps the revision of the first") {
    ControlState state(8);
    state.apply(entry(1, kEvacuateA));
    state.apply(entry(2, kEvacuateA));
    const std::vector<EvacuatedZone> expected = {{"zone-a", 1}};
    CHECK(state.fleet().steering.evacuated_zones == expected);
    CHECK(state.fleet().revision == 1);
    state.apply(entry(3, EvacuationCommand{"zone-c", EvacuationAction::kRestore}));
    CHECK(state.fleet().revision == 1);
  }

  TEST_CASE("the later of two commands for a zone takes effect, without effect on other zones") {
    ControlState state(8);
    state.apply(entry(1, kEvacuateB));
    state.apply(entry(2, kEvacuateA));
    const std::vector<EvacuatedZone> both = {{"zone-a", 2}, {"zone-b", 1}};
    CHECK(state.fleet().steering.evacuated_zones == both);
    state.apply(entry(3, kRestoreA));
    const std::vector<EvacuatedZone> one = {{"zone-b", 1}};
    CHECK(state.fleet().steering.evacuated_zones == one);
    state.apply(entry(4, kEvacuateA));
    CHECK(find_evacuation(state.fleet().steering, "zone-a")->since == 4);
  }

  TEST_CASE("evacuated zones are in the digest and survive a snapshot") {
    ControlState state(8);
    const std::uint64_t before = state.digest();
    state.apply(entry(1, kEvacuateA));
    CHECK(state.digest() != before);
    ControlState restored(8);
    restored.restore(state.save());
    CHECK(restored.fleet() == state.fleet());
    CHECK(restored.digest() == state.digest());
    restored.apply(entry(2, kEvacuateA));
    CHECK(restored.fleet().revision == 1);
  }

  TEST_CASE("a node that applies the deltas of commands has the same state") {
    ControlState state(8);
    FleetState node = state.fleet();
    state.apply(entry(1, kEvacuateB));
    state.apply(entry(2, kEvacuateA));
    state.apply(entry(3, kRestoreA));
    while (const FleetDelta* delta = state.delta_after(node.revision)) {
      REQUIRE(apply_delta(node, *delta));
    }
    CHECK(node == state.fleet());
    CHECK(fleet_digest(node) == state.digest());
  }

  TEST_CASE("known zones are those of the configuration, of targets, and of evacuations") {
    FleetState fleet;
    for (const auto& one : {target(1, "alpha", "zone-b"), target(2, "alpha", "")}) {
      fleet.steering.put(one);
    }
    fleet.steering.evacuated_zones = {{"gone", 1}};
    Service service;
    service.targets.emplace_back().zone = "zone-s";
    fleet.settings.services.push_back(service);
    const std::vector<std::string> expected = {"gone", "zone-a", "zone-b", "zone-s"};
    CHECK(known_zones({"zone-a", "zone-b"}, fleet) == expected);
    CHECK(known_zones({}, FleetState{}).empty());
    CHECK(unknown_zone_error("x", expected) ==
          "there is no zone \"x\"; known zones: gone zone-a zone-b zone-s");
    CHECK(unknown_zone_error("x", {}) == "there is no zone \"x\"; known zones: none");
  }

  TEST_CASE("pools and services without targets outside of evacuated zones are listed") {
    FleetState fleet;
    for (const auto& one : {target(1, "alpha", "zone-a"), target(2, "beta", "zone-a"),
                            target(3, "beta", "zone-b"), target(4, "gamma", "zone-a")}) {
      fleet.steering.put(one);
    }
    fleet.steering.targets.at(4).phase = TargetPhase::kEnded;
    Service service;
    service.name = "s";
    service.targets.emplace_back().zone = "zone-a";
    service.targets.emplace_back().zone = "zone-b";
    service.targets.back().draining = true;
    fleet.settings.services.push_back(service);
    CHECK(pools_without_targets(fleet).empty());
    fleet.steering.evacuated_zones = {{"zone-a", 1}};
    CHECK(pools_without_targets(fleet) == std::vector<std::string>{"alpha", "s"});
  }

  TEST_CASE("relayed services treat targets of an evacuated zone as draining") {
    FleetState fleet;
    fleet.partitions = 8;
    Service service;
    service.address = {1, 5683};
    for (const std::uint32_t i : {1, 2}) {
      Target& one = service.targets.emplace_back();
      one.address = {10 + i, 5683};
      one.zone = i == 1 ? "zone-a" : "zone-b";
      one.weight = 100;
    }
    fleet.settings.services.push_back(service);
    fleet.steering.evacuated_zones = {{"zone-a", 1}};
    const FleetView view(fleet);
    const ServiceView* served = view.service({1, 5683});
    REQUIRE(served != nullptr);
    for (std::uint16_t port = 1; port < 200; ++port) {
      const FlowKey flow{{99, port}, {1, 5683}};
      CHECK(view.first_choice(*served, flow)->zone == "zone-b");
    }
    fleet.steering.evacuated_zones.clear();
    const FleetView returned(fleet, &view);
    CHECK_FALSE(returned.target(*returned.service({1, 5683}), {11, 5683})->draining);
  }

  TEST_CASE("a command takes effect at every replica on commit and survives a failover") {
    ClusterWithLeader test;
    const auto proposal = test.leader_node().propose(kEvacuateA, test.cluster.now());
    REQUIRE(proposal);
    CHECK(test.leader_node().status(*proposal) == ProposalStatus::kPending);
    CHECK_FALSE(test.leader_node().is_committed(kEvacuateA, test.cluster.now()));
    test.cluster.run(milliseconds(200));
    CHECK(test.leader_node().status(*proposal) == ProposalStatus::kCommitted);
    for (std::uint32_t i = 1; i <= 3; ++i) {
      CHECK(evacuated_zones_at(test.cluster.node(i)) == std::vector<std::string>{"zone-a"});
    }
    test.fail_over();
    CHECK(test.leader_node().is_committed(kEvacuateA, test.cluster.now()));
    CHECK_FALSE(test.leader_node().is_committed(kRestoreA, test.cluster.now()));
  }

  TEST_CASE("the next leader acknowledges a repeated command, which has no effect") {
    ClusterWithLeader test;
    REQUIRE(test.leader_node().propose(kEvacuateA, test.cluster.now()));
    test.cluster.run(milliseconds(200));
    const Revision committed_revision = test.leader_node().state().fleet().revision;
    test.fail_over();
    REQUIRE(test.leader_node().is_committed(kEvacuateA, test.cluster.now()));
    const auto repeated = test.leader_node().propose(kEvacuateA, test.cluster.now());
    REQUIRE(repeated);
    test.cluster.run(milliseconds(200));
    CHECK(test.leader_node().status(*repeated) == ProposalStatus::kCommitted);
    CHECK(test.leader_node().state().fleet().steering.evacuated_zones[0].since ==
          committed_revision);
  }

  TEST_CASE(
      "of two concurrent commands the later entry takes effect, and none is acknowledged early") {
    ClusterWithLeader test;
    REQUIRE(test.leader_node().propose(kEvacuateA, test.cluster.now()));
    // The zone is not evacuated yet, but a command to evacuate it is in flight.
    CHECK_FALSE(test.leader_node().is_committed(kRestoreA, test.cluster.now()));
    const auto restore = test.leader_node().propose(kRestoreA, test.cluster.now());
    REQUIRE(restore);
    test.cluster.run(milliseconds(200));
    CHECK(test.leader_node().status(*restore) == ProposalStatus::kCommitted);
    CHECK(test.leader_node().is_committed(kRestoreA, test.cluster.now()));
    CHECK(evacuated_zones_at(test.leader_node()).empty());
  }

  TEST_CASE("followers do not acknowledge commands") {
    ClusterWithLeader test;
    REQUIRE(test.leader_node().propose(kEvacuateA, test.cluster.now()));
    test.cluster.run(milliseconds(200));
    ControlNode& follower = test.cluster.node(test.leader == 1 ? 2 : 1);
    CHECK(evacuated_zones_at(follower) == std::vector<std::string>{"zone-a"});
    CHECK_FALSE(follower.is_committed(kEvacuateA, test.cluster.now()));
    CHECK_FALSE(follower.propose(kRestoreA, test.cluster.now()));
  }

  TEST_CASE("without a majority no command is acknowledged or takes effect") {
    ClusterWithLeader test;
    const std::uint32_t isolated_leader = test.leader;
    ControlNode& leader = test.leader_node();
    test.cluster.drops_messages_to = {true, true, true, true};
    test.cluster.drops_messages_to[isolated_leader] = false;
    const auto proposal = leader.propose(kEvacuateA, test.cluster.now());
    REQUIRE(proposal);
    for (int tick = 0; tick < 250; ++tick) {
      CHECK(leader.status(*proposal) != ProposalStatus::kCommitted);
      CHECK_FALSE(leader.is_committed(kEvacuateA, test.cluster.now()));
      test.cluster.run(milliseconds(20));
    }
    CHECK_FALSE(leader.propose(kEvacuateA, test.cluster.now()));
    for (std::uint32_t i = 1; i <= 3; ++i) {
      CHECK(evacuated_zones_at(test.cluster.node(i)).empty());
    }
  }

  TEST_CASE("an uncommitted command cannot override a later acknowledged one") {
    ClusterWithLeader test;
    const std::uint32_t old_leader = test.leader;
    // The old leader is frozen before its entry reaches another replica.
    REQUIRE(test.leader_node().propose(kEvacuateA, test.cluster.now()));
    test.cluster.drop_in_flight();
    test.fail_over();
    REQUIRE(test.leader_node().propose(kEvacuateB, test.cluster.now()));
    test.cluster.run(milliseconds(200));
    REQUIRE(test.leader_node().is_committed(kRestoreA, test.cluster.now()));
    test.cluster.frozen = 0;
    test.cluster.run(seconds(5));
    for (std::uint32_t i = 1; i <= 3; ++i) {
      CHECK(evacuated_zones_at(test.cluster.node(i)) == std::vector<std::string>{"zone-b"});
    }
    CHECK_FALSE(test.cluster.node(old_leader).is_committed(kEvacuateA, test.cluster.now()));
  }

  TEST_CASE("the start and the end of a target's warm-up each make one log entry") {
    SteeringState state;
    const auto changes_state = [&](std::uint64_t sequence, std::uint32_t warm_up_ms) {
      RegistrationCommand command;
      command.announced.push_back(make_announcement(sequence));
      command.announced.back().warm_up_ms = warm_up_ms;
      const auto delta = steering_delta(state, command, TokenIndex(state));
      if (delta) {
        apply_steering_delta(state, *delta);
      }
      return delta.has_value();
    };
    CHECK(changes_state(1, 0));
    CHECK_FALSE(changes_state(2, 0));
    CHECK(changes_state(3, 30000));
    CHECK_FALSE(changes_state(4, 28800));
    CHECK(state.targets.begin()->second.warm_up_ms == 30000);
    CHECK(changes_state(5, 0));
    CHECK_FALSE(changes_state(6, 0));
    // An announcement with an old sequence number is ignored.
    CHECK_FALSE(changes_state(4, 28800));
  }
}

}  // namespace gorsevalve
