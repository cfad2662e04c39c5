/// What FlowSteering does about paths to whole zones: when it doubts one, and what becomes of the
/// flows there.
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

/// An opening or a request that is followed by nothing for this long makes a balancer look at the
/// zone: half of the time after which callers repeat, so that a conclusion comes when they do.
constexpr Duration kLateAfter = std::chrono::milliseconds(100);
/// Where answers usually take longer than this, half of that time, a request counts as late only
/// when its caller repeats it.
constexpr double kSoonAnswerUs = 50e3;
/// Pause between two checks: short beside the time above.
constexpr Duration kLateInterval = std::chrono::milliseconds(10);
/// Targets that answered lately, of all zones, from which those to probe are chosen.
constexpr std::size_t kAnsweredKnown = 64;

/// Pause between two looks for flows to end.
constexpr Duration kEndInterval = std::chrono::milliseconds(100);
/// A flow rests when its caller has sent nothing for this long: the rest of an answer comes within
/// a round trip.
constexpr Duration kRest = std::chrono::milliseconds(50);

bool runs_once(RequestClass request_class) {
  return request_class == RequestClass::kOnceOnly || request_class == RequestClass::kUpload;
}

}  // namespace

void FlowSteering::doubt_zone(TargetId target, Instant sent_at, Instant now) {
  const bool may_probe = policy_.probes > 0 && is_confirmed_ && now >= observes_from_;
  // Looking for targets that answered walks all of them, so it comes last.
  if (may_probe && !may_be_own_link(sent_at) && zone_paths_.may_look(target, now)) {
    zone_paths_.doubt(target, sent_at, scores_.latest_answered(kAnsweredKnown, target, now), now);
  }
}

void FlowSteering::check_late(Instant now) {
  check_late_at_ = now + kLateInterval;
  const auto is_due = [&](const Expectation& one) { return now - one.at >= kLateAfter; };
  auto opening = openings_.begin() + static_cast<std::ptrdiff_t>(late_openings_);
  for (; opening != openings_.end() && is_due(*opening); ++opening, ++late_openings_) {
    opening->is_met = find_unanswered(*opening) == nullptr;
    if (!opening->is_met) {
      doubt_zone(opening->target, opening->at, now);
    }
  }
  auto request = requests_.begin() + static_cast<std::ptrdiff_t>(late_requests_);
  for (; request != requests_.end() && is_due(*request); ++request, ++late_requests_) {
    const FlowEntry* entry = flows_.find(request->flow);
    request->is_met = request->is_met || entry == nullptr || entry->target != request->target ||
                      entry->request_since != request->at;
    if (!request->is_met && scores_.recent_answer_us(request->target, now) <= kSoonAnswerUs) {
      doubt_zone(request->target, request->at, now);
    }
  }
}

std::vector<ZonePathChange> FlowSteering::conclude_zone_paths(bool is_link_congested, Instant now) {
  std::vector<ZonePathChange> changes = zone_paths_.conclude(is_link_congested, now);
  for (const auto& change : changes) {
    if (change.is_cut) {
      // Others with flows there should look for themselves.
      scores_.on_unreachable(change.suspected, now);
      flows_ended_at_ = Instant{};
    }
  }
  return changes;
}

bool FlowSteering::may_wait(const FrontendView& frontend, const FlowEntry& entry, Instant now) {
  // What begins only now cannot have got across.
  return runs_once(frontend.request_class) && entry.phase == FlowPhase::kOpen &&
         entry.request_since && *entry.request_since < now;
}

bool FlowSteering::is_cut_off(const FrontendView& frontend, const CallerPacket& packet,
                              TargetId target, Instant now) {
  // What carries no data asks for nothing: its caller may be taking in an answer.
  if (!zone_paths_.is_cut(target) || packet.data_size == 0) {
    return false;
  }
  const FlowEntry* entry = flows_.find(packet.flow);
  return entry == nullptr || !may_wait(frontend, *entry, now);
}

std::vector<FlowReset> FlowSteering::end_flows_cut_off(Instant now) {
  std::vector<FlowReset> resets;
  if (zone_paths_.cut() == 0 || now - flows_ended_at_ < kEndInterval) {
    return resets;
  }
  flows_ended_at_ = now;
  flows_.visit_open([&](const SteeredFlow& flow, FlowEntry& entry) {
    const FrontendView* frontend = view_.frontend(flow.frontend);
    const bool is_resting = now - entry.last_seen >= kRest;
    const bool goes_on = frontend == nullptr || !is_resting || may_wait(*frontend, entry, now);
    if (goes_on || !zone_paths_.is_cut(entry.target)) {
      return;
    }
    resets.push_back({flow, entry.acknowledged});
    remove_load(entry);
    entry.request_since.reset();
    entry.phase = FlowPhase::kClosing;
  });
  sort_by_flow(resets);
  return resets;
}

}  // namespace gorsevalve
