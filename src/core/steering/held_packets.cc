#include "core/steering/held_packets.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// A request that has waited for more than this share of its objective is late already.
constexpr double kFreshShare = 0.75;

/// A held packet with what decides when it goes.
struct Waiting {
  HeldPacket held;
  bool is_late = false;
  Instant given_up_at;
};

Duration milliseconds_of(double value) { return Duration(static_cast<std::int64_t>(value * 1000)); }

Waiting judge(HeldPacket held, const FlowSteering& steering, const SteeringPolicy& policy,
              Instant now) {
  Waiting waiting;
  waiting.given_up_at = held.sent_at + milliseconds_of(policy.hold_ms);
  if (const FrontendView* frontend = steering.frontend(held.packet.flow.frontend)) {
    waiting.given_up_at = std::min(waiting.given_up_at, held.sent_at + frontend->timeout);
    waiting.is_late = now - held.sent_at > frontend->latency_objective * kFreshShare;
  }
  waiting.held = std::move(held);
  return waiting;
}

/// The order in which packets go.
bool goes_before(const Waiting& one, const Waiting& other) {
  if (one.is_late != other.is_late) {
    return !one.is_late;
  }
  return one.is_late ? one.given_up_at < other.given_up_at : one.held.sent_at > other.held.sent_at;
}

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
  std::vector<Waiting> waiting;
  waiting.reserve(packets_.size());
  for (auto& held : std::exchange(packets_, {})) {
    waiting.push_back(judge(std::move(held), steering, policy_, now));
  }
  std::erase_if(waiting, [&](const Waiting& one) { return one.given_up_at < now; });
  if (policy_.fresh_first > 0) {
    std::stable_sort(waiting.begin(), waiting.end(), goes_before);
  }
  for (auto& one : waiting) {
    const bool is_taken = steering.has_room(one.held.packet, now) && take(one.held);
    if (!is_taken) {
      packets_.push_back(std::move(one.held));
    }
  }
}

}  // namespace gorsevalve
