/// Targets, packets and balancers for tests of flow steering.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/steering/flow_steering.h"

namespace gorsevalve {

inline constexpr Instant kStart{std::chrono::seconds(1000)};
inline constexpr Endpoint kFrontend{0xC6120001, 443};

inline RegisteredTarget target(TargetId id, const std::string& pool,
                               TargetPhase phase = TargetPhase::kReady) {
  RegisteredTarget result;
  result.id = id;
  result.token = static_cast<FlowToken>(100 + id);
  result.pool = pool;
  result.address = {10, static_cast<std::uint16_t>(8000 + id)};
  result.slots = 2;
  result.phase = phase;
  return result;
}

inline SteeringState make_state(std::vector<WeightedPool> pools,
                                std::vector<RegisteredTarget> targets) {
  SteeringState state;
  state.settings.version = 1;
  state.settings.idle_timeout_ms = 15000;
  state.settings.frontends.push_back({"f", kFrontend, std::move(pools), {}, 1000, 100});
  for (auto& target : targets) {
    state.put(std::move(target));
  }
  return state;
}

inline ClientPacket opening(std::uint16_t port, std::uint32_t retransmission_count = 0) {
  ClientPacket packet;
  packet.flow = {{0x64400007, port}, kFrontend};
  packet.opens = true;
  packet.retransmissions = retransmission_count;
  return packet;
}

inline ClientPacket established(std::uint16_t port, FlowToken token, std::uint32_t acknowledged = 1,
                                std::uint32_t data = 0) {
  ClientPacket packet;
  packet.flow = {{0x64400007, port}, kFrontend};
  packet.token = token;
  packet.acknowledged = acknowledged;
  packet.data_size = data;
  return packet;
}

/// Sends a request of an open flow to target 2 and its acknowledgement 20 ms later.
inline void respond_quickly(FlowSteering& steering, Instant now) {
  steering.on_packet(established(9000, 102, 1, 100), now - std::chrono::milliseconds(20));
  steering.on_packet(established(9000, 102, 501), now);
}

/// A balancer with the given state.
struct SteeringBalancer {
  explicit SteeringBalancer(const SteeringState& state) {
    steering.adopt(state, kStart);
    steering.confirm(kStart);
  }
  FlowSteering steering{7};
};

/// Targets 1 and 2 are in zone-a, target 3 in zone-b.
struct EvacuatedState {
  EvacuatedState() {
    for (auto& [id, one] : state.targets) {
      one.zone = id == 3 ? "zone-b" : "zone-a";
    }
  }
  [[nodiscard]] SteeringState evacuated() const {
    SteeringState result = state;
    result.evacuated_zones = {{"zone-a", 2}};
    return result;
  }
  [[nodiscard]] static SteeringDelta change(std::vector<EvacuatedZone> evacuated) {
    SteeringDelta delta;
    delta.has_evacuations = true;
    delta.evacuated_zones = std::move(evacuated);
    return delta;
  }
  SteeringState state =
      make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha"), target(3, "alpha")});
};

/// A balancer with two targets: flows 1 and 2 are open at the one that fails later, flow 3 at the
/// healthy one.
struct FailingTarget {
  FailingTarget() { open_flows(); }

  FlowSteering& steering() { return balancer.steering; }
  [[nodiscard]] static FlowToken token(TargetId id) { return static_cast<FlowToken>(100 + id); }

  /// Sends one request per flow and acknowledges its response.
  void open_flows() {
    for (const auto& [port, at] :
         {std::pair<std::uint16_t, TargetId>{1, failing}, {2, failing}, {3, healthy}}) {
      steering().on_packet(established(port, token(at), acknowledged, 100), now);
      steering().on_packet(established(port, token(at), acknowledged + 500, 0), now + answer_time);
    }
    now += answer_time;
    acknowledged += 500;
  }

  /// Sends new or retransmitted data after a pause.
  SteeringDecision send_request(std::uint16_t port, TargetId at, Duration after = Duration(0)) {
    now += after;
    return steering().on_packet(established(port, token(at), acknowledged, 100), now);
  }

  /// Steps the probes for some time. Probes of the targets in `accepting` succeed; others time out
  /// or are refused.
  std::vector<UnreachableTarget> run(Duration time, const std::vector<TargetId>& accepting,
                                     bool others_refuse = false) {
    std::vector<UnreachableTarget> all;
    for (const Instant end = now + time; now < end; now += TargetReachability::kStepInterval) {
      for (const auto& probe : steering().take_probes(now)) {
        const bool accepts = std::any_of(accepting.begin(), accepting.end(), [&](TargetId id) {
          return target(id, "alpha").address == probe.address;
        });
        if (accepts || others_refuse) {
          const ProbeAnswer answer = accepts ? ProbeAnswer::kAccepted : ProbeAnswer::kRefused;
          steering().on_probe_answer(probe.number, answer, now + std::chrono::milliseconds(1));
        }
      }
      const auto detected = steering().evaluate_reachability(now);
      all.insert(all.end(), detected.begin(), detected.end());
    }
    return all;
  }

  /// Another target is registered at the address of the failing one.
  void register_at_failing(TargetId id) {
    SteeringDelta delta;
    delta.upserted_targets = {target(id, "alpha")};
    delta.upserted_targets[0].address = target(failing, "alpha").address;
    steering().apply(delta, now);
  }

  /// Opens flows until one is placed at the target; returns its port, or nothing.
  std::optional<std::uint16_t> place_flow_at(TargetId at, std::uint16_t first_port) {
    for (std::uint16_t port = first_port; port < first_port + 100; ++port) {
      const auto decision = steering().on_packet(opening(port), now);
      if (decision.target != nullptr && decision.target->id == at) {
        return port;
      }
    }
    return std::nullopt;
  }

  /// Completes the handshake of a flow at the target. Returns false if none was placed there.
  bool open_flow_at(TargetId at, std::uint16_t first_port) {
    const auto port = place_flow_at(at, first_port);
    if (port) {
      now += std::chrono::milliseconds(5);
      steering().on_packet(established(*port, token(at)), now);
    }
    return port.has_value();
  }

  const TargetId failing = 1;
  const TargetId healthy = 2;
  SteeringState state = make_state({{"alpha", 1}}, {target(1, "alpha"), target(2, "alpha")});
  SteeringBalancer balancer{state};
  Instant now = kStart + std::chrono::seconds(1);
  Duration answer_time = std::chrono::milliseconds(20);
  std::uint32_t acknowledged = 0;
};

}  // namespace gorsevalve
