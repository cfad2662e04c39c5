#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "core/steering/flow_steering.h"
#include "steering_fixture.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_SUITE("flow_steering") {
  TEST_CASE("a restarted unreachable target gets flows immediately") {
    FailingTarget test;
    test.send_request(1, test.failing);
    test.send_request(1, test.failing, milliseconds(200));
    REQUIRE(test.run(milliseconds(200), {test.healthy}).size() == 1);
    REQUIRE(test.steering().unreachable_targets() == 1);
    SteeringDelta restart;
    restart.upserted_targets = {target(test.failing, "alpha")};
    restart.upserted_targets[0].started_at_ms = 1;
    test.steering().apply(restart, test.now);
    CHECK(test.steering().unreachable_targets() == 0);
    const TargetScore* score = test.steering().scores().find(test.failing);
    REQUIRE(score != nullptr);
    CHECK(score->open_flows == 0);
    CHECK(score->response_us == 0);
    CHECK_FALSE(test.steering().scores().is_suspected(test.failing, test.now));
    // The target itself rejects packets of its previous incarnation's flows.
    const SteeringDecision decision = test.send_request(1, test.failing);
    CHECK(decision.action == SteeringAction::kForward);
    std::size_t placed = 0;
    for (std::uint16_t port = 100; port < 140; ++port) {
      const SteeringDecision opened = test.steering().on_packet(opening(port), test.now);
      REQUIRE(opened.target != nullptr);
      placed += opened.target->id == test.failing ? 1 : 0;
    }
    CHECK(placed >= 10);
  }

  TEST_CASE("unanswered packets of an earlier incarnation do not count against a target") {
    SteeringBalancer balancer(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    const Instant at = kStart + seconds(2);
    REQUIRE(balancer.steering.on_packet(opening(1), at).target->id == 1);
    SteeringDelta restart;
    restart.upserted_targets = {target(1, "alpha")};
    restart.upserted_targets[0].started_at_ms = 1;
    balancer.steering.apply(restart, at + milliseconds(50));
    balancer.steering.check_reply_timeouts(at + milliseconds(400));
    CHECK_FALSE(balancer.steering.scores().is_suspected(1, at + milliseconds(400)));
    // The same with a snapshot.
    REQUIRE(balancer.steering.on_packet(opening(2), at + seconds(1)).target->id == 1);
    SteeringState snapshot = make_state({{"alpha", 1}}, {target(1, "alpha")});
    snapshot.targets.at(1).started_at_ms = 2;
    balancer.steering.adopt(snapshot, at + milliseconds(1050));
    balancer.steering.check_reply_timeouts(at + milliseconds(1400));
    CHECK_FALSE(balancer.steering.scores().is_suspected(1, at + milliseconds(1400)));
  }

  TEST_CASE("a new incarnation warms up again, even with a lower sequence number") {
    RegisteredTarget warm = target(1, "alpha");
    warm.sequence = 900;
    SteeringBalancer balancer(make_state({{"alpha", 1}}, {warm, target(2, "alpha")}));
    SteeringDelta restart;
    restart.upserted_targets = {target(1, "alpha")};
    restart.upserted_targets[0].started_at_ms = 1;
    restart.upserted_targets[0].sequence = 1;
    restart.upserted_targets[0].warm_up_ms = 5000;
    balancer.steering.apply(restart, kStart + seconds(2));
    CHECK(balancer.steering.scores().find(1)->warm_at == kStart + seconds(7));
  }

  TEST_CASE("every balancer keeps an open flow at its target across state changes") {
    SteeringState state = make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")});
    SteeringBalancer first(state);
    const auto placed = first.steering.on_packet(opening(1), kStart);
    REQUIRE(placed.action == SteeringAction::kForward);
    const TargetId id = placed.target->id;
    const FlowToken token = placed.target->token;
    // The target drains, another one is added, and a balancer without an entry receives the flow.
    state.targets.at(id).phase = TargetPhase::kDraining;
    state.put(target(3, "alpha"));
    SteeringBalancer second(state);
    const auto followed = second.steering.on_packet(established(1, token), kStart);
    REQUIRE(followed.action == SteeringAction::kForward);
    CHECK(followed.target->id == id);
    CHECK(followed.reason == SteeringReason::kToken);
  }

  TEST_CASE("a draining, ended or unknown target gets no new flow") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha", TargetPhase::kDraining),
                                                      target(2, "alpha", TargetPhase::kEnded),
                                                      target(3, "alpha"), target(4, "other")}));
    for (std::uint16_t port = 1; port <= 50; ++port) {
      const auto decision = test.steering.on_packet(opening(port), kStart);
      REQUIRE(decision.action == SteeringAction::kForward);
      CHECK(decision.target->id == 3);
    }
  }

  TEST_CASE("an open flow stays at a target that has announced its end") {
    SteeringBalancer test(
        make_state({{"alpha", 1}}, {target(1, "alpha", TargetPhase::kEnded), target(3, "alpha")}));
    const auto decision = test.steering.on_packet(established(1, 101), kStart);
    REQUIRE(decision.action == SteeringAction::kForward);
    CHECK(decision.target->id == 1);
  }

  TEST_CASE("a token is valid only in current and former pools of the frontend") {
    SteeringState state = make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "beta")});
    SteeringBalancer test(state);
    CHECK(test.steering.on_packet(established(1, 102), kStart).reason ==
          SteeringReason::kForeignToken);
    state.settings.version = 2;
    state.settings.frontends[0].former_pools = {"beta"};
    test.steering.adopt(state, kStart);
    CHECK(test.steering.on_packet(established(1, 102), kStart).reason == SteeringReason::kToken);
  }

  TEST_CASE("packets with unknown tokens are dropped") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    CHECK(test.steering.on_packet(established(1, 999), kStart).action == SteeringAction::kDrop);
    CHECK(test.steering.on_packet(established(1, 0), kStart).action == SteeringAction::kDrop);
  }

  TEST_CASE(
      "the first retransmission of an opening packet goes to the same target, the second to "
      "another") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    const auto first = test.steering.on_packet(opening(1), kStart);
    REQUIRE(first.target != nullptr);
    const TargetId id = first.target->id;
    const auto retransmission = test.steering.on_packet(opening(1, 1), kStart + milliseconds(200));
    REQUIRE(retransmission.target != nullptr);
    CHECK(retransmission.target->id == id);
    CHECK(retransmission.reason == SteeringReason::kRetransmission);
    const auto second = test.steering.on_packet(opening(1, 2), kStart + milliseconds(600));
    REQUIRE(second.target != nullptr);
    CHECK(second.target->id != id);
    CHECK(second.reason == SteeringReason::kPlacedAgain);
  }

  TEST_CASE("a retransmission stays with the only target") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    test.steering.on_packet(opening(1), kStart);
    const auto second = test.steering.on_packet(opening(1, 2), kStart + milliseconds(600));
    REQUIRE(second.target != nullptr);
    CHECK(second.target->id == 1);
  }

  TEST_CASE("a target that does not answer opening packets is avoided temporarily") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    // Target 1 never replies; target 2 does.
    Instant now = kStart;
    int late_flows_to_failed = 0;
    for (std::uint16_t port = 1; port <= 40; ++port) {
      now += milliseconds(20);
      const auto decision = test.steering.on_packet(opening(port), now);
      REQUIRE(decision.target != nullptr);
      if (decision.target->id == 1) {
        late_flows_to_failed += port > 8 ? 1 : 0;
        test.steering.on_packet(opening(port, 1), now);
      } else {
        test.steering.on_packet(established(port, 102), now);
      }
    }
    CHECK(late_flows_to_failed == 0);
  }

  TEST_CASE("a target that refuses a flow is avoided immediately, and packet loss is no refusal") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    Instant now = kStart + seconds(2);
    const auto refused = test.steering.on_packet(opening(1), now);
    // The second client retransmits, so its flow was not refused.
    const auto lost = test.steering.on_packet(opening(2), now);
    REQUIRE(refused.target != nullptr);
    REQUIRE(lost.target != nullptr);
    const TargetId down = refused.target->id;
    REQUIRE(lost.target->id != down);
    test.steering.on_packet(opening(2, 1), now + milliseconds(200));
    now += milliseconds(310);
    test.steering.on_tick(now);
    CHECK(test.steering.has_failures());
    for (std::uint16_t port = 10; port < 30; ++port) {
      CHECK(test.steering.on_packet(opening(port), now).target->id != down);
    }
    for (const auto& observation : test.steering.take_observations()) {
      const bool is_down = observation.token == 100 + down;
      CHECK(observation.refused_flows == (is_down ? 1 : 0));
      CHECK(observation.retransmitted_flows == (is_down ? 0 : 1));
    }
    CHECK_FALSE(test.steering.has_failures());
  }

  TEST_CASE(
      "an overdue opening packet triggers a probe, whose refusal diverts new flows immediately") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    Instant now = kStart + seconds(5);
    respond_quickly(test.steering, now);
    const TargetId down = test.steering.on_packet(opening(1), now).target->id;
    REQUIRE(test.steering.next_reply_deadline() == now + HandshakeTimes::kMaxTimeout);
    now += HandshakeTimes::kMaxTimeout;
    CHECK_FALSE(test.steering.is_probing());
    test.steering.check_reply_timeouts(now);
    const auto probes = test.steering.take_probes(now);
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].address == target(down, "alpha").address);
    test.steering.on_probe_answer(probes[0].number, ProbeAnswer::kRefused, now + milliseconds(2));
    CHECK(test.steering.has_failures());
    for (std::uint16_t port = 10; port < 30; ++port) {
      CHECK(test.steering.on_packet(opening(port), now + milliseconds(3)).target->id != down);
    }
    for (const auto& observation : test.steering.take_observations()) {
      CHECK(observation.refused_probes == (observation.token == 100 + down ? 1 : 0));
      CHECK(observation.refused_flows == 0);
    }
  }

  TEST_CASE("a full target is avoided only while it refuses") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    Instant now = kStart + seconds(5);
    respond_quickly(test.steering, now);
    const TargetId full = test.steering.on_packet(opening(1), now).target->id;
    now += HandshakeTimes::kMaxTimeout;
    test.steering.check_reply_timeouts(now);
    const auto first = test.steering.take_probes(now);
    REQUIRE(first.size() == 1);
    test.steering.on_probe_answer(first[0].number, ProbeAnswer::kRefused, now);
    // The target did not reset the flow; the retransmission goes to another target.
    now += milliseconds(100);
    CHECK(test.steering.on_packet(opening(1, 1), now).target->id != full);
    now += milliseconds(200);
    test.steering.check_reply_timeouts(now);
    for (const auto& probe : test.steering.take_probes(now)) {
      test.steering.on_probe_answer(probe.number, ProbeAnswer::kAccepted, now);
    }
    for (const auto& observation : test.steering.take_observations()) {
      CHECK(observation.refused_flows == 0);
    }
    bool is_used = false;
    for (std::uint16_t port = 10; port < 30; ++port) {
      is_used = is_used || test.steering.on_packet(opening(port), now).target->id == full;
    }
    CHECK(is_used);
  }

  TEST_CASE("no probe is sent for an overdue opening packet while responses are slow") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    const Instant now = kStart + seconds(5);
    test.steering.on_packet(established(9000, 102, 1, 100), now - milliseconds(300));
    test.steering.on_packet(established(9000, 102, 501), now);
    test.steering.on_packet(opening(1), now);
    test.steering.check_reply_timeouts(now + HandshakeTimes::kMaxTimeout);
    CHECK(test.steering.take_probes(now + HandshakeTimes::kMaxTimeout).empty());
    // Reports of other balancers are ignored, too.
    test.steering.on_refusing({"", {101}}, now);
    bool is_used = false;
    for (std::uint16_t port = 10; port < 30; ++port) {
      is_used = is_used || test.steering.on_packet(opening(port), now).target->id == 1;
    }
    CHECK(is_used);
  }

  TEST_CASE("fast responses in the first seconds after a start do not rule out queueing") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    const Instant now = kStart + seconds(2);
    respond_quickly(test.steering, now);
    test.steering.on_packet(opening(1), now);
    test.steering.check_reply_timeouts(now + HandshakeTimes::kMaxTimeout);
    CHECK(test.steering.take_probes(now + HandshakeTimes::kMaxTimeout).empty());
  }

  TEST_CASE("refusal reports count only from the local zone and the target's zone") {
    SteeringState state = make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")});
    state.targets.at(1).zone = "zone-b";
    state.targets.at(2).zone = "zone-b";
    for (const auto& [reporter, counts] :
         {std::pair<std::string, bool>{"zone-a", true}, {"zone-b", true}, {"zone-c", false}}) {
      FlowSteering steering(7, "zone-a");
      steering.adopt(state, kStart);
      steering.confirm(kStart);
      const Instant now = kStart + seconds(5);
      steering.on_refusing({reporter, {101, 999}}, now);
      bool is_used = false;
      for (std::uint16_t port = 10; port < 40; ++port) {
        is_used = is_used || steering.on_packet(opening(port), now).target->id == 1;
      }
      CHECK(is_used == !counts);
    }
  }

  TEST_CASE("an opening packet delayed by local congestion triggers no probe") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
    const Instant now = kStart + seconds(5);
    respond_quickly(test.steering, now);
    test.steering.set_link_congested(true, now);
    test.steering.on_packet(opening(1), now);
    test.steering.check_reply_timeouts(now + HandshakeTimes::kMaxTimeout);
    CHECK(test.steering.take_probes(now + HandshakeTimes::kMaxTimeout).empty());
  }

  TEST_CASE("an unanswered request is reported, unless another balancer may handle it") {
    // The request of flow 1, in the first second after the start, does not count as unanswered.
    for (const bool stops : {false, true}) {
      SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
      test.steering.on_packet(established(1, 101, 1, 500), kStart + milliseconds(500));
      Instant now = kStart + seconds(2);
      test.steering.on_packet(established(2, 101, 1, 500), now);
      test.steering.on_packet(established(3, 101, 1, 500), now);
      test.steering.on_packet(established(3, 101, 2), now + milliseconds(30));
      if (stops) {
        test.steering.stop_observing();
      }
      test.steering.on_tick(now + milliseconds(500));
      const auto observation = test.steering.take_observations();
      REQUIRE(observation.size() == 1);
      CHECK(observation[0].requests == 3);
      CHECK(observation[0].stalled_requests == (stops ? 0 : 1));
    }
  }

  TEST_CASE("target health from all balancers decides between equal loads") {
    SteeringState state = make_state({{"alpha", 1}}, {});
    for (TargetId id = 1; id <= 4; ++id) {
      state.put(target(id, "alpha"));
      state.targets.at(id).zone = id <= 2 ? "near" : "far";
    }
    std::map<TargetId, int> flows;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
      FlowSteering balancer(seed, "near");
      balancer.adopt(state, kStart);
      balancer.confirm(kStart);
      balancer.set_target_health({{101, 120, false}, {104, 100, true}}, kStart);
      ++flows[balancer.on_packet(opening(1), kStart).target->id];
    }
    // Local targets win often, the more loaded one less so, and the unhealthy one never. Not all
    // balancers may select the same target.
    CHECK(flows[4] == 0);
    CHECK(flows[2] > flows[1] + 100);
    CHECK(flows[1] > flows[3]);
    CHECK(flows[3] > 50);
  }

  TEST_CASE("new flows spread evenly by pool weights") {
    SteeringBalancer test(make_state(
        {{"alpha", 9}, {"beta", 1}},
        {target(1, "alpha"), target(2, "alpha"), target(3, "alpha"), target(4, "beta")}));
    std::map<TargetId, int> flows;
    for (std::uint16_t port = 1; port <= 300; ++port) {
      const auto decision = test.steering.on_packet(opening(port), kStart);
      REQUIRE(decision.target != nullptr);
      ++flows[decision.target->id];
    }
    CHECK(flows[4] == 30);
    CHECK(flows[1] == 90);
    CHECK(flows[2] == 90);
    CHECK(flows[3] == 90);
  }

  TEST_CASE("a slow target soon gets fewer new flows") {
    SteeringBalancer test(
        make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha"), target(3, "alpha")}));
    std::map<TargetId, int> late;
    Instant now = kStart;
    for (std::uint16_t port = 1; port <= 300; ++port) {
      now += milliseconds(10);
      const auto decision = test.steering.on_packet(opening(port), now);
      REQUIRE(decision.target != nullptr);
      const TargetId id = decision.target->id;
      const FlowToken token = decision.target->token;
      late[id] += port > 150 ? 1 : 0;
      const Duration took = milliseconds(id == 1 ? 120 : 25);
      test.steering.on_packet(established(port, token, 1, 200), now);
      test.steering.on_packet(established(port, token, 900), now + took);
    }
    CHECK(late[1] * 3 < late[2]);
    CHECK(late[1] > 0);
  }

  TEST_CASE("a dropped frontend resets its flows; an unknown one resets only opening packets") {
    SteeringState state = make_state({{"alpha", 1}}, {target(1, "alpha")});
    SteeringBalancer test(state);
    ClientPacket unknown = established(1, 101);
    unknown.flow.frontend = {5, 5};
    CHECK(test.steering.on_packet(unknown, kStart).action == SteeringAction::kDrop);
    unknown.opens = true;
    CHECK(test.steering.on_packet(unknown, kStart).action == SteeringAction::kReset);
    state.settings.version = 2;
    state.settings.frontends.clear();
    test.steering.adopt(state, kStart);
    CHECK(test.steering.on_packet(established(1, 101), kStart).action == SteeringAction::kReset);
    ClientPacket reset = established(1, 101);
    reset.resets = true;
    CHECK(test.steering.on_packet(reset, kStart).action == SteeringAction::kDrop);
  }

  TEST_CASE("a new flow without a target is reset; without a state it is dropped") {
    FlowSteering empty(7);
    CHECK(empty.on_packet(opening(1), kStart).reason == SteeringReason::kNoState);
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha", TargetPhase::kDraining)}));
    const auto decision = test.steering.on_packet(opening(1), kStart);
    CHECK(decision.action == SteeringAction::kReset);
    CHECK(decision.reason == SteeringReason::kNoTarget);
  }

  TEST_CASE("with an unconfirmed state a balancer only forwards open flows") {
    // After a full outage a replica serves its stored state before there is a leader.
    SteeringState state = make_state({{"alpha", 1}}, {target(1, "alpha")});
    FlowSteering steering(7);
    steering.adopt(state, kStart);
    CHECK(steering.on_packet(established(1, 101), kStart).target->id == 1);
    CHECK(steering.on_packet(opening(2), kStart).reason == SteeringReason::kNoState);
    CHECK(steering.on_packet(established(3, 555), kStart).reason == SteeringReason::kNoState);
    ClientPacket unknown = established(1, 101);
    unknown.flow.frontend = {5, 5};
    CHECK(steering.on_packet(unknown, kStart).reason == SteeringReason::kNoState);
    state.targets.at(1).phase = TargetPhase::kReplaced;
    state.put(target(2, "alpha"));
    state.targets.at(2).address = state.targets.at(1).address;
    steering.adopt(state, kStart);
    // The unconfirmed state shows a replaced target, which may be outdated, so nothing is reset.
    CHECK(steering.on_packet(established(1, 101), kStart).reason == SteeringReason::kNoState);
    steering.confirm(kStart);
    CHECK(steering.on_packet(established(1, 101), kStart).action == SteeringAction::kReset);
    CHECK(steering.on_packet(opening(2), kStart).target->id == 2);
  }

  TEST_CASE("open flows are counted once and evicted when idle") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    test.steering.on_packet(opening(1), kStart);
    test.steering.on_packet(established(1, 101), kStart);
    test.steering.on_packet(established(1, 101, 5, 10), kStart);
    CHECK(test.steering.scores().find(1)->open_flows == 1);
    CHECK(test.steering.scores().find(1)->busy_flows == 1);
    ClientPacket end = established(1, 101, 9);
    end.closes = true;
    test.steering.on_packet(end, kStart);
    CHECK(test.steering.scores().find(1)->open_flows == 0);
    CHECK(test.steering.scores().find(1)->busy_flows == 0);
    test.steering.on_packet(established(1, 101, 9), kStart);
    CHECK(test.steering.scores().find(1)->open_flows == 0);
    test.steering.on_packet(opening(2), kStart);
    test.steering.on_tick(kStart + std::chrono::seconds(20));
    CHECK(test.steering.flows() == 0);
    CHECK(test.steering.scores().find(1)->open_flows == 0);
  }

  TEST_CASE("retransmitted data triggers probes, and flows of a failed target are reset") {
    // Requests on open flows of a failed target must not wait for their deadlines.
    FailingTarget test;
    test.send_request(1, test.failing);
    CHECK_FALSE(test.steering().is_probing());
    test.send_request(1, test.failing, milliseconds(200));
    CHECK(test.steering().is_probing());
    const auto detected = test.run(milliseconds(200), {test.healthy});
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].target == test.failing);
    // The idle flow at the target is closed, too, before its client sends a non-idempotent request.
    const auto resets = test.steering().reset_flows_to(test.failing);
    REQUIRE(resets.size() == 2);
    CHECK(resets[0].acknowledged == 500);
    // Later packets are reset, other flows continue, and new flows go to the other target.
    const auto late =
        test.steering().on_packet(established(1, test.token(test.failing), 500, 100), test.now);
    CHECK(late.action == SteeringAction::kReset);
    CHECK(late.reason == SteeringReason::kTargetUnreachable);
    const auto other =
        test.steering().on_packet(established(3, test.token(test.healthy), 500, 100), test.now);
    CHECK(other.action == SteeringAction::kForward);
    for (std::uint16_t port = 100; port < 120; ++port) {
      const auto placed = test.steering().on_packet(opening(port), test.now);
      REQUIRE(placed.target != nullptr);
      CHECK(placed.target->id == test.healthy);
    }
    // The failure is reported to all balancers.
    const auto observation = test.steering().take_observations();
    CHECK(std::any_of(observation.begin(), observation.end(), [&](const TargetStatistics& one) {
      return one.token == test.token(test.failing) && one.unreachable == 1;
    }));
  }

  TEST_CASE("retransmissions never reset flows of a target that accepts probes") {
    FailingTarget test;
    for (const int at : {0, 200, 600, 1400, 3000}) {
      test.now = kStart + seconds(1) + milliseconds(at);
      const auto decision = test.send_request(1, test.failing);
      CHECK(decision.action == SteeringAction::kForward);
      CHECK(test.run(milliseconds(200), {test.healthy, test.failing}).empty());
    }
  }

  TEST_CASE("a target that warms up again gets fewer flows until it is warm") {
    SteeringState state = make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")});
    SteeringBalancer balancer(state);
    const auto flows_at_first = [&](std::uint16_t first_port) {
      int flows = 0;
      for (std::uint16_t port = first_port; port < first_port + 60; ++port) {
        flows += balancer.steering.on_packet(opening(port), kStart).target->id == 1 ? 1 : 0;
      }
      return flows;
    };
    CHECK(flows_at_first(1000) == 30);
    SteeringDelta cold;
    cold.upserted_targets = {target(1, "alpha")};
    cold.upserted_targets[0].sequence = 1;
    cold.upserted_targets[0].warm_up_ms = 30000;
    balancer.steering.apply(cold, kStart);
    CHECK(balancer.steering.scores().find(1)->warm_at == kStart + seconds(30));
    CHECK(flows_at_first(2000) < 20);
    // A repeated announcement does not restart the warm-up.
    balancer.steering.apply(cold, kStart + seconds(10));
    CHECK(balancer.steering.scores().find(1)->warm_at == kStart + seconds(30));
    cold.upserted_targets[0].sequence = 2;
    cold.upserted_targets[0].warm_up_ms = 0;
    balancer.steering.apply(cold, kStart + seconds(20));
    CHECK(balancer.steering.scores().find(1)->warm_at == kStart + seconds(20));
  }

  TEST_CASE(
      "a target unreachable for another balancer is probed only by balancers with flows there") {
    FailingTarget test;
    SteeringBalancer without_flows(test.state);
    const std::vector<TargetHealth> health = {{test.token(test.failing), 100, true, true}};
    without_flows.steering.set_target_health(health, test.now);
    CHECK_FALSE(without_flows.steering.is_probing());
    test.steering().set_target_health(health, test.now);
    CHECK(test.steering().is_probing());
    // The target is reachable from here, so the report is not adopted.
    CHECK(test.run(milliseconds(300), {test.healthy, test.failing}).empty());
    // An unchanged report does not trigger probes.
    test.now += seconds(2);
    test.steering().set_target_health(health, test.now);
    CHECK_FALSE(test.steering().is_probing());
  }

  TEST_CASE("a flow that moves from another balancer does not clear the suspicion of its target") {
    // Flows that move between balancers must not delay the detection of a failed target.
    FailingTarget test;
    test.send_request(1, test.failing);
    test.send_request(1, test.failing, milliseconds(200));
    REQUIRE(test.steering().is_probing());
    CHECK(test.send_request(9, test.failing).action == SteeringAction::kForward);
    CHECK(test.steering().is_probing());
    CHECK(test.run(milliseconds(200), {test.healthy}).size() == 1);
  }

  TEST_CASE("while responses are slow, the first retransmission raises no suspicion") {
    FailingTarget test;
    test.answer_time = milliseconds(180);
    for (int request = 0; request < 10; ++request) {
      test.open_flows();
    }
    test.send_request(1, test.failing);
    test.send_request(1, test.failing, milliseconds(200));
    CHECK_FALSE(test.steering().is_probing());
    test.send_request(1, test.failing, milliseconds(400));
    CHECK(test.steering().is_probing());
  }

  TEST_CASE("retransmissions explained by local congestion raise no suspicion") {
    FailingTarget test;
    test.send_request(1, test.failing);
    test.steering().set_link_congested(true, test.now + milliseconds(20));
    test.steering().set_link_congested(false, test.now + milliseconds(40));
    // A delayed packet is retransmitted although the link is no longer congested.
    test.send_request(1, test.failing, milliseconds(200));
    CHECK_FALSE(test.steering().is_probing());
    // Congestion does not explain the next retransmission.
    test.send_request(1, test.failing, milliseconds(400));
    CHECK(test.steering().is_probing());
    CHECK(test.run(milliseconds(200), {test.healthy}).size() == 1);
  }

  TEST_CASE("silence does not count against targets while the link stays congested") {
    FailingTarget test;
    test.steering().set_link_congested(true, test.now);
    test.send_request(1, test.failing);
    test.send_request(1, test.failing, milliseconds(200));
    test.send_request(1, test.failing, milliseconds(400));
    CHECK_FALSE(test.steering().is_probing());
    // From the third retransmission on refusals count, but silence does not.
    test.send_request(1, test.failing, milliseconds(800));
    CHECK(test.steering().is_probing());
    CHECK(test.run(seconds(2), {test.healthy}).empty());
    CHECK(test.send_request(2, test.failing).action == SteeringAction::kForward);
  }

  TEST_CASE(
      "opening packets and requests delayed by local congestion do not count against targets") {
    for (const bool is_congested : {false, true}) {
      SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")}));
      Instant now = kStart + seconds(2);
      test.steering.set_link_congested(is_congested, now);
      // A retransmitted opening packet, an unanswered one, and an unanswered request.
      test.steering.on_packet(opening(1), now);
      test.steering.on_packet(opening(2), now);
      test.steering.on_packet(established(3, 101, 1, 100), now);
      test.steering.on_packet(opening(1, 1), now + milliseconds(200));
      test.steering.check_reply_timeouts(now + milliseconds(500));
      std::uint32_t failures = 0;
      for (const auto& observation : test.steering.take_observations()) {
        failures += observation.retransmitted_flows + observation.refused_flows +
                    observation.stalled_requests;
      }
      CHECK(failures == (is_congested ? 0 : 3));
    }
  }

  TEST_CASE("a long transfer that makes progress is not stalled") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    const Instant began = kStart + seconds(2);
    ClientPacket packet = established(1, 101, 1, 1200);
    for (int sent = 0; sent < 50; ++sent) {
      packet.sequence += 1200;
      test.steering.on_packet(packet, began + milliseconds(20) * sent);
      test.steering.check_reply_timeouts(began + milliseconds(20) * sent);
    }
    for (const auto& observation : test.steering.take_observations()) {
      CHECK(observation.stalled_requests == 0);
    }
  }

  TEST_CASE("a target that refuses probes is unreachable after a second retransmission") {
    FailingTarget test;
    test.send_request(1, test.failing);
    test.send_request(1, test.failing, milliseconds(200));
    REQUIRE(test.steering().is_probing());
    CHECK(test.run(milliseconds(400), {test.healthy}, true).empty());
    test.send_request(1, test.failing);
    const auto detected = test.run(milliseconds(50), {test.healthy}, true);
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].reason == UnreachableReason::kRefused);
  }

  TEST_CASE("a full target that refuses probes keeps the flows it responds to") {
    FailingTarget test;
    for (int request = 0; request < 5; ++request) {
      // Each request is retransmitted and answered late.
      test.send_request(1, test.failing);
      test.send_request(1, test.failing, milliseconds(200));
      CHECK(test.run(milliseconds(300), {test.healthy}, true).empty());
      test.acknowledged += 500;
      const auto answered = test.steering().on_packet(
          established(1, test.token(test.failing), test.acknowledged), test.now);
      CHECK(answered.action == SteeringAction::kForward);
      test.now += seconds(2);
    }
    CHECK(test.steering().unreachable_targets() == 0);
  }

  TEST_CASE("a full target that refuses probes is not unreachable while the link is congested") {
    FailingTarget test;
    test.steering().set_link_congested(true, test.now);
    test.send_request(1, test.failing);
    for (const int pause : {200, 400, 800, 1600}) {
      CHECK(test.run(milliseconds(pause), {test.healthy}, true).empty());
      CHECK(test.send_request(1, test.failing).action == SteeringAction::kForward);
    }
    CHECK(test.run(seconds(1), {test.healthy}, true).empty());
  }
}

}  // namespace gorsevalve
