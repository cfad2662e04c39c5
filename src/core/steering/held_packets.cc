#include "core/steering/held_packets.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace gorsevalve {
namespace {

/// A request that has waited for more than this share of its objective is late already.
constexpr double kFreshShare = 0.75;

Duration milliseconds_of(double value) { return Duration(static_cast<std::int64_t>(value * 1000)); }

/// When a held packet is of no use any more.
Instant given_up_at(const HeldPacket& held, const FrontendView* frontend,
                    const SteeringPolicy& policy) {
  const Instant longest = held.sent_at + milliseconds_of(policy.hold_ms);
  return frontend == nullptr ? longest : std::min(longest, held.sent_at + frontend->timeout);
}

/// A held packet with what decides when it goes.
struct Waiting {
  const HeldPacket* held = nullptr;
  bool is_late = false;
  Instant given_up_at;
};

/// The order in which packets go.
bool goes_before(const Waiting& one, const Waiting& other) {
  if (one.is_late != other.is_late) {
    return !one.is_late;
  }
  return one.is_late ? one.given_up_at < other.given_up_at
                     : one.held->sent_at > other.held->sent_at;
}

/// How many more requests each pool takes from this balancer at one moment.
class PoolRoom {
 public:
  PoolRoom(const FlowSteering& steering, const SteeringPolicy& policy, Instant now)
      : steering_(steering), policy_(policy), now_(now) {}

  /// Packets that bring no request always have room, and so have those of unknown frontends.
  bool has_room(const CallerPacket& packet) {
    const FrontendView* frontend = steering_.frontend(packet.flow.frontend);
    if (frontend == nullptr || !packet.brings_request()) {
      return true;
    }
    return std::all_of(frontend->shares.begin(), frontend->shares.end(),
                       [this](const PoolShare& share) { return left(share.pool) >= 1; });
  }

  void on_admitted(const CallerPacket& packet) {
    const FrontendView* frontend = steering_.frontend(packet.flow.frontend);
    if (frontend == nullptr || !packet.brings_request()) {
      return;
    }
    for (const auto& share : frontend->shares) {
      left(share.pool) -= 1;
    }
  }

 private:
  double& left(std::uint32_t pool) {
    const auto [found, is_new] = left_.try_emplace(pool, 0);
    if (is_new) {
      const auto slots = static_cast<double>(steering_.slots(pool));
      const double at_once = std::min(policy_.requests_at_once, std::max(slots, 1.0));
      found->second = at_once - static_cast<double>(steering_.under_way(pool, now_));
    }
    return found->second;
  }

  const FlowSteering& steering_;
  const SteeringPolicy& policy_;
  Instant now_;
  absl::flat_hash_map<std::uint32_t, double> left_;
};

}  // namespace

void HeldPackets::hold(const CallerPacket& packet, ByteView bytes, Instant now) {
  if (policy_.hold_ms <= 0) {
    return;
  }
  Bytes copied(bytes.begin(), bytes.end());
  if (packet.opens) {
    const auto same = std::find_if(packets_.begin(), packets_.end(), [&](const HeldPacket& held) {
      return held.packet.opens && held.packet.flow == packet.flow;
    });
    if (same != packets_.end()) {
      same->packet = packet;
      same->bytes = std::move(copied);
      return;
    }
  }
  if (packets_.size() >= kMaxPackets) {
    packets_.pop_front();
  }
  packets_.push_back({packet, std::move(copied), now - packet.age});
}

bool HeldPackets::holds(const SteeredFlow& flow) const {
  return std::any_of(packets_.begin(), packets_.end(),
                     [&](const HeldPacket& held) { return held.packet.flow == flow; });
}

void HeldPackets::release(const FlowSteering& steering, Instant now, const Visitor& take) {
  const auto frontend_of = [&](const HeldPacket& held) {
    return steering.frontend(held.packet.flow.frontend);
  };
  std::erase_if(packets_, [&](const HeldPacket& held) {
    return given_up_at(held, frontend_of(held), policy_) < now;
  });
  PoolRoom room(steering, policy_, now);
  std::vector<Waiting> waiting;
  for (const auto& held : packets_) {
    if (room.has_room(held.packet)) {
      const FrontendView* frontend = frontend_of(held);
      const bool is_late =
          frontend != nullptr && now - held.sent_at > frontend->latency_objective * kFreshShare;
      waiting.push_back({&held, is_late, given_up_at(held, frontend, policy_)});
    }
  }
  if (policy_.fresh_first > 0) {
    std::stable_sort(waiting.begin(), waiting.end(), goes_before);
  }
  absl::flat_hash_set<const HeldPacket*> taken;
  for (const auto& one : waiting) {
    if (room.has_room(one.held->packet) && take(*one.held)) {
      room.on_admitted(one.held->packet);
      taken.insert(one.held);
    }
  }
  std::erase_if(packets_, [&](const HeldPacket& held) { return taken.contains(&held); });
}

}  // namespace gorsevalve
