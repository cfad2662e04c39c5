/// Cost and evenness of flow placement in pools of up to thousands of targets.
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

ClientPacket opening(std::uint32_t client) {
  ClientPacket packet;
  packet.flow = {{0x64400000U + client, 4000}, kFrontend};
  packet.opens = true;
  return packet;
}

/// A balancer that places flows in a pool.
class PlacingBalancer {
 public:
  explicit PlacingBalancer(const SteeringState& state, const SteeringPolicy& policy = {},
                           std::uint64_t seed = kSeed)
      : steering_(seed, "near", policy) {
    steering_.adopt(state, kStart);
    steering_.confirm(kStart);
  }

  /// Places one more flow and returns its target.
  TargetId place() { return steering_.on_packet(opening(++callers_), kStart).target->id; }
  FlowSteering& steering() { return steering_; }
  [[nodiscard]] const PlacementCounters& counters() const { return steering_.placement_counters(); }

 private:
  FlowSteering steering_;
  std::uint32_t callers_ = 0;
};

/// Mean number of targets examined per new flow in a pool.
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
  TEST_CASE("the number of examined targets does not grow with the pool") {
    const SteeringPolicy policy;
    for (const TargetId targets : {500U, 1000U, 2000U, 4000U, 8000U}) {
      CHECK(mean_targets_examined(targets, policy) == policy.sample);
    }
    // Small pools are scanned as a whole.
    CHECK(mean_targets_examined(100, policy) == 100);
    SteeringPolicy all;
    all.sample = 0;
    CHECK(mean_targets_examined(1000, all) == 1000);
  }

  TEST_CASE("sampling spreads flows about as evenly as full scans") {
    constexpr TargetId kTargets = 1000;
    constexpr int kBalancers = 40;
    constexpr int kFlowsEach = 200;
    const SteeringState state = make_pool_state(kTargets);
    SteeringPolicy full_scan;
    full_scan.sample = 0;
    const auto max_flows = [&](const SteeringPolicy& policy) {
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
    // Eight flows per target on average.
    CHECK(max_flows({}) <= 1.2 * max_flows(full_scan));
  }

  TEST_CASE("flows go to healthy targets when most of the pool is unhealthy") {
    constexpr TargetId kTargets = 1000;
    // One in 200 targets is healthy, so most samples contain none.
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

  TEST_CASE("changing a target moves at most one other in its pool's list") {
    // A change must not shift the list of a large pool.
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
      // After re-adding and removing, the list contains each target once.
      delta.upserted_targets[0].phase = TargetPhase::kReady;
      view.apply(delta);
      SteeringDelta removal;
      removal.removed_targets = {1, targets};
      view.apply(removal);
      const std::set<const RegisteredTarget*> unique(view.pool_targets(0).begin(),
                                                     view.pool_targets(0).end());
      CHECK(unique.size() == targets - 2);
      CHECK(view.pool_targets(0).size() == targets - 2);
    }
  }
}

}  // namespace gorsevalve
