#include "core/steering/flow_steering.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

/// When a first opening packet is followed by nothing for this long, not even by a copy, which
/// callers send after 200 ms, the caller was told that there is no flow.
constexpr Duration kRefusedAfter = std::chrono::milliseconds(300);
/// A request without an answer for this long has stalled: longer than a queue of a target that
/// works, and than a lost packet takes.
constexpr Duration kStalledAfter = std::chrono::milliseconds(400);
/// A balancer that has just started gets packets of flows that went on elsewhere meanwhile.
constexpr Duration kObservationPause = std::chrono::seconds(1);
/// Data that comes again within this time came twice or out of order; callers send again after
/// 200 ms and more.
constexpr Duration kRepeatedAfter = std::chrono::milliseconds(150);
/// Where answers usually take longer than this, the first repetition tells of a queue, not of a
/// dead target: targets acknowledge a lone packet with its answer, or when it comes again.
constexpr double kPromptAnswerUs = 100e3;
/// Targets that are probed beside a suspected one: one of them may die at the same moment.
constexpr std::size_t kReferences = 2;
}  // namespace

std::string_view to_string(SteeringReason reason) {
  switch (reason) {
    case SteeringReason::kToken:
      return "token";
    case SteeringReason::kPlaced:
      return "placed";
    case SteeringReason::kCopy:
      return "copy";
    case SteeringReason::kPlacedAgain:
      return "placed_again";
    case SteeringReason::kNoState:
      return "no_state";
    case SteeringReason::kNoFrontend:
      return "no_frontend";
    case SteeringReason::kFrontendDropped:
      return "frontend_dropped";
    case SteeringReason::kNoTarget:
      return "no_target";
    case SteeringReason::kNoToken:
      return "no_token";
    case SteeringReason::kUnknownToken:
      return "unknown_token";
    case SteeringReason::kForeignToken:
      return "foreign_token";
    case SteeringReason::kTargetReplaced:
      return "target_replaced";
    case SteeringReason::kTargetUnreachable:
      return "target_unreachable";
  }
  return "unknown";
}

void FlowSteering::adopt(const SteeringState& state, Instant now) {
  view_.reset(state);
  scores_.adopt(state.targets, now);
  placement_.adopt(view_);
  // A whole state does not tell who came first; but of two at an address the silent one is gone.
  for (const auto& target : state.targets) {
    if (target.phase == TargetPhase::kReady) {
      note_replaced(target, [](const RegisteredTarget& other) {
        return other.phase == TargetPhase::kSilent;
      });
    }
  }
}

template <typename Condition>
void FlowSteering::note_replaced(const RegisteredTarget& target, Condition is_gone) {
  for (const TargetId other : view_.living_at(target.address)) {
    const RegisteredTarget* known = view_.target_by_id(other);
    if (other != target.id && known != nullptr && is_gone(*known)) {
      reachability_.on_replaced(other);
    }
  }
}

void FlowSteering::apply(const SteeringDelta& delta, Instant now) {
  view_.apply(delta);
  for (const auto& target : delta.upserted_targets) {
    const bool is_new = scores_.find(target.id) == nullptr;
    scores_.on_target(target, now);
    if (is_new && target.phase != TargetPhase::kEnded) {
      note_replaced(target, [](const RegisteredTarget& /*other*/) { return true; });
    }
  }
  for (const TargetId id : delta.forgotten_targets) {
    scores_.on_forgotten(id);
    reachability_.forget(id);
  }
  for (const auto& address : delta.removed_frontends) {
    placement_.on_frontend_dropped(address);
  }
}

void FlowSteering::confirm(Instant now) {
  is_confirmed_ = true;
  observes_from_ = now + kObservationPause;
}

void FlowSteering::stop_observing() {
  observes_from_ = Instant::max();
  openings_.clear();
  requests_.clear();
}

