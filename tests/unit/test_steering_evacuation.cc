/// FlowSteering while zones are evacuated.
#include <doctest/doctest.h>

#include <map>
#include <string>

#include "core/steering/buffered_packets.h"
#include "core/steering/flow_steering.h"
#include "steering_fixture.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_SUITE("flow_steering") {
  TEST_CASE("targets of an evacuated zone get no new flow, with a snapshot and with a delta") {
    EvacuatedState test;
    SteeringBalancer by_snapshot(test.evacuated());
    SteeringBalancer by_delta(test.state);
    by_delta.steering.apply(test.change({{"zone-a", 2}}), kStart);
    for (std::uint16_t port = 1; port < 100; ++port) {
      for (SteeringBalancer* balancer : {&by_snapshot, &by_delta}) {
        const auto decision = balancer->steering.on_packet(opening(port), kStart);
        REQUIRE(decision.action == SteeringAction::kForward);
        CHECK(decision.target->zone == "zone-b");
      }
    }
  }

  TEST_CASE("a target that announces itself in an evacuated zone gets no new flow") {
    EvacuatedState test;
    SteeringBalancer balancer(test.evacuated());
    SteeringDelta delta;
    delta.upserted_targets = {target(1, "alpha"), target(9, "alpha")};
    delta.upserted_targets[0].zone = delta.upserted_targets[1].zone = "zone-a";
    balancer.steering.apply(delta, kStart);
    for (std::uint16_t port = 1; port < 100; ++port) {
      CHECK(balancer.steering.on_packet(opening(port), kStart).target->id == 3);
    }
  }

  TEST_CASE("a retransmitted opening packet goes to another zone once the first one is evacuated") {
    EvacuatedState test;
    SteeringBalancer balancer(test.state);
    for (std::uint16_t port = 1; port < 100; ++port) {
      balancer.steering.on_packet(opening(port), kStart);
    }
    balancer.steering.apply(test.change({{"zone-a", 2}}), kStart);
    for (std::uint16_t port = 1; port < 100; ++port) {
      const auto retransmission =
          balancer.steering.on_packet(opening(port, 1), kStart + milliseconds(200));
      REQUIRE(retransmission.action == SteeringAction::kForward);
      CHECK(retransmission.target->zone == "zone-b");
    }
  }

  TEST_CASE("a buffered opening packet does not go to a zone evacuated later") {
    EvacuatedState test;
    FlowSteering steering{7};
    BufferedPackets buffer{SteeringPolicy{}};
    steering.adopt(test.state, kStart);
    REQUIRE(steering.on_packet(opening(1), kStart).reason == SteeringReason::kNoState);
    const Bytes bytes(32);
    buffer.add(opening(1), bytes, kStart);
    steering.apply(test.change({{"zone-a", 2}}), kStart);
    steering.confirm(kStart);
    std::vector<std::string> zones;
    buffer.release(steering, kStart, [&](const BufferedPacket& packet) {
      zones.push_back(steering.on_packet(packet.packet, kStart).target->zone);
      return true;
    });
    CHECK(zones == std::vector<std::string>{"zone-b"});
  }

  TEST_CASE("open flows stay in an evacuated zone") {
    EvacuatedState test;
    SteeringBalancer balancer(test.state);
    balancer.steering.on_packet(established(1, 101), kStart);
    balancer.steering.apply(test.change({{"zone-a", 2}}), kStart);
    const auto decision = balancer.steering.on_packet(established(1, 101, 2, 100), kStart);
    CHECK(decision.action == SteeringAction::kForward);
    CHECK(decision.target->id == 1);
  }

  TEST_CASE("new flows and retransmissions are reset while all zones are evacuated") {
    EvacuatedState test;
    SteeringBalancer balancer(test.state);
    balancer.steering.on_packet(opening(1), kStart);
    balancer.steering.apply(test.change({{"zone-a", 2}, {"zone-b", 3}}), kStart);
    for (const auto& packet : {opening(1, 1), opening(2)}) {
      const auto decision = balancer.steering.on_packet(packet, kStart + milliseconds(200));
      CHECK(decision.action == SteeringAction::kReset);
      CHECK(decision.reason == SteeringReason::kNoTarget);
    }
  }

  TEST_CASE("a zone whose evacuation ends gets its share of new flows") {
    EvacuatedState test;
    SteeringBalancer balancer(test.evacuated());
    balancer.steering.apply(test.change({}), kStart);
    std::map<std::string, int> flows;
    for (std::uint16_t port = 1; port <= 99; ++port) {
      ++flows[balancer.steering.on_packet(opening(port), kStart).target->zone];
    }
    CHECK(flows["zone-a"] == 66);
    CHECK(flows["zone-b"] == 33);
  }
}

}  // namespace gorsevalve
