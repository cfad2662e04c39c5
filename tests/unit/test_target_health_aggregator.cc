#include <doctest/doctest.h>

#include "core/control/target_health_aggregator.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

/// Returns the state of a pool whose targets have the tokens 1 to `count`.
SteeringState pool_of(FlowToken count) {
  SteeringState state;
  for (FlowToken token = 1; token <= count; ++token) {
    RegisteredTarget target;
    target.id = token;
    target.token = token;
    target.pool = "alpha";
    state.put(target);
  }
  return state;
}

TargetStatistics requests(FlowToken token, std::uint32_t count) { return {token, count}; }

TargetStatistics stalled_requests(FlowToken token, std::uint32_t count) {
  return {token, count, count};
}

TargetStatistics new_flows(FlowToken token, std::uint32_t count, std::uint32_t refused,
                           std::uint32_t unanswered) {
  return {token, 0, 0, count, refused, unanswered};
}

bool is_unhealthy(TargetHealthAggregator& aggregator, const SteeringState& state, FlowToken token,
                  Instant now) {
  for (const auto& health : aggregator.evaluate(state, now)) {
    if (health.token == token) {
      return health.is_unhealthy;
    }
  }
  return false;
}

}  // namespace

TEST_SUITE("target_health_aggregator") {
  TEST_CASE("one refusal marks a target as unhealthy for several seconds") {
    TargetHealthAggregator aggregator;
    const SteeringState state = pool_of(3);
    CHECK_FALSE(aggregator.has_failures());
    aggregator.add({new_flows(2, 5, 1, 0)}, kStart);
    CHECK(aggregator.has_failures());
    CHECK(is_unhealthy(aggregator, state, 2, kStart));
    CHECK_FALSE(is_unhealthy(aggregator, state, 1, kStart));
    CHECK(is_unhealthy(aggregator, state, 2, kStart + seconds(4)));
    CHECK_FALSE(is_unhealthy(aggregator, state, 2, kStart + seconds(6)));
  }

  TEST_CASE("only probes refused over a longer time mark a target as unhealthy") {
    const SteeringState state = pool_of(3);
    const auto unhealthy_after = [&](const std::vector<int>& refused_at_ms) {
      TargetHealthAggregator aggregator;
      for (const int at : refused_at_ms) {
        TargetStatistics observed;
        observed.token = 2;
        observed.refused_probes = 1;
        aggregator.add({observed}, kStart + milliseconds(at));
        CHECK(aggregator.has_failures());
      }
      return is_unhealthy(aggregator, state, 2, kStart + milliseconds(refused_at_ms.back() + 1));
    };
    CHECK_FALSE(unhealthy_after({0, 1, 2}));
    CHECK(unhealthy_after({0, 250, 500}));
    // A target that is temporarily full at intervals.
    CHECK_FALSE(unhealthy_after({0, 1200, 2400}));
  }

  TEST_CASE("a target that one balancer cannot reach is reported first") {
    TargetHealthAggregator aggregator;
    const SteeringState state = pool_of(400);
    std::vector<TargetStatistics> observed;
    for (FlowToken token = 1; token <= 300; ++token) {
      observed.push_back(new_flows(token, 1, 1, 0));
    }
    TargetStatistics unreachable;
    unreachable.token = 350;
    unreachable.unreachable = 1;
    observed.push_back(unreachable);
    aggregator.add(observed, kStart);
    CHECK(aggregator.has_failures());
    const auto reported = aggregator.evaluate(state, kStart);
    REQUIRE(reported.size() == TargetHealthAggregator::kMaxTargets);
    CHECK(reported[0].token == 350);
    CHECK(reported[0].is_unreachable);
    CHECK(reported[0].is_unhealthy);
    CHECK_FALSE(reported[1].is_unreachable);
    // A follower reports it to the leader.
    aggregator.add({unreachable}, kStart);
    CHECK(aggregator.take_observations(kStart).back().unreachable == 1);
  }

  TEST_CASE("observations from before a restart are dropped") {
    TargetHealthAggregator aggregator;
    SteeringState state = pool_of(3);
    aggregator.add({new_flows(2, 5, 1, 0)}, kStart);
    CHECK(is_unhealthy(aggregator, state, 2, kStart));
    state.targets.at(2).started_at_ms = 1;
    CHECK_FALSE(is_unhealthy(aggregator, state, 2, kStart));
    aggregator.add({new_flows(2, 5, 1, 0)}, kStart);
    CHECK(is_unhealthy(aggregator, state, 2, kStart));
  }

  TEST_CASE("unanswered flows mark a target as unhealthy, single lost packets do not") {
    TargetHealthAggregator aggregator;
    const SteeringState state = pool_of(3);
    aggregator.add({new_flows(1, 40, 0, 2), new_flows(2, 3, 0, 3)}, kStart);
    CHECK_FALSE(is_unhealthy(aggregator, state, 1, kStart));
    CHECK(is_unhealthy(aggregator, state, 2, kStart));
  }

  TEST_CASE("stalled requests mark a target as unhealthy only if the rest of its pool responds") {
    const SteeringState state = pool_of(4);
    TargetHealthAggregator one_is_down;
    one_is_down.add({stalled_requests(1, 3), requests(2, 9), requests(3, 9), requests(4, 9)},
                    kStart);
    CHECK(is_unhealthy(one_is_down, state, 1, kStart));
    CHECK_FALSE(is_unhealthy(one_is_down, state, 2, kStart));
    TargetHealthAggregator all_are_slow;
    all_are_slow.add({stalled_requests(1, 3), stalled_requests(2, 3), stalled_requests(3, 4),
                      stalled_requests(4, 3)},
                     kStart);
    for (FlowToken token = 1; token <= 4; ++token) {
      CHECK_FALSE(is_unhealthy(all_are_slow, state, token, kStart));
    }
  }

  TEST_CASE("load is relative to the mean of the pool, and average loads are not reported") {
    TargetHealthAggregator aggregator;
    SteeringState state = pool_of(4);
    state.targets.at(4).phase = TargetPhase::kDraining;
    aggregator.add({requests(1, 30), requests(2, 20), requests(3, 10), requests(4, 90)}, kStart);
    const auto reported = aggregator.evaluate(state, kStart);
    REQUIRE(reported.size() == 2);
    CHECK(reported[0] == TargetHealth{1, 150, false});
    CHECK(reported[1] == TargetHealth{3, 50, false});
    // Counters halve within 10 s; ratios do not change.
    aggregator.add({requests(1, 5), requests(2, 10), requests(3, 15)}, kStart + seconds(10));
    CHECK(aggregator.evaluate(state, kStart + seconds(10)).empty());
  }

  TEST_CASE("unhealthy targets and the largest load deviations take precedence at the size limit") {
    TargetHealthAggregator aggregator;
    const SteeringState state = pool_of(300);
    std::vector<TargetStatistics> observed;
    for (FlowToken token = 1; token <= 300; ++token) {
      observed.push_back(requests(token, token % 2 == 0 ? 20 : 40));
    }
    observed.push_back(new_flows(300, 1, 1, 0));
    observed.push_back(requests(7, 60));
    aggregator.add(observed, kStart);
    const auto reported = aggregator.evaluate(state, kStart);
    REQUIRE(reported.size() == TargetHealthAggregator::kMaxTargets);
    CHECK(reported[0].token == 300);
    CHECK(reported[1].token == 7);
  }

  TEST_CASE("a follower sums up the observations of its balancers and reports them once") {
    TargetHealthAggregator aggregator;
    aggregator.add({requests(2, 3), new_flows(1, 2, 1, 0)}, kStart);
    aggregator.add({requests(2, 4)}, kStart + milliseconds(500));
    const auto observed = aggregator.take_observations(kStart + milliseconds(600));
    REQUIRE(observed.size() == 2);
    CHECK(observed[0] == new_flows(1, 2, 1, 0));
    CHECK(observed[1] == requests(2, 7));
    CHECK_FALSE(aggregator.has_failures());
    CHECK(aggregator.take_observations(kStart + milliseconds(700)).empty());
    TargetStatistics replaced = requests(3, 0);
    replaced.replaced = 50;
    aggregator.add({replaced}, kStart + milliseconds(800));
    aggregator.add({requests(3, 2)}, kStart + milliseconds(800));
    const auto later = aggregator.take_observations(kStart + milliseconds(900));
    REQUIRE(later.size() == 1);
    CHECK(later[0].replaced == 50);
    CHECK(later[0].requests == 2);
  }
}

}  // namespace gorsevalve