SteeringDecision FlowSteering::on_packet(const CallerPacket& packet, Instant now) {
  if (!has_settings()) {
    return {SteeringAction::kDrop, SteeringReason::kNoState, nullptr};
  }
  if (!is_confirmed_) {
    return follow_unconfirmed(packet, now);
  }
  const FrontendView* frontend = view_.frontend(packet.flow.frontend);
  if (frontend != nullptr) {
    return packet.opens ? open(*frontend, packet, now) : follow(*frontend, packet, now);
  }
  if (packet.resets) {
    return {SteeringAction::kDrop, SteeringReason::kNoFrontend, nullptr};
  }
  if (view_.was_dropped(packet.flow.frontend)) {
    return {SteeringAction::kReset, SteeringReason::kFrontendDropped, nullptr};
  }
  // An open flow of a frontend that this balancer never knew may belong to a newer revision.
  const SteeringAction action = packet.opens ? SteeringAction::kReset : SteeringAction::kDrop;
  return {action, SteeringReason::kNoFrontend, nullptr};
}

SteeringDecision FlowSteering::follow_unconfirmed(const CallerPacket& packet, Instant now) {
  constexpr SteeringDecision kUndecided{SteeringAction::kDrop, SteeringReason::kNoState, nullptr};
  const FrontendView* frontend = view_.frontend(packet.flow.frontend);
  if (packet.opens || frontend == nullptr) {
    return kUndecided;
  }
  const SteeringDecision decision = follow(*frontend, packet, now);
  return decision.action == SteeringAction::kForward ? decision : kUndecided;
}

SteeringDecision FlowSteering::open(const FrontendView& frontend, const CallerPacket& packet,
                                    Instant now) {
  check_expectations(now);
  FlowEntry* entry = flows_.find(packet.flow);
  TargetId avoided = 0;
  if (entry != nullptr && entry->phase == FlowPhase::kOpening && packet.copies_before > 0) {
    const RegisteredTarget* before = view_.target_by_id(entry->target);
    const bool usable = before != nullptr && before->phase == TargetPhase::kReady &&
                        view_.may_reach(frontend, *before) && !view_.is_evacuated(*before);
    if (!entry->has_copy) {
      entry->has_copy = true;
      scores_.on_unanswered(entry->target, now);
      suspect(entry->target, now);
    }
    const bool is_doubted =
        scores_.is_suspected(entry->target, now) || reachability_.is_unreachable(entry->target);
    if (usable && packet.copies_before <= policy_.copies_at_same_target && !is_doubted) {
      return {SteeringAction::kForward, SteeringReason::kCopy, before};
    }
    avoided = entry->target;
  }
  const RegisteredTarget* target = placement_.place(inputs(), frontend, packet, avoided, now);
  if (target == nullptr) {
    return {SteeringAction::kReset, SteeringReason::kNoTarget, nullptr};
  }
  note(packet, target->id, now);
  scores_.on_placed(target->id);
  if (packet.copies_before == 0 && now >= observes_from_) {
    openings_.push_back({packet.flow, target->id, now});
  }
  const SteeringReason reason =
      avoided == 0 ? SteeringReason::kPlaced : SteeringReason::kPlacedAgain;
  return {SteeringAction::kForward, reason, target};
}

SteeringDecision FlowSteering::follow(const FrontendView& frontend, const CallerPacket& packet,
                                      Instant now) {
  if (packet.token == 0) {
    return {SteeringAction::kDrop, SteeringReason::kNoToken, nullptr};
  }
  const RegisteredTarget* target = view_.target(packet.token);
  if (target == nullptr) {
    return {SteeringAction::kDrop, SteeringReason::kUnknownToken, nullptr};
  }
  if (!view_.may_reach(frontend, *target) && !faults_.accept_foreign_tokens) {
    return {SteeringAction::kDrop, SteeringReason::kForeignToken, nullptr};
  }
  if (view_.is_replaced(*target)) {
    // The target is certainly gone: another one has its address.
    const SteeringAction action = packet.resets ? SteeringAction::kDrop : SteeringAction::kReset;
    return {action, SteeringReason::kTargetReplaced, nullptr};
  }
  if (faults_.ignore_token) {
    const RegisteredTarget* other = placement_.place(inputs(), frontend, packet, target->id, now);
    target = other == nullptr ? target : other;
  }
  note(packet, target->id, now);
  if (reachability_.is_unreachable(target->id)) {
    const SteeringAction action = packet.resets ? SteeringAction::kDrop : SteeringAction::kReset;
    return {action, SteeringReason::kTargetUnreachable, nullptr};
  }
  return {SteeringAction::kForward, SteeringReason::kToken, target};
}

