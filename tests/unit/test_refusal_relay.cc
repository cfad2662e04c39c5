#include <doctest/doctest.h>

#include <string>

#include "core/control/refusal_relay.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Endpoint kBalancer{0x0A010001, 6000};
const std::string kZone = "zone-a";

std::vector<TargetStatistics> refused_probes(FlowToken first, FlowToken last) {
  std::vector<TargetStatistics> observed;
  for (FlowToken token = first; token <= last; ++token) {
    TargetStatistics observation;
    observation.token = token;
    observation.refused_probes = 1;
    observed.push_back(observation);
  }
  return observed;
}

std::size_t targets_in(const std::vector<RefusingTargets>& messages) {
  std::size_t count = 0;
  for (const auto& message : messages) {
    count += message.targets.size();
  }
  return count;
}

}  // namespace

TEST_SUITE("refusal_relay") {
  TEST_CASE(
      "the first refusal is sent immediately, and later ones within the interval are batched") {
    RefusalRelay relay;
    relay.on_observations(kBalancer, kZone, refused_probes(1, 1), kStart);
    const auto first = relay.take_outgoing(kStart);
    CHECK(targets_in(first.to_replicas) == 1);
    CHECK(targets_in(first.to_balancers) == 1);
    relay.on_observations(kBalancer, kZone, refused_probes(2, 2), kStart + milliseconds(5));
    relay.on_observations({1, 1}, kZone, refused_probes(3, 3), kStart + milliseconds(9));
    CHECK(relay.take_outgoing(kStart + milliseconds(9)).to_balancers.empty());
    const auto second = relay.take_outgoing(kStart + RefusalRelay::kSendInterval);
    REQUIRE(second.to_balancers.size() == 1);
    CHECK(second.to_balancers[0].zone == kZone);
    CHECK(second.to_balancers[0].targets == std::vector<FlowToken>{2, 3});
    CHECK(relay.take_outgoing(kStart + seconds(1)).to_balancers.empty());
  }

  TEST_CASE("refusals from another replica are relayed only to the local balancers") {
    RefusalRelay relay;
    relay.on_relayed({kZone, {5, 6}}, kStart);
    const auto outgoing = relay.take_outgoing(kStart);
    CHECK(outgoing.to_replicas.empty());
    CHECK(targets_in(outgoing.to_balancers) == 2);
  }

  TEST_CASE("observations without a refused probe are not relayed") {
    RefusalRelay relay;
    TargetStatistics observed;
    observed.token = 1;
    observed.refused_flows = 4;
    observed.unreachable = 1;
    relay.on_observations(kBalancer, kZone, {observed}, kStart);
    CHECK(relay.take_outgoing(kStart).to_replicas.empty());
  }

  TEST_CASE(
      "the number of messages depends on the refusing targets, not on the reporting balancers") {
    // 100 targets, which refuse 985 balancers within 100 ms.
    RefusalRelay relay;
    std::size_t messages = 0;
    std::size_t targets = 0;
    for (std::uint32_t balancer = 0; balancer < 985; ++balancer) {
      const Instant now = kStart + milliseconds(balancer / 10);
      const FlowToken first = 1 + balancer % 100;
      relay.on_observations({balancer, 6000}, kZone, refused_probes(first, first), now);
      const auto outgoing = relay.take_outgoing(now);
      messages += outgoing.to_replicas.size();
      targets += targets_in(outgoing.to_replicas);
    }
    CHECK(messages <= 6);
    CHECK(targets <= 100);
  }

  TEST_CASE("reports of one balancer are limited without affecting other balancers") {
    RefusalRelay relay;
    relay.on_observations(kBalancer, kZone, refused_probes(1, 1000), kStart);
    CHECK(targets_in(relay.take_outgoing(kStart).to_balancers) ==
          RefusalRelay::kMaxReportedTargets);
    relay.on_observations(kBalancer, kZone, refused_probes(2001, 2100), kStart + milliseconds(300));
    relay.on_observations({9, 9}, kZone, refused_probes(3000, 3000), kStart + milliseconds(300));
    CHECK(targets_in(relay.take_outgoing(kStart + milliseconds(300)).to_balancers) == 1);
    relay.on_observations(kBalancer, kZone, refused_probes(2001, 2001),
                          kStart + milliseconds(1100));
    CHECK(targets_in(relay.take_outgoing(kStart + milliseconds(1100)).to_balancers) == 1);
  }

  TEST_CASE("zones use separate messages, and large messages are split") {
    RefusalRelay relay;
    RefusingTargets large{"zone-b", {}};
    for (FlowToken token = 1; token <= 300; ++token) {
      large.targets.push_back(token);
    }
    relay.on_relayed(large, kStart);
    relay.on_relayed({kZone, {1}}, kStart);
    const auto first = relay.take_outgoing(kStart);
    REQUIRE(first.to_balancers.size() == 2);
    CHECK(targets_in(first.to_balancers) == RefusalRelay::kMaxTargets + 1);
    CHECK(targets_in(relay.take_outgoing(kStart + milliseconds(20)).to_balancers) ==
          300 - RefusalRelay::kMaxTargets);
  }
}

}  // namespace gorsevalve
