/// Counts heap allocations on the packet path.
#include <doctest/doctest.h>

#include "allocation_counter.h"
#include "balancer_fixture.h"

namespace gorsevalve {
namespace {

/// Sends without keeping anything.
class SilentOutput : public BalancerOutput {
 public:
  void send_to_caller(const FlowKey& /*flow*/, ByteView /*message*/) override { ++answers; }
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
  TEST_CASE("an established flow's request and answer allocate nothing") {
    const FleetState fleet = make_test_fleet();
    SilentOutput output;
    Balancer balancer({fleet.members[0], {}}, output);
    const Instant now{std::chrono::seconds(1000)};
    balancer.on_fleet(fleet, now);
    const CoapMessage request = make_request(coap_code::kGet, 1, 1);
    const Bytes datagram =
        encode_proxy_datagram({{kCaller, kFirstService}, {}, {}, {}}, encode_coap(request));
    const Bytes answer = encode_coap(make_answer(request, "answer"));
    std::array<std::uint8_t, 256> buffer{};
    const auto exchange = [&] {
      balancer.on_datagram(datagram, now);
      ProxyHeader header = output.last_header;
      header.target = output.last_target;
      const std::size_t head = encode_proxy_header(header, buffer.data());
      std::copy(answer.begin(), answer.end(), buffer.begin() + static_cast<std::ptrdiff_t>(head));
      balancer.on_datagram(ByteView(buffer.data(), head + answer.size()), now);
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
    // The heap of deadlines grows by doubling: a few steps, not one an exchange.
    CHECK(allocations <= 2);
  }
}

}  // namespace gorsevalve
