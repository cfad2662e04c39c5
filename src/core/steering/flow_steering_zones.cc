/// What FlowSteering does about paths to whole zones: when it doubts one, and what becomes of the
/// flows there.
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

/// An opening or a request that is followed by nothing for this long makes a balancer look at the
/// zone: half of the time after which callers repeat, so that a conclusion comes when they do.
constexpr Duration kZoneSuspicionTimeout = std::chrono::milliseconds(100);
/// Where answers usually take longer than this, half of that time, a request counts as late only
/// when its caller repeats it.
constexpr double kMaxFastAnswerUs = 50e3;
/// Pause between two checks: short beside the time above.
constexpr Duration kZoneCheckInterval = std::chrono::milliseconds(10);
/// Targets that answered lately, of all zones, from which those to probe are chosen.
constexpr std::size_t kMaxResponsiveTargets = 64;

/// Pause between two looks for flows to end.
constexpr Duration kResetInterval = std::chrono::milliseconds(100);
/// A flow rests when its caller has sent nothing for this long: the rest of an answer comes within
/// a round trip.
constexpr Duration kMinIdleBeforeReset = std::chrono::milliseconds(50);

bool is_non_idempotent(RequestClass request_class) {
  return request_class == RequestClass::kNonIdempotent || request_class == RequestClass::kUpload;
}

}  // namespace

void FlowSteering::suspect_zone(TargetId target, Instant sent_at, Instant now) {
  const bool may_probe = policy_.probes > 0 && is_confirmed_ && now >= observes_from_;
  // Looking for targets that answered walks all of them, so it comes last.
  if (may_probe && !may_be_local_congestion(sent_at) && zone_paths_.may_check(target, now)) {
    zone_paths_.suspect(target, sent_at,
                        scores_.latest_answered(kMaxResponsiveTargets, target, now), now);
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
        scores_.recent_answer_us(request->target, now) <= kMaxFastAnswerUs) {
      suspect_zone(request->target, request->sent_at, now);
    }
  }
}

std::vector<ZonePathChange> FlowSteering::evaluate_zone_paths(bool is_link_congested, Instant now) {
  std::vector<ZonePathChange> changes = zone_paths_.detect_changes(is_link_congested, now);
  for (const auto& change : changes) {
    if (change.is_cut) {
      // Others with flows there should look for themselves.
      scores_.on_unreachable(change.suspected, now);
      flows_reset_at_ = Instant{};
    }
  }
  return changes;
}

bool FlowSteering::has_non_idempotent_request(const FrontendView& frontend, const FlowEntry& entry,
                                              Instant now) {
  // What begins only now cannot have got across.
  return is_non_idempotent(frontend.request_class) && entry.phase == FlowPhase::kOpen &&
         entry.request_started_at && *entry.request_started_at < now;
}

bool FlowSteering::should_reset_for_zone(const FrontendView& frontend, const ClientPacket& packet,
                                         TargetId target, Instant now) {
  // What carries no data asks for nothing: its caller may be taking in an answer.
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
    const bool is_resting = now - entry.last_seen >= kMinIdleBeforeReset;
    const bool goes_on =
        frontend == nullptr || !is_resting || has_non_idempotent_request(*frontend, entry, now);
    if (goes_on || !zone_paths_.is_cut(entry.target)) {
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
