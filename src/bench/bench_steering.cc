/// Cost of steering by tokens without failures: a request and the acknowledgement of its response
/// on an open flow, and opening a flow. Argument: number of targets, in three zones.
#include <benchmark/benchmark.h>

#include <string>

#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Endpoint kFrontend{0xC6120001, 443};
constexpr std::uint32_t kFlows = 500;
/// Time between two requests at one balancer, and from a request to the end of its response.
constexpr Duration kRequestInterval = milliseconds(1);
constexpr Duration kResponseTime = std::chrono::microseconds(500);
constexpr std::uint32_t kRequestsPerTick = 250;

SteeringState make_steering_state(std::uint32_t targets) {
  SteeringState state;
  state.settings.version = 1;
  state.settings.idle_timeout_ms = 15000;
  state.settings.frontends.push_back({"f", kFrontend, {{"alpha", 1}}, {}, 3000, 100});
  for (std::uint32_t i = 1; i <= targets; ++i) {
    RegisteredTarget target;
    target.id = i;
    target.token = 100 + i;
    target.pool = "alpha";
    target.zone = std::string(1, static_cast<char>('a' + i % 3));
    target.address = {0x0A000000 + i, 8000};
    target.slots = 2;
    state.put(target);
  }
  return state;
}

/// A balancer with open flows and a virtual clock that advances with each request.
class SteeringBench {
 public:
  explicit SteeringBench(std::uint32_t targets) : targets_(targets) {
    steering_.adopt(make_steering_state(targets), kStart);
    steering_.confirm(kStart);
  }

  void exchange() {
    advance_time();
    const std::uint32_t flow = count_ % kFlows;
    ClientPacket packet;
    packet.flow = {{0x64400000 + flow, 4000}, kFrontend};
    packet.token = 101 + flow % targets_;
    packet.sequence = count_;
    packet.acknowledged = count_;
    packet.data_size = 500;
    benchmark::DoNotOptimize(steering_.on_packet(packet, now_));
    packet.acknowledged = count_ + 1;
    packet.data_size = 0;
    benchmark::DoNotOptimize(steering_.on_packet(packet, now_ + kResponseTime));
  }

  void open() {
    advance_time();
    ClientPacket packet;
    packet.flow = {{0x64500000 + count_ % 100000, 4000}, kFrontend};
    packet.opens = true;
    const SteeringDecision decision = steering_.on_packet(packet, now_);
    packet.opens = false;
    packet.closes = true;
    packet.token = decision.target->token;
    benchmark::DoNotOptimize(steering_.on_packet(packet, now_ + kResponseTime));
  }

 private:
  void advance_time() {
    ++count_;
    now_ += kRequestInterval;
    if (count_ % kRequestsPerTick == 0) {
      steering_.on_tick(now_);
    }
  }

  std::uint32_t targets_;
  FlowSteering steering_{7, "a"};
  Instant now_ = kStart + seconds(2);
  std::uint32_t count_ = 0;
};

void steering_request(benchmark::State& state) {
  SteeringBench bench(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) {
    bench.exchange();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(steering_request)->Arg(120)->Arg(480);

void steering_opening(benchmark::State& state) {
  SteeringBench bench(static_cast<std::uint32_t>(state.range(0)));
  for (auto _ : state) {
    bench.open();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(steering_opening)->Arg(120)->Arg(480);

}  // namespace
}  // namespace gorsevalve
