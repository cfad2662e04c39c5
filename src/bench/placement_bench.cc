/// Cost of selecting a target for a new flow, by targets in the pool and targets warming up.
#include <benchmark/benchmark.h>

#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

constexpr Endpoint kFrontend{0xC6120001, 443};

RegisteredTarget make_target(TargetId id, std::uint32_t warm_up_ms) {
  RegisteredTarget target;
  target.id = id;
  target.token = static_cast<FlowToken>(1000 + id);
  target.pool = "alpha";
  target.address = {10, static_cast<std::uint16_t>(8000 + id)};
  target.slots = 2;
  target.warm_up_ms = warm_up_ms;
  return target;
}

/// Opens flows to a pool of `range(0)` targets, of which `range(2)` are warming up. With `range(1)`
/// = 1 the pool limits new flows to targets that are warming up.
void placement(benchmark::State& state) {
  constexpr std::uint32_t kHourMs = 3600000;
  const auto targets = static_cast<TargetId>(state.range(0));
  const auto warming_up = static_cast<TargetId>(state.range(2));
  SteeringState steering_state;
  steering_state.settings.version = 1;
  steering_state.settings.idle_timeout_ms = 60000;
  Pool pool{"alpha", 9};
  pool.cold_flows_per_1000_s = state.range(1) == 0 ? 0 : 5000;
  steering_state.settings.pools = {pool};
  steering_state.settings.frontends.push_back({"f", kFrontend, {{"alpha", 1}}, {}, 1000, 100});
  for (TargetId id = 1; id <= targets - warming_up; ++id) {
    steering_state.put(make_target(id, 0));
  }
  Instant now{std::chrono::seconds(1000)};
  FlowSteering steering(7);
  steering.adopt(steering_state, now);
  steering.confirm(now);
  steering.set_balancer_rank({0, 80}, now);
  SteeringDelta delta;
  for (TargetId id = targets - warming_up + 1; id <= targets; ++id) {
    delta.upserted_targets.push_back(make_target(id, kHourMs));
  }
  steering.apply(delta, now);
  ClientPacket packet;
  packet.opens = true;
  std::uint32_t clients = 0;
  for (auto _ : state) {
    packet.flow = {{0x64400000 + ++clients % 10000, 1}, kFrontend};
    now += std::chrono::microseconds(100);
    benchmark::DoNotOptimize(steering.on_packet(packet, now).target);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(placement)
    ->ArgNames({"targets", "bound", "cold"})
    ->Args({120, 0, 0})
    ->Args({120, 1, 0})
    ->Args({120, 1, 40})
    ->Args({480, 0, 0})
    ->Args({480, 1, 0})
    ->Args({480, 1, 160});

}  // namespace
}  // namespace gorsevalve
