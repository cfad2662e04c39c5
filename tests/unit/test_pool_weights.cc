/// Shares of new flows between the pools of a frontend, while its settings change.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "core/control/steering_commands.h"
#include "core/steering/flow_steering.h"
#include "steering_fixture.h"

namespace gorsevalve {
namespace {

using Weights = std::vector<WeightedPool>;

constexpr Endpoint kOtherFrontend{0xC6120002, 443};
const std::vector<std::string> kPools = {"alpha", "beta", "gamma"};

SteeringSettings settings_of(OperatorVersion version, const Weights& weights,
                             std::uint32_t other_timeout_ms = 1000) {
  SteeringSettings settings;
  settings.version = version;
  settings.idle_timeout_ms = 15000;
  for (const std::string& pool : kPools) {
    settings.pools.push_back({pool, 100});
  }
  if (!weights.empty()) {
    settings.frontends.push_back({"f", kFrontend, weights, {}, 1000, 100});
  }
  settings.frontends.push_back(
      {"other", kOtherFrontend, {{"gamma", 1}}, {}, other_timeout_ms, 100});
  return settings;
}

/// A balancer and the state that it follows. Each pool has one target.
class FollowingBalancer {
 public:
  FollowingBalancer(std::uint64_t seed, const Weights& weights) : steering_(seed) {
    state_.settings = settings_of(1, weights);
    for (TargetId id = 1; id <= kPools.size(); ++id) {
      state_.put(target(id, kPools[id - 1]));
    }
    steering_.adopt(state_, kStart);
    steering_.confirm(kStart);
  }

  void submit(const SteeringSettings& settings, bool by_snapshot) {
    const auto delta = steering_delta(state_, settings);
    if (!delta) {
      return;
    }
    apply_steering_delta(state_, *delta);
    if (by_snapshot) {
      steering_.adopt(state_, kStart);
    } else {
      steering_.apply(*delta, kStart);
    }
  }
  void change_weights(const Weights& weights, bool by_snapshot) {
    submit(settings_of(state_.settings.version + 1, weights), by_snapshot);
  }

  /// The pool of one more flow; empty if it gets none.
  std::string open() { return send(opening(++port_)); }
  std::string send(const ClientPacket& packet) {
    const auto decision = steering_.on_packet(packet, kStart);
    return decision.target == nullptr ? "" : decision.target->pool;
  }
  [[nodiscard]] OperatorVersion version() const { return state_.settings.version; }

 private:
  FlowSteering steering_;
  SteeringState state_;
  std::uint16_t port_ = 0;
};

std::uint32_t weight_of(const Weights& weights, const std::string& pool) {
  for (const WeightedPool& one : weights) {
    if (one.pool == pool) {
      return one.weight;
    }
  }
  return 0;
}

/// Settings of a frontend that follow each other: weights, number and order of the pools, pools
/// that leave and return, and a frontend that is removed.
const std::vector<Weights> kSettings = {
    {{"alpha", 90}, {"beta", 10}},
    {{"alpha", 0}, {"beta", 1}},
    {{"beta", 1}, {"alpha", 0}},
    {{"beta", 10}, {"alpha", 90}},
    {{"alpha", 1}},
    {{"gamma", 5}, {"alpha", 0}, {"beta", 9000}},
    {{"alpha", 4000000000U}, {"gamma", 4000000000U}, {"beta", 0}},
    {},
};

}  // namespace

TEST_SUITE("pool_weights") {
  TEST_CASE("no new flow goes to a pool that the current settings don't give it, in every order") {
    // Guards against selecting pools by what was counted under earlier settings: after a change
    // from 90 and 10 to 0 and 1, new flows went on to the pool of weight 0.
    constexpr int kMaxFlows = 12;
    std::size_t orders = 0;
    std::size_t wrong = 0;
    const auto count_wrong = [&](FollowingBalancer& balancer, const Weights& weights, int flows) {
      for (int i = 0; i < flows; ++i) {
        const std::string pool = balancer.open();
        wrong += (weights.empty() ? !pool.empty() : weight_of(weights, pool) == 0) ? 1 : 0;
      }
    };
    for (const Weights& first : kSettings) {
      for (const Weights& second : kSettings) {
        for (const Weights& third : kSettings) {
          for (int flows = 0; flows < kMaxFlows; ++flows) {
            for (const bool by_snapshot : {false, true}) {
              ++orders;
              FollowingBalancer balancer(orders, first);
              count_wrong(balancer, first, flows);
              balancer.change_weights(second, by_snapshot);
              // An older version is rejected and changes nothing.
              balancer.submit(settings_of(1, first), by_snapshot);
              count_wrong(balancer, second, flows);
              balancer.change_weights(third, !by_snapshot);
              count_wrong(balancer, third, kMaxFlows);
            }
          }
        }
      }
    }
    CHECK(wrong == 0);
    MESSAGE("orders of settings: " << orders);
  }

  TEST_CASE("a small weight gets its share over many balancers while settings change") {
    // Guards against starting the selection anew with each change, which gives a weight of 1 in 100
    // nothing, and against balancers that select alike.
    constexpr std::uint64_t kBalancers = 100;
    constexpr int kChanges = 10;
    constexpr int kFlowsBetween = 20;
    const Weights weights = {{"alpha", 99}, {"beta", 1}};
    const Weights reordered = {{"beta", 1}, {"alpha", 99}};
    for (const bool changes_own_frontend : {false, true}) {
      std::map<std::string, int> flows;
      for (std::uint64_t seed = 1; seed <= kBalancers; ++seed) {
        FollowingBalancer balancer(seed * 0x9E3779B9U, weights);
        for (int change = 0; change < kChanges; ++change) {
          const bool is_reordered = changes_own_frontend && change % 2 == 0;
          balancer.submit(settings_of(balancer.version() + 1, is_reordered ? reordered : weights,
                                      1000 + static_cast<std::uint32_t>(change)),
                          change % 3 == 0);
          for (int i = 0; i < kFlowsBetween; ++i) {
            ++flows[balancer.open()];
          }
        }
      }
      const double expected = kBalancers * kChanges * kFlowsBetween / 100.0;
      CHECK(flows["beta"] > 0.8 * expected);
      CHECK(flows["beta"] < 1.2 * expected);
      CHECK(flows["alpha"] + flows["beta"] == kBalancers * kChanges * kFlowsBetween);
    }
  }

  TEST_CASE("one balancer's flows follow the weights closely") {
    // Guards against the variance of independent random choices, which is 5 flows here.
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      FollowingBalancer balancer(seed, {{"alpha", 9}, {"beta", 1}});
      std::map<std::string, int> flows;
      for (int i = 0; i < 300; ++i) {
        ++flows[balancer.open()];
      }
      CHECK(flows["beta"] >= 28);
      CHECK(flows["beta"] <= 32);
    }
  }

  TEST_CASE("a retransmitted opening packet doesn't return to a pool that lost its weight") {
    // Guards against a flow that opens at the old service because its first opening packet, which
    // came before the change, was sent there.
    for (const Weights& changed :
         {Weights{{"alpha", 0}, {"beta", 1}}, Weights{{"beta", 1}}, Weights{}}) {
      for (const bool by_snapshot : {false, true}) {
        FollowingBalancer balancer(7, {{"alpha", 1}, {"beta", 0}});
        REQUIRE(balancer.send(opening(1)) == "alpha");
        balancer.change_weights(changed, by_snapshot);
        CHECK(balancer.send(opening(1, 1)) == (changed.empty() ? "" : "beta"));
      }
    }
  }
}

}  // namespace gorsevalve
