/// FlowSteering with several targets registered at one address.
#include <doctest/doctest.h>

#include <algorithm>

#include "core/steering/flow_steering.h"
#include "steering_fixture.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The probes of the failing target were silent. Then target 9 was registered at its address.
struct UnreachableTargetAtSharedAddress : FailingTarget {
  UnreachableTargetAtSharedAddress() {
    send_request(1, failing);
    send_request(1, failing, milliseconds(200));
    REQUIRE(run(milliseconds(300), {healthy}).size() == 1);
    register_at_failing(9);
  }

  void set_phase(TargetId id, TargetPhase phase) {
    SteeringDelta delta;
    delta.upserted_targets = {target(id, "alpha", phase)};
    delta.upserted_targets[0].address = target(failing, "alpha").address;
    steering().apply(delta, now);
  }
};

}  // namespace

TEST_SUITE("shared_addresses") {
  TEST_CASE("a target that announced its end keeps its flows beside others at its address") {
    // Guards against resetting flows of a target that left without draining and still serves them,
    // because an earlier holder of its address that crashed is still registered.
    for (const TargetPhase crashed_phase :
         {TargetPhase::kReady, TargetPhase::kSilent, TargetPhase::kDraining, TargetPhase::kEnded}) {
      RegisteredTarget crashed = target(2, "beta", crashed_phase);
      crashed.address = target(1, "alpha").address;
      const SteeringState state =
          make_state({{"alpha", 1}}, {target(1, "alpha", TargetPhase::kEnded), crashed});
      SteeringBalancer by_snapshot(state);
      SteeringBalancer by_delta(make_state({{"alpha", 1}}, {crashed, target(1, "alpha")}));
      SteeringDelta end;
      end.upserted_targets = {target(1, "alpha", TargetPhase::kEnded)};
      by_delta.steering.apply(end, kStart);
      for (FlowSteering* steering : {&by_snapshot.steering, &by_delta.steering}) {
        const auto decision = steering->on_packet(established(1, 101, 1, 100), kStart);
        REQUIRE(decision.action == SteeringAction::kForward);
        CHECK(decision.target->id == 1);
      }
    }
  }

  TEST_CASE("a token of a replaced target never resolves to the new owner of its address") {
    RegisteredTarget new_owner = target(2, "alpha");
    new_owner.address = target(1, "alpha").address;
    SteeringBalancer test(
        make_state({{"alpha", 1}}, {target(1, "alpha", TargetPhase::kReplaced), new_owner}));
    const auto decision = test.steering.on_packet(established(1, 101), kStart);
    CHECK(decision.action == SteeringAction::kReset);
    CHECK(decision.reason == SteeringReason::kTargetReplaced);
    // New flows go to the new owner only.
    for (std::uint16_t port = 1; port <= 20; ++port) {
      CHECK(test.steering.on_packet(opening(port), kStart).target->id == 2);
    }
  }

  TEST_CASE("a registration at the address of a target is no evidence that the target is gone") {
    // Guards against resetting all flows of a target after one lost datagram, because a delayed
    // heartbeat registered a target that had crashed at its address before.
    FailingTarget test;
    test.register_at_failing(9);
    test.send_request(1, test.failing);
    test.send_request(1, test.failing, milliseconds(200));
    REQUIRE(test.steering().is_probing());
    CHECK(test.run(milliseconds(500), {test.healthy, test.failing}).empty());
    CHECK_FALSE(test.steering().is_probing());
    CHECK(test.send_request(1, test.failing, milliseconds(600)).action == SteeringAction::kForward);
  }

  TEST_CASE("a target is gone when another one at its address accepts a flow") {
    FailingTarget test;
    test.register_at_failing(9);
    test.now += milliseconds(10);
    REQUIRE(test.open_flow_at(9, 500));
    const auto detected = test.steering().evaluate_reachability(test.now);
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].target == test.failing);
    CHECK(detected[0].reason == UnreachableReason::kReplaced);
    // The leader learns it from the next report.
    const auto observations = test.steering().take_observations();
    const auto gone = std::find_if(
        observations.begin(), observations.end(),
        [&](const TargetStatistics& one) { return one.token == test.token(test.failing); });
    REQUIRE(gone != observations.end());
    CHECK(gone->replaced == TargetStart{0});
    const auto decision = test.send_request(1, test.failing);
    CHECK(decision.action == SteeringAction::kReset);
    CHECK(decision.reason == SteeringReason::kTargetUnreachable);
    // The new owner accepts connections at the address, which must not restore the target.
    CHECK(test.run(seconds(5), {test.healthy, test.failing, 9}).empty());
    CHECK(test.send_request(2, test.failing).action == SteeringAction::kReset);
  }

  TEST_CASE("a flow that another target accepted before a target was known proves nothing") {
    FailingTarget test;
    // The opening packet precedes the registration; the handshake ends after it.
    const auto opened = test.place_flow_at(test.failing, 500);
    REQUIRE(opened);
    test.now += milliseconds(10);
    test.register_at_failing(9);
    test.steering().on_packet(established(*opened, test.token(test.failing)), test.now);
    CHECK(test.steering().evaluate_reachability(test.now).empty());
    CHECK_FALSE(test.steering().is_probing());
  }

  TEST_CASE(
      "an unreachable target that the leader hears is restored beside others at its address") {
    // Guards against resetting open flows long after a cut, because an earlier target is still
    // registered at the address.
    for (const TargetPhase other_phase :
         {TargetPhase::kReady, TargetPhase::kSilent, TargetPhase::kDraining, TargetPhase::kEnded}) {
      UnreachableTargetAtSharedAddress test;
      test.set_phase(9, other_phase);
      CHECK(test.run(seconds(3), {test.healthy, test.failing, 9}).empty());
      CHECK(test.steering().take_restored() == std::vector<TargetId>{test.failing});
      CHECK(test.send_request(5, test.failing).action == SteeringAction::kForward);
    }
  }

  TEST_CASE("an unreachable target that the leader doesn't hear is not restored by another one") {
    // Guards against letting clients of a target that crashed wait, because the next target at its
    // address accepts connections.
    UnreachableTargetAtSharedAddress test;
    test.set_phase(test.failing, TargetPhase::kSilent);
    CHECK(test.run(seconds(5), {test.healthy, test.failing, 9}).empty());
    CHECK(test.steering().take_restored().empty());
    CHECK(test.send_request(5, test.failing).action == SteeringAction::kReset);
    SUBCASE("until the log says that the other one is gone") {
      test.set_phase(9, TargetPhase::kReplaced);
    }
    SUBCASE("until the leader doesn't hear the other one either") {
      test.set_phase(9, TargetPhase::kSilent);
    }
    SUBCASE("until the leader hears it again") {
      test.set_phase(test.failing, TargetPhase::kReady);
    }
    test.run(seconds(1), {test.healthy, test.failing});
    CHECK(test.steering().take_restored() == std::vector<TargetId>{test.failing});
    CHECK(test.send_request(6, test.failing).action == SteeringAction::kForward);
  }
}

}  // namespace gorsevalve
