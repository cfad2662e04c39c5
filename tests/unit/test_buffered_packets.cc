/// BufferedPackets: opening packets that wait for a state.
#include <doctest/doctest.h>

#include "core/steering/buffered_packets.h"
#include "core/steering/flow_steering.h"
#include "steering_fixture.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_SUITE("flow_steering") {
  TEST_CASE("buffered packets expire with their clients and are bounded in number") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    SteeringPolicy policy;
    policy.hold_ms = 1200;
    BufferedPackets buffer(policy);
    const Bytes bytes = {1};
    std::vector<std::uint16_t> taken;
    const auto take = [&](const BufferedPacket& packet) {
      taken.push_back(packet.packet.flow.client.port);
      return false;
    };
    // Clients of the frontend time out after one second.
    buffer.add(opening(1), bytes, kStart);
    buffer.add(opening(2), bytes, kStart + milliseconds(900));
    buffer.release(test.steering, kStart + milliseconds(1100), take);
    CHECK(taken == std::vector<std::uint16_t>{2});
    // A packet that is not taken stays buffered and keeps its age.
    CHECK(buffer.size() == 1);
    buffer.release(test.steering, kStart + milliseconds(2000), take);
    CHECK(buffer.size() == 0);
    // A retransmission carries the age of its flow; an unknown frontend gets the policy's limit.
    ClientPacket retransmission = opening(3, 2);
    retransmission.age = milliseconds(600);
    buffer.add(retransmission, bytes, kStart);
    ClientPacket unknown = opening(4);
    unknown.flow.frontend = {5, 5};
    buffer.add(unknown, bytes, kStart);
    buffer.release(test.steering, kStart + milliseconds(500), take);
    CHECK(buffer.size() == 1);
    buffer.release(test.steering, kStart + milliseconds(1199), take);
    CHECK(buffer.size() == 1);
    buffer.release(test.steering, kStart + milliseconds(1201), take);
    CHECK(buffer.size() == 0);
    for (std::size_t i = 0; i < BufferedPackets::kMaxPackets + 5; ++i) {
      buffer.add(opening(static_cast<std::uint16_t>(i)), bytes, kStart);
    }
    CHECK(buffer.size() == BufferedPackets::kMaxPackets);
    policy.hold_ms = 0;
    BufferedPackets none(policy);
    none.add(opening(1), bytes, kStart);
    CHECK(none.size() == 0);
  }

  TEST_CASE("buffered packets are released in order of arrival") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    BufferedPackets buffer(SteeringPolicy{});
    for (const std::uint16_t port : {3, 1, 2}) {
      buffer.add(opening(port), {}, kStart + milliseconds(port));
    }
    std::vector<std::uint16_t> order;
    buffer.release(test.steering, kStart + milliseconds(10), [&](const BufferedPacket& packet) {
      order.push_back(packet.packet.flow.client.port);
      return packet.packet.flow.client.port != 1;
    });
    CHECK(order == std::vector<std::uint16_t>{3, 1, 2});
    // A packet that is not taken stays buffered.
    CHECK(buffer.size() == 1);
  }

  TEST_CASE("a retransmitted opening packet replaces the buffered one and keeps its age") {
    SteeringBalancer test(make_state({{"alpha", 1}}, {target(1, "alpha")}));
    BufferedPackets buffer(SteeringPolicy{});
    const Bytes first = {1};
    const Bytes retransmission = {2};
    buffer.add(opening(1), first, kStart);
    buffer.add(opening(1, 1), retransmission, kStart + milliseconds(200));
    CHECK(buffer.size() == 1);
    buffer.release(test.steering, kStart + milliseconds(210), [&](const BufferedPacket& packet) {
      CHECK(packet.bytes == retransmission);
      CHECK(packet.sent_at == kStart);
      return test.steering.on_packet(packet.packet, kStart).action == SteeringAction::kForward;
    });
    CHECK(buffer.size() == 0);
    // One flow is open, and the retransmission does not count against its target.
    CHECK(test.steering.flows() == 1);
    CHECK(test.steering.scores().find(1)->unanswered == 0);
  }
}

}  // namespace gorsevalve