void FlowSteering::suspect(TargetId target, Instant now) {
  // Looking for references walks all targets, so it comes last.
  if (policy_.probes <= 0 || !is_confirmed_ || !reachability_.may_suspect(target, now)) {
    return;
  }
  reachability_.suspect(target, scores_.latest_answered(kReferences, target, now), now);
}

void FlowSteering::set_figures(const std::vector<TargetFigure>& figures, Instant now) {
  for (const TargetId id : scores_.set_figures(figures)) {
    if (scores_.at(id).open_flows > 0) {
      suspect(id, now);
    }
  }
}

std::vector<TargetProbe> FlowSteering::take_probes(Instant now) {
  std::vector<TargetProbe> probes;
  for (const auto& request : reachability_.take_probes(now)) {
    const RegisteredTarget* target = view_.target_by_id(request.target);
    if (target == nullptr) {
      reachability_.on_not_sent(request.number, now);
    } else {
      probes.push_back({request.number, target->address});
    }
  }
  return probes;
}

std::vector<UnreachableTarget> FlowSteering::conclude_reachability(Instant now) {
  std::vector<UnreachableTarget> concluded = reachability_.conclude(now);
  for (const auto& one : concluded) {
    scores_.on_unreachable(one.target, now);
  }
  return concluded;
}

std::vector<FlowReset> FlowSteering::end_flows_at(TargetId target) {
  std::vector<FlowReset> resets;
  flows_.visit_open(target, [&](const SteeredFlow& flow, FlowEntry& entry) {
    resets.push_back({flow, entry.acknowledged});
    remove_load(entry);
    entry.request_since.reset();
    entry.phase = FlowPhase::kClosing;
  });
  // The order of the table must not show.
  std::sort(resets.begin(), resets.end(), [](const FlowReset& a, const FlowReset& b) {
    return std::pair(a.flow.caller, a.flow.frontend) < std::pair(b.flow.caller, b.flow.frontend);
  });
  return resets;
}

void FlowSteering::end_request(FlowEntry& entry) {
  if (!entry.request_since) {
    return;
  }
  entry.request_since.reset();
  TargetScore& score = scores_.at(entry.target);
  score.busy_flows -= std::min(score.busy_flows, 1U);
}

void FlowSteering::remove_load(const FlowEntry& entry) {
  const TargetScore* known = scores_.find(entry.target);
  if (known == nullptr || entry.phase == FlowPhase::kClosing) {
    return;
  }
  TargetScore& score = scores_.at(entry.target);
  score.open_flows -= std::min(score.open_flows, 1U);
  if (entry.request_since) {
    score.busy_flows -= std::min(score.busy_flows, 1U);
  }
}

void FlowSteering::note_request(FlowEntry& entry, const CallerPacket& packet, Instant now) {
  const bool answered = packet.acknowledged != entry.acknowledged;
  if (answered) {
    reachability_.on_progress(entry.target, now);
  }
  if (entry.request_since && answered) {
    scores_.on_answer(entry.target, now - *entry.request_since, now);
    end_request(entry);
  }
  if (packet.data_size > 0 && entry.request_since) {
    note_repeat(entry, packet, now);
  } else if (packet.data_size > 0) {
    entry.request_since = now;
    entry.sequence = packet.sequence;
    entry.data_at = now;
    entry.repeats = 0;
    scores_.on_request(entry.target);
    if (now >= observes_from_) {
      requests_.push_back({packet.flow, entry.target, now});
    }
  }
  entry.acknowledged = packet.acknowledged;
}

