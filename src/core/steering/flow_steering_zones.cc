/// FlowSteering's handling of zone paths: when it suspects one and which flows it resets.
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

/// Time without a reply after which the zone is checked: half of the client's retransmission
/// timeout, so a result is available when the client retransmits.
constexpr Duration kZoneSuspicionTimeout = std::chrono::milliseconds(100);
/// A request to a target with a longer response time raises a suspicion only when it is
/// retransmitted. Half of `kZoneSuspicionTimeout`.
constexpr double kMaxFastAnswerUs = 50e3;
/// Interval of the check for missing replies; short compared with `kZoneSuspicionTimeout`.
constexpr Duration kZoneCheckInterval = std::chrono::milliseconds(10);
/// Maximum number of recently responsive targets from which the ones to probe are selected.
constexpr std::size_t kMaxResponsiveTargets = 64;

/// Minimum time between two scans for flows to reset.
constexpr Duration kResetInterval = std::chrono::milliseconds(100);
/// A flow is idle after this time without a client packet; the rest of a response is acknowledged
/// within a round trip.
constexpr Duration kMinIdleBeforeReset = std::chrono::milliseconds(50);

bool is_non_idempotent(RequestClass request_class) {
  return request_class == RequestClass::kNonIdempotent || request_class == RequestClass::kUpload;
}

}  // namespace

void FlowSteering::suspect_zone(TargetId target, Instant sent_at, Instant now) {
  const bool may_probe = policy_.probes > 0 && is_confirmed_ && now >= observes_from_;
  // Checked last: selecting responsive targets scans all of them.
  if (may_probe && !may_be_local_congestion(sent_at) && zone_paths_.may_check(target, now)) {
    zone_paths_.suspect(target, sent_at,
                        scores_.latest_responsive(kMaxResponsiveTargets, target, now), now);
  }
}

void FlowSteering::check_zone_timeouts(Instant now) {
  next_zone_check_at_ = now + kZoneCheckInterval;
  const auto is_due = [&](const PendingReply& one) {
    return now - one.sent_at >= kZoneSuspicionTimeout;
  };
  auto opening = openings_.begin() + static_cast<std::ptrdiff_t>(zone_checked_openings_);
  for (; opening != openings_.end() && is_due(*opening); ++opening, ++zone_checked_openings_) {
    opening->is_resolved = find_unanswered(*opening) == nullptr;
    if (!opening->is_resolved) {
      suspect_zone(opening->target, opening->sent_at, now);
    }
  }
  auto request = requests_.begin() + static_cast<std::ptrdiff_t>(zone_checked_requests_);
  for (; request != requests_.end() && is_due(*request); ++request, ++zone_checked_requests_) {
    const FlowEntry* entry = flows_.find(request->flow);
    request->is_resolved = request->is_resolved || entry == nullptr ||
                           entry->target != request->target ||
                           entry->request_started_at != request->sent_at;
    if (!request->is_resolved &&
        scores_.recent_response_us(request->target, now) <= kMaxFastAnswerUs) {
      suspect_zone(request->target, request->sent_at, now);
    }
  }
}

std::vector<ZonePathChange> FlowSteering::evaluate_zone_paths(bool is_link_congested, Instant now) {
  std::vector<ZonePathChange> changes = zone_paths_.detect_changes(is_link_congested, now);
  for (const auto& change : changes) {
    if (change.is_cut) {
      // Makes other balancers with flows there probe for themselves.
      scores_.on_unreachable(change.suspected, now);
      flows_reset_at_ = Instant{};
    }
  }
  return changes;
}

bool FlowSteering::has_non_idempotent_request(const FrontendView& frontend, const FlowEntry& entry,
                                              Instant now) {
  // A request that starts now cannot have reached the target.
  return is_non_idempotent(frontend.request_class) && entry.phase == FlowPhase::kOpen &&
         entry.request_started_at && *entry.request_started_at < now;
}

bool FlowSteering::should_reset_for_zone(const FrontendView& frontend, const ClientPacket& packet,
                                         TargetId target, Instant now) {
  // A packet without data requests nothing; the client may be receiving a response.
  if (!zone_paths_.is_cut(target) || packet.data_size == 0) {
    return false;
  }
  const FlowEntry* entry = flows_.find(packet.flow);
  return entry == nullptr || !has_non_idempotent_request(frontend, *entry, now);
}

std::vector<FlowReset> FlowSteering::reset_flows_to_unreachable_zones(Instant now) {
  std::vector<FlowReset> resets;
  if (zone_paths_.cut_count() == 0 || now - flows_reset_at_ < kResetInterval) {
    return resets;
  }
  flows_reset_at_ = now;
  flows_.visit_open([&](const SteeredFlow& flow, FlowEntry& entry) {
    const FrontendView* frontend = view_.frontend(flow.frontend);
    const bool is_idle = now - entry.last_seen >= kMinIdleBeforeReset;
    const bool stays_open =
        frontend == nullptr || !is_idle || has_non_idempotent_request(*frontend, entry, now);
    if (stays_open || !zone_paths_.is_cut(entry.target)) {
      return;
    }
    resets.push_back({flow, entry.acknowledged});
    remove_load(entry);
    entry.request_started_at.reset();
    entry.phase = FlowPhase::kClosing;
  });
  sort_by_flow(resets);
  return resets;
}

}  // namespace gorsevalve
