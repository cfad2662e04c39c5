/// Counts heap allocations on the packet path.
#include <doctest/doctest.h>

#include "allocation_counter.h"
#include "balancer_fixture.h"
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

/// Discards all messages; counts those to clients and keeps the last header sent to a target.
class DiscardingOutput : public BalancerOutput {
 public:
  void send_to_client(const FlowKey& /*flow*/, ByteView /*message*/) override { ++answers; }
  void send_to_target(const Endpoint& target, const ProxyHeader& header,
                      ByteView /*message*/) override {
    last_target = target;
    last_header = header;
  }
  void relay(const Endpoint& /*peer*/, const ProxyHeader& /*header*/,
             ByteView /*payload*/) override {}
  void send_peer(const Endpoint& /*peer*/, const PeerMessage& /*message*/) override {}

  Endpoint last_target;
  ProxyHeader last_header;
  std::uint64_t answers = 0;
};

}  // namespace

TEST_SUITE("allocation") {
  TEST_CASE("a request and its response on an established flow allocate nothing") {
    const FleetState fleet = make_test_fleet();
    DiscardingOutput output;
    Balancer balancer({fleet.members[0], {}}, output);
    const Instant now{std::chrono::seconds(1000)};
    balancer.on_fleet(fleet, now);
    const CoapMessage request = make_request(coap_code::kGet, 1, 1);
    const Bytes datagram =
        encode_proxy_datagram({{kClient, kFirstService}, {}, {}, {}}, encode_coap(request));
    const Bytes response = encode_coap(make_response(request, "answer"));
    std::array<std::uint8_t, 256> buffer{};
    const auto exchange = [&] {
      balancer.on_datagram(datagram, now);
      ProxyHeader header = output.last_header;
      header.target = output.last_target;
      const std::size_t header_size = encode_proxy_header(header, buffer.data());
      std::copy(response.begin(), response.end(),
                buffer.begin() + static_cast<std::ptrdiff_t>(header_size));
      balancer.on_datagram(ByteView(buffer.data(), header_size + response.size()), now);
    };
    constexpr std::uint64_t kWarmUp = 5000;
    constexpr std::uint64_t kMeasured = 1000;
    for (std::uint64_t i = 0; i < kWarmUp; ++i) {
      exchange();
    }
    const std::uint64_t before = allocation_count();
    for (std::uint64_t i = 0; i < kMeasured; ++i) {
      exchange();
    }
    const std::uint64_t allocations = allocation_count() - before;
    CHECK(output.answers == kWarmUp + kMeasured);
    // The deadline heap doubles its capacity, which takes a few allocations in total.
    CHECK(allocations <= 2);
  }

  TEST_CASE("token steering of open flows allocates nothing") {
    SteeringState state;
    state.settings.version = 1;
    state.settings.idle_timeout_ms = 60000;
    const Endpoint address{0xC6120001, 443};
    state.settings.frontends.push_back({"f", address, {{"alpha", 1}}, {}, 1000, 100});
    for (TargetId id = 1; id <= 600; ++id) {
      RegisteredTarget target;
      target.id = id;
      target.token = static_cast<FlowToken>(100 + id);
      target.pool = "alpha";
      target.address = {10, static_cast<std::uint16_t>(8000 + id)};
      state.put(target);
    }
    const Instant start{std::chrono::seconds(1000)};
    FlowSteering steering(7);
    steering.adopt(state, start);
    steering.confirm(start);
    // Packets in the first second after a start are not observed.
    Instant now = start;
    ClientPacket packet;
    packet.flow = {{0x64400007, 1}, address};
    packet.token = 101;
    packet.data_size = 100;
    const auto exchange = [&] {
      packet.sequence += 100;
      packet.acknowledged += 500;
      now += std::chrono::microseconds(10);
      return steering.on_packet(packet, now).action == SteeringAction::kForward;
    };
    constexpr int kMeasured = 10000;
    REQUIRE(exchange());
    const std::uint64_t before = allocation_count();
    int forwarded = 0;
    for (int i = 0; i < kMeasured; ++i) {
      forwarded += exchange() ? 1 : 0;
    }
    const std::uint64_t allocations = allocation_count() - before;
    CHECK(forwarded == kMeasured);
    CHECK(allocations == 0);
  }
}

}  // namespace gorsevalve
