#include "core/steering/flow_steering.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

/// After a start, replies to packets that went through other balancers cannot be matched.
constexpr Duration kObservationDelay = std::chrono::seconds(1);
/// When all balancers start together, queues fill while the first responses are still fast.
constexpr Duration kLatencyTrustDelay = std::chrono::seconds(3);
/// More than one, because a reference target may fail at the same time as the suspected one.
constexpr std::size_t kReferenceTargets = 2;
}  // namespace

std::string_view to_string(SteeringReason reason) {
  switch (reason) {
    case SteeringReason::kToken:
      return "token";
    case SteeringReason::kPlaced:
      return "placed";
    case SteeringReason::kRetransmission:
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
  for (const auto& [id, target] : state.targets) {
    if (scores_.is_other_incarnation(target)) {
      remove_incarnation(target.id);
    }
  }
  scores_.adopt(state.targets, now);
  placement_.adopt(view_);
  update_cold_rates();
  zone_paths_.clear_targets();
  for (const auto& [id, target] : state.targets) {
    // Before the first confirmed state the age of existing targets is unknown.
    update_warm_up(target, is_confirmed_, now);
    zone_paths_.on_target(target);
    add_time_estimates(target);
  }
}

void FlowSteering::apply(const SteeringDelta& delta, Instant now) {
  if (view_.apply(delta)) {
    update_cold_rates();
    // The new settings may add a rate while targets are warming up.
    view_.visit_targets([&](const RegisteredTarget& target) { update_warm_up(target, true, now); });
  }
  for (const auto& target : delta.upserted_targets) {
    const bool is_restarted = scores_.is_other_incarnation(target);
    if (is_restarted) {
      remove_incarnation(target.id);
    }
    scores_.on_target(target, now);
    update_warm_up(target, true, now);
    zone_paths_.on_target(target);
    add_time_estimates(target);
  }
  for (const TargetId id : delta.removed_targets) {
    scores_.on_removed(id);
    warm_up_.remove(id);
    reachability_.remove(id);
    refusals_.remove(id);
    zone_paths_.on_removed(id);
  }
  for (const auto& address : delta.removed_frontends) {
    placement_.on_frontend_dropped(address);
  }
}

void FlowSteering::remove_incarnation(TargetId target) {
  flows_.visit_open(target, [this](const SteeredFlow& /*flow*/, FlowEntry& entry) {
    remove_load(entry);
    entry.request_started_at.reset();
    entry.phase = FlowPhase::kClosing;
  });
  // Unanswered packets of the previous incarnation do not count against the new one.
  const auto resolve_pending = [target](std::deque<PendingReply>& pending) {
    for (PendingReply& one : pending) {
      one.is_resolved = one.is_resolved || one.target == target;
    }
  };
  resolve_pending(openings_);
  resolve_pending(requests_);
  reachability_.remove(target);
  refusals_.remove(target);
  warm_up_.remove(target);
}

void FlowSteering::confirm(Instant now) {
  is_confirmed_ = true;
  observes_from_ = now + kObservationDelay;
  latency_valid_from_ = now + kLatencyTrustDelay;
}

void FlowSteering::stop_observing() {
  observes_from_ = Instant::max();
  openings_.clear();
  requests_.clear();
  zone_checked_openings_ = 0;
  zone_checked_requests_ = 0;
  overdue_checked_openings_ = 0;
}

void FlowSteering::set_link_congested(bool is_congested, Instant now) {
  is_link_congested_ = is_congested;
  if (is_congested) {
    congested_at_ = now;
  }
  reachability_.set_link_congested(is_congested, now);
}

SteeringDecision FlowSteering::on_packet(const ClientPacket& packet, Instant now) {
  if (!has_settings()) {
    return {SteeringAction::kDrop, SteeringReason::kNoState, nullptr};
  }
  if (!is_confirmed_) {
    return forward_unconfirmed(packet, now);
  }
  if (now >= next_zone_check_at_) {
    check_zone_timeouts(now);
  }
  const FrontendView* frontend = view_.frontend(packet.flow.frontend);
  if (frontend != nullptr) {
    return packet.opens ? place_flow(*frontend, packet, now)
                        : forward_by_token(*frontend, packet, now);
  }
  if (packet.resets) {
    return {SteeringAction::kDrop, SteeringReason::kNoFrontend, nullptr};
  }
  if (view_.was_dropped(packet.flow.frontend)) {
    return {SteeringAction::kReset, SteeringReason::kFrontendDropped, nullptr};
  }
  // A newer revision may contain a frontend unknown here, so its open flows are not reset.
  const SteeringAction action = packet.opens ? SteeringAction::kReset : SteeringAction::kDrop;
  return {action, SteeringReason::kNoFrontend, nullptr};
}

SteeringDecision FlowSteering::forward_unconfirmed(const ClientPacket& packet, Instant now) {
  constexpr SteeringDecision kNoDecision{SteeringAction::kDrop, SteeringReason::kNoState, nullptr};
  const FrontendView* frontend = view_.frontend(packet.flow.frontend);
  if (packet.opens || frontend == nullptr) {
    return kNoDecision;
  }
  const SteeringDecision decision = forward_by_token(*frontend, packet, now);
  return decision.action == SteeringAction::kForward ? decision : kNoDecision;
}

SteeringDecision FlowSteering::place_flow(const FrontendView& frontend, const ClientPacket& packet,
                                          Instant now) {
  check_reply_timeouts(now);
  FlowEntry* entry = flows_.find(packet.flow);
  TargetId avoided = 0;
  // The target selected for the previous transmission, while it may still accept the flow.
  const RegisteredTarget* fallback = nullptr;
  if (entry != nullptr && entry->phase == FlowPhase::kOpening && packet.retransmissions > 0) {
    const RegisteredTarget* previous = view_.target_by_id(entry->target);
    const bool usable = previous != nullptr && previous->phase == TargetPhase::kReady &&
                        view_.may_open(frontend, *previous) && !view_.is_evacuated(*previous);
    if (!entry->is_retransmitted) {
      entry->is_retransmitted = true;
      if (!may_be_local_congestion(entry->last_seen)) {
        scores_.on_unanswered_syn(entry->target, now);
        suspect_target(entry->target, now);
      }
    }
    const bool is_unhealthy =
        scores_.is_suspected(entry->target, now) || reachability_.is_unreachable(entry->target) ||
        refusals_.is_refusing(entry->target, now) || zone_paths_.is_cut(entry->target);
    if (usable && packet.retransmissions <= policy_.copies_at_same_target && !is_unhealthy) {
      return {SteeringAction::kForward, SteeringReason::kRetransmission, previous};
    }
    avoided = entry->target;
    const bool is_reachable =
        !reachability_.is_unreachable(entry->target) && !zone_paths_.is_cut(entry->target);
    fallback = usable && is_reachable ? previous : nullptr;
  }
  const RegisteredTarget* target = placement_.place(inputs(), frontend, packet, avoided, now);
  if (target == nullptr && fallback != nullptr) {
    // The flow was already admitted to the target that is warming up, which may still reply.
    return {SteeringAction::kForward, SteeringReason::kRetransmission, fallback};
  }
  if (target == nullptr) {
    return {SteeringAction::kReset, SteeringReason::kNoTarget, nullptr};
  }
  observe_packet(packet, target->id, now);
  scores_.on_placed(target->id);
  warm_up_.on_placed(target->id, now);
  if (packet.retransmissions == 0 && now >= observes_from_) {
    openings_.push_back({packet.flow, target->id, now});
  }
  const SteeringReason reason =
      avoided == 0 ? SteeringReason::kPlaced : SteeringReason::kPlacedAgain;
  return {SteeringAction::kForward, reason, target};
}

SteeringDecision FlowSteering::forward_by_token(const FrontendView& frontend,
                                                const ClientPacket& packet, Instant now) {
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
  if (target->phase == TargetPhase::kReplaced) {
    const SteeringAction action = packet.resets ? SteeringAction::kDrop : SteeringAction::kReset;
    return {action, SteeringReason::kTargetReplaced, nullptr};
  }
  if (faults_.ignore_token) {
    const RegisteredTarget* other = placement_.place(inputs(), frontend, packet, target->id, now);
    target = other == nullptr ? target : other;
  }
  observe_packet(packet, target->id, now);
  if (reachability_.is_unreachable(target->id) ||
      (zone_paths_.cut_count() > 0 && should_reset_for_zone(frontend, packet, target->id, now))) {
    close_entry(packet.flow);
    const SteeringAction action = packet.resets ? SteeringAction::kDrop : SteeringAction::kReset;
    return {action, SteeringReason::kTargetUnreachable, nullptr};
  }
  return {SteeringAction::kForward, SteeringReason::kToken, target};
}

void FlowSteering::close_entry(const SteeredFlow& flow) {
  FlowEntry* entry = flows_.find(flow);
  if (entry != nullptr && entry->phase != FlowPhase::kClosing) {
    remove_load(*entry);
    entry->request_started_at.reset();
    entry->phase = FlowPhase::kClosing;
  }
}

void FlowSteering::suspect_target(TargetId target, Instant now) {
  suspect_zone(target, now, now);
  // Checked last: selecting reference targets scans all targets that replied recently.
  if (policy_.probes <= 0 || !is_confirmed_ || !reachability_.may_suspect(target, now) ||
      zone_paths_.is_cut(target)) {
    return;
  }
  reachability_.suspect(target, scores_.latest_responsive(kReferenceTargets, target, now), now);
}

void FlowSteering::set_target_health(const std::vector<TargetHealth>& health, Instant now) {
  for (const TargetId id : scores_.set_target_health(health)) {
    if (scores_.at(id).open_flows > 0) {
      suspect_target(id, now);
    }
  }
}

std::vector<TargetProbe> FlowSteering::take_probes(Instant now) {
  std::vector<TargetProbe> probes;
  std::vector<ProbeRequest> requests = zone_paths_.take_probes(now);
  const std::vector<ProbeRequest> single = reachability_.take_probes(now);
  requests.insert(requests.end(), single.begin(), single.end());
  const std::vector<ProbeRequest> refusals = refusals_.take_probes(now);
  requests.insert(requests.end(), refusals.begin(), refusals.end());
  for (const auto& request : requests) {
    const RegisteredTarget* target = view_.target_by_id(request.target);
    if (target == nullptr) {
      on_probe_not_sent(request.number, now);
    } else {
      probes.push_back({request.number, target->address});
    }
  }
  return probes;
}

std::vector<UnreachableTarget> FlowSteering::evaluate_reachability(Instant now) {
  std::vector<UnreachableTarget> unreachable = reachability_.detect_unreachable(now);
  for (const auto& one : unreachable) {
    scores_.on_unreachable(one.target, now);
  }
  return unreachable;
}

void FlowSteering::sort_by_flow(std::vector<FlowReset>& resets) {
  std::sort(resets.begin(), resets.end(), [](const FlowReset& a, const FlowReset& b) {
    return std::pair(a.flow.client, a.flow.frontend) < std::pair(b.flow.client, b.flow.frontend);
  });
}

std::vector<FlowReset> FlowSteering::reset_flows_to(TargetId target) {
  std::vector<FlowReset> resets;
  flows_.visit_open(target, [&](const SteeredFlow& flow, FlowEntry& entry) {
    resets.push_back({flow, entry.acknowledged});
    remove_load(entry);
    entry.request_started_at.reset();
    entry.phase = FlowPhase::kClosing;
  });
  sort_by_flow(resets);
  return resets;
}

void FlowSteering::on_tick(Instant now) {
  check_reply_timeouts(now);
  scores_.on_tick(now);
  const auto idle = std::chrono::milliseconds(view_.idle_timeout_ms());
  flows_.expire(idle, now, [this](const FlowEntry& entry) { remove_load(entry); });
}

}  // namespace gorsevalve