void FlowSteering::note_repeat(FlowEntry& entry, const CallerPacket& packet, Instant now) {
  // Differences of places that wrap around compare as signed numbers.
  if (static_cast<std::int32_t>(packet.sequence - entry.sequence) > 0) {
    entry.sequence = packet.sequence;
    return;
  }
  if (now - entry.data_at < kRepeatedAfter) {
    return;
  }
  entry.data_at = now;
  ++entry.repeats;
  const TargetScore& score = scores_.at(entry.target);
  const bool answered_others = score.answer_at > *entry.request_since;
  const bool is_prompt = score.answer_us > 0 && score.answer_us < kPromptAnswerUs;
  if (entry.repeats > 1 || (is_prompt && !answered_others)) {
    suspect(entry.target, now);
  }
}

void FlowSteering::note(const CallerPacket& packet, TargetId target, Instant now) {
  FlowEntry* entry = flows_.find(packet.flow);
  // A flow that was open before it came here says nothing of its target.
  const bool opened_here = entry != nullptr && entry->phase == FlowPhase::kOpening;
  if (entry != nullptr && entry->target != target) {
    remove_load(*entry);
    entry->target = target;
    entry->phase = FlowPhase::kOpening;
    entry->has_copy = false;
    entry->request_since.reset();
    ++scores_.at(target).open_flows;
  }
  if (entry == nullptr || (packet.opens && entry->phase == FlowPhase::kClosing)) {
    const bool ends = packet.closes || packet.resets;
    FlowEntry fresh;
    fresh.target = target;
    fresh.acknowledged = packet.acknowledged;
    fresh.phase = ends ? FlowPhase::kClosing : FlowPhase::kOpening;
    entry = flows_.insert(packet.flow, fresh);
    if (entry == nullptr) {
      return;
    }
    scores_.at(target).open_flows += ends ? 0 : 1;
  }
  entry->last_seen = now;
  if (packet.opens || entry->phase == FlowPhase::kClosing) {
    return;
  }
  if (entry->phase == FlowPhase::kOpening) {
    entry->phase = FlowPhase::kOpen;
    entry->acknowledged = packet.acknowledged;
    if (opened_here) {
      scores_.on_opened(target);
      reachability_.on_progress(target, now);
    }
  }
  note_request(*entry, packet, now);
  if (packet.closes || packet.resets) {
    remove_load(*entry);
    entry->request_since.reset();
    entry->phase = FlowPhase::kClosing;
  }
}

void FlowSteering::check_openings(Instant now) {
  while (!openings_.empty() && now - openings_.front().at >= kRefusedAfter) {
    const Expectation& opening = openings_.front();
    const FlowEntry* entry = flows_.find(opening.flow);
    const bool is_refused = entry != nullptr && entry->phase == FlowPhase::kOpening &&
                            entry->target == opening.target && !entry->has_copy;
    if (is_refused) {
      scores_.on_refused(opening.target, now);
    }
    openings_.pop_front();
  }
}

void FlowSteering::check_requests(Instant now) {
  while (!requests_.empty() && now - requests_.front().at >= kStalledAfter) {
    const Expectation& request = requests_.front();
    const FlowEntry* entry = flows_.find(request.flow);
    const bool is_stalled = entry != nullptr && entry->target == request.target &&
                            entry->phase == FlowPhase::kOpen && entry->request_since == request.at;
    if (is_stalled) {
      scores_.on_stalled(request.target);
    }
    requests_.pop_front();
  }
}

void FlowSteering::check_expectations(Instant now) {
  check_openings(now);
  check_requests(now);
}

void FlowSteering::on_tick(Instant now) {
  check_expectations(now);
  const auto idle = std::chrono::milliseconds(view_.idle_timeout_ms());
  flows_.expire(idle, now, [this](const FlowEntry& entry) { remove_load(entry); });
}

}  // namespace gorsevalve
