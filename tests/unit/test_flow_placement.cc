/// What an opening costs and how evenly openings are spread, from pools of some targets to pools of
/// thousands. No network.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

constexpr Instant kStart{std::chrono::seconds(1000)};
constexpr Endpoint kFrontend{0xC6120001, 443};
constexpr std::uint64_t kSeed = 7;

RegisteredTarget make_target(TargetId id) {
  RegisteredTarget target;
  target.id = id;
  target.token = static_cast<FlowToken>(100 + id);
  target.pool = "alpha";
  target.address = {10, static_cast<std::uint16_t>(id)};
  target.zone = id % 5 == 0 ? "near" : "far";
  target.slots = 2;
  return target;
}

SteeringState make_pool_state(TargetId count) {
  SteeringState state;
  state.settings.version = 1;
  state.settings.idle_timeout_ms = 60000;
  state.settings.frontends.push_back({"f", kFrontend, {{"alpha", 1}}, {}, 1000, 100});
  for (TargetId id = 1; id <= count; ++id) {
    state.put(make_target(id));
  }
  return state;
}

ClientPacket opening(std::uint32_t caller) {
  ClientPacket packet;
  packet.flow = {{0x64400000U + caller, 4000}, kFrontend};
  packet.opens = true;
  return packet;
}

/// A balancer before a pool.
class PlacingBalancer {
 public:
  explicit PlacingBalancer(const SteeringState& state, const SteeringPolicy& policy = {},
                           std::uint64_t seed = kSeed)
      : steering_(seed, "near", policy) {
    steering_.adopt(state, kStart);
    steering_.confirm(kStart);
  }

  /// The target of one more flow.
  TargetId place() { return steering_.on_packet(opening(++callers_), kStart).target->id; }
  FlowSteering& steering() { return steering_; }
  [[nodiscard]] const PlacementCounters& counters() const { return steering_.placement_counters(); }

 private:
  FlowSteering steering_;
  std::uint32_t callers_ = 0;
};

/// Targets looked at by each of some openings in a pool, on average.
double mean_targets_examined(TargetId targets, const SteeringPolicy& policy) {
  constexpr int kOpenings = 50;
  PlacingBalancer balancer(make_pool_state(targets), policy);
  for (int i = 0; i < kOpenings; ++i) {
    balancer.place();
  }
  return static_cast<double>(balancer.counters().targets_examined) / kOpenings;
}

}  // namespace

TEST_SUITE("flow_placement") {
  TEST_CASE("an opening looks at as many targets in a pool of thousands as in one of hundreds") {
    // Before, and still with `sample` 0: all of them.
    const SteeringPolicy policy;
    for (const TargetId targets : {500U, 1000U, 2000U, 4000U, 8000U}) {
      CHECK(mean_targets_examined(targets, policy) == policy.sample);
    }
    // Small pools are looked at as a whole.
    CHECK(mean_targets_examined(100, policy) == 100);
    SteeringPolicy all;
    all.sample = 0;
    CHECK(mean_targets_examined(1000, all) == 1000);
  }

  TEST_CASE("samples spread flows as evenly as a look at the whole pool") {
    constexpr TargetId kTargets = 1000;
    constexpr int kBalancers = 40;
    constexpr int kFlowsEach = 200;
    const SteeringState state = make_pool_state(kTargets);
    SteeringPolicy whole;
    whole.sample = 0;
    const auto busiest = [&](const SteeringPolicy& policy) {
      std::map<TargetId, int> flows;
      for (std::uint64_t seed = 0; seed < kBalancers; ++seed) {
        PlacingBalancer balancer(state, policy, seed * 0x9E3779B9U);
        for (int i = 0; i < kFlowsEach; ++i) {
          ++flows[balancer.place()];
        }
      }
      return std::max_element(flows.begin(), flows.end(),
                              [](const auto& a, const auto& b) { return a.second < b.second; })
          ->second;
    };
    // Eight flows a target on average.
    CHECK(busiest({}) <= 1.2 * busiest(whole));
  }

  TEST_CASE("where most of a pool is in trouble, flows still go to the others") {
    constexpr TargetId kTargets = 1000;
    // Each 200th is well: five of a thousand, so most samples hold none of them.
    SteeringState state = make_pool_state(kTargets);
    for (auto& [id, target] : state.targets) {
      target.phase = id % 200 == 0 ? TargetPhase::kReady : TargetPhase::kSilent;
    }
    PlacingBalancer balancer(state);
    for (int i = 0; i < 100; ++i) {
      CHECK(balancer.place() % 200 == 0);
    }
    CHECK(balancer.counters().full_scans > 0);
  }

  TEST_CASE("a change of one target moves no others in its pool's list") {
    // Before, half of them: 502 of 1,002 targets, 1,002 of 2,002 and 2,002 of 4,002.
    for (const TargetId targets : {1000U, 2000U, 4000U}) {
      SteeringView view;
      view.reset(make_pool_state(targets));
      const std::vector<const RegisteredTarget*> before = view.pool_targets(0);
      SteeringDelta delta;
      delta.upserted_targets = {make_target(targets / 2)};
      delta.upserted_targets[0].phase = TargetPhase::kDraining;
      view.apply(delta);
      const std::vector<const RegisteredTarget*>& after = view.pool_targets(0);
      REQUIRE(after.size() == targets - 1);
      std::size_t moved = 0;
      for (std::size_t i = 0; i < after.size(); ++i) {
        moved += after[i] != before[i] ? 1 : 0;
      }
      CHECK(moved <= 1);
      // And back, and gone: the list holds each target once.
      delta.upserted_targets[0].phase = TargetPhase::kReady;
      view.apply(delta);
      SteeringDelta gone;
      gone.removed_targets = {1, targets};
      view.apply(gone);
      const std::set<const RegisteredTarget*> once(view.pool_targets(0).begin(),
                                                   view.pool_targets(0).end());
      CHECK(once.size() == targets - 2);
      CHECK(view.pool_targets(0).size() == targets - 2);
    }
  }
}

}  // namespace gorsevalve
