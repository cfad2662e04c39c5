/// Makes random calls to FlowSteering, mainly for runs with sanitizers: snapshots and deltas with
/// moving, ending, restarting and address-sharing targets, packets, buffered packets, target
/// health, probes, and congestion. Checks only that a decision names a target exactly when it
/// forwards.
#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "core/steering/buffered_packets.h"
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kFrontends = 3;
constexpr TargetId kTargets = 12;
constexpr int kSteps = 4000;

class RandomCalls {
 public:
  explicit RandomCalls(std::uint64_t seed) : random_(seed), steering_(seed) {}

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += milliseconds(random_below(30));
      const std::uint64_t choice = random_below(100);
      if (choice < 2) {
        steering_.adopt(random_state(), now_);
      } else if (choice < 12) {
        steering_.apply(random_delta(), now_);
        release();
      } else if (choice < 15) {
        steering_.confirm(now_);
      } else if (choice < 20) {
        send_target_health();
      } else if (choice < 35) {
        step_probes();
      } else if (choice < 38) {
        steering_.set_link_congested(random_below(2) == 0, now_);
      } else if (choice < 42) {
        steering_.on_tick(now_);
        static_cast<void>(steering_.take_observations());
      } else {
        send_packet();
      }
    }
  }

 private:
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  Frontend random_frontend() {
    Frontend frontend;
    const auto index = static_cast<std::uint32_t>(random_below(kFrontends));
    frontend.name = "f" + std::to_string(index);
    frontend.address = {0xC6120001 + index, 443};
    frontend.timeout_ms = 1000;
    for (std::uint64_t part = random_below(3); part > 0; --part) {
      frontend.pools.push_back({random_pool(), static_cast<std::uint32_t>(random_below(3))});
    }
    frontend.former_pools.push_back(random_pool());
    return frontend;
  }

  std::string random_pool() { return std::string(1, static_cast<char>('a' + random_below(4))); }

  RegisteredTarget random_target() {
    RegisteredTarget target;
    target.id = 1 + random_below(kTargets);
    // Few addresses, so that targets share and reuse them.
    target.token = static_cast<FlowToken>(100 + target.id);
    target.pool = random_pool();
    target.address = {10, static_cast<std::uint16_t>(8000 + random_below(kTargets / 2))};
    target.slots = static_cast<std::uint32_t>(random_below(3));
    target.phase = static_cast<TargetPhase>(random_below(5));
    target.sequence = ++sequence_;
    return target;
  }

  SteeringState random_state() {
    SteeringState state;
    state.settings.version = ++version_;
    state.settings.idle_timeout_ms = static_cast<std::uint32_t>(random_below(5000));
    state.settings.frontends = {random_frontend()};
    for (TargetId id = 1; id <= kTargets; ++id) {
      if (random_below(3) == 0) {
        RegisteredTarget target = random_target();
        target.id = id;
        target.token = static_cast<FlowToken>(100 + id);
        state.put(target);
      }
    }
    return state;
  }

  SteeringDelta random_delta() {
    SteeringDelta delta;
    delta.has_settings = random_below(4) == 0;
    delta.version = ++version_;
    delta.idle_timeout_ms = 3000;
    delta.upserted_frontends = {random_frontend()};
    if (random_below(4) == 0) {
      delta.removed_frontends = {random_frontend().address};
    }
    for (std::uint64_t count = random_below(4); count > 0; --count) {
      delta.upserted_targets.push_back(random_target());
    }
    for (std::uint64_t count = random_below(2); count > 0; --count) {
      delta.removed_targets.push_back(1 + random_below(kTargets));
    }
    return delta;
  }

  void send_target_health() {
    std::vector<TargetHealth> health;
    for (std::uint64_t count = random_below(6); count > 0; --count) {
      const auto token = static_cast<FlowToken>(100 + random_below(kTargets + 2));
      health.push_back({token, static_cast<std::uint8_t>(random_below(200)), random_below(2) == 0,
                        random_below(2) == 0});
    }
    steering_.set_target_health(health, now_);
  }

  void step_probes() {
    for (const auto& probe : steering_.take_probes(now_)) {
      const std::uint64_t outcome = random_below(5);
      if (outcome == 0) {
        steering_.on_probe_not_sent(probe.number, now_);
      } else if (outcome < 3) {
        steering_.on_probe_answer(probe.number,
                                  outcome == 1 ? ProbeAnswer::kAccepted : ProbeAnswer::kRefused,
                                  now_ + milliseconds(random_below(20)));
      }
    }
    for (const auto& unreachable : steering_.evaluate_reachability(now_)) {
      static_cast<void>(steering_.reset_flows_to(unreachable.target));
    }
    static_cast<void>(steering_.take_restored());
  }

  void send_packet() {
    ClientPacket packet;
    const auto client = static_cast<std::uint32_t>(random_below(400));
    packet.flow = {{0x64400000 + client, 4000},
                   {0xC6120001 + static_cast<std::uint32_t>(random_below(kFrontends)), 443}};
    packet.opens = random_below(4) == 0;
    packet.retransmissions = packet.opens ? static_cast<std::uint32_t>(random_below(3)) : 0;
    packet.token = packet.opens ? 0 : static_cast<FlowToken>(100 + random_below(kTargets + 2));
    packet.sequence = static_cast<std::uint32_t>(random_());
    packet.acknowledged = static_cast<std::uint32_t>(random_below(3));
    packet.data_size = static_cast<std::uint32_t>(random_below(2) * 100);
    packet.closes = random_below(10) == 0;
    packet.resets = random_below(20) == 0;
    const SteeringDecision decision = steering_.on_packet(packet, now_);
    check(decision);
    if (decision.reason == SteeringReason::kNoState) {
      buffered_.add(packet, Bytes{1, 2, 3}, now_);
    }
  }

  void release() {
    buffered_.release(steering_, now_, [&](const BufferedPacket& buffered) {
      const SteeringDecision decision = steering_.on_packet(buffered.packet, now_);
      check(decision);
      return decision.reason != SteeringReason::kNoState;
    });
  }

  static void check(const SteeringDecision& decision) {
    const bool forwards = decision.action == SteeringAction::kForward;
    CHECK(forwards == (decision.target != nullptr));
  }

  std::mt19937_64 random_;
  FlowSteering steering_;
  BufferedPackets buffered_{SteeringPolicy{}};
  Instant now_{seconds(1000)};
  OperatorVersion version_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace

TEST_SUITE("steering_random") {
  TEST_CASE("any order of calls is well-defined") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      RandomCalls(seed).run();
    }
  }
}

}  // namespace gorsevalve
