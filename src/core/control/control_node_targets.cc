/// Target registration in the control node: checks announcements against the committed state,
/// forwards them from followers to the leader, and proposes them.
#include <algorithm>
#include <iterator>
#include <utility>

#include "core/control/control_node.h"
#include "core/control/target_incarnations.h"

namespace gorsevalve {
namespace {

/// Interval between two checks for targets whose heartbeats timed out.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);

}  // namespace

AnnouncementStatus ControlNode::on_announcement(const RegisteredTarget& announced, Instant now) {
  if (!replica_->is_current(now) || !reaches_leader(now)) {
    return AnnouncementStatus::kNotLeader;
  }
  const RegisteredTarget* known = find_target(state_.fleet().steering, announced.id);
  const bool is_change = changes_registration(announced, known);
  const bool leads = replica_->is_leader();
  // A late duplicate from an earlier incarnation is no heartbeat of the known one.
  const bool is_accepted = is_change || known->incarnation() == announced.incarnation();
  if (is_accepted && leads) {
    registrations_.on_announcement(announced.incarnation(), now);
  } else if (is_accepted) {
    unreported_targets_[announced.id] = {announced.started_at_ms, now};
  }
  if (!is_change) {
    return AnnouncementStatus::kCommitted;
  }
  return leads ? AnnouncementStatus::kPropose : AnnouncementStatus::kForward;
}

TargetIncarnation ControlNode::incarnation_to_end(TargetId id,
                                                  std::optional<TargetStart> started_at_ms,
                                                  TargetStart unix_now_ms) const {
  if (started_at_ms) {
    return {id, *started_at_ms};
  }
  const RegisteredTarget* known = find_target(state_.fleet().steering, id);
  return known == nullptr ? TargetIncarnation{id, unix_now_ms} : known->incarnation();
}

AnnouncementStatus ControlNode::check_target_end(const TargetIncarnation& target_incarnation,
                                                 Instant now) const {
  if (!replica_->is_current(now) || !reaches_leader(now)) {
    return AnnouncementStatus::kNotLeader;
  }
  if (is_committed(target_incarnation)) {
    return AnnouncementStatus::kCommitted;
  }
  return replica_->is_leader() ? AnnouncementStatus::kPropose : AnnouncementStatus::kForward;
}

bool ControlNode::is_committed(const RegisteredTarget& announced) const {
  const RegisteredTarget* known = find_target(state_.fleet().steering, announced.id);
  return !changes_registration(announced, known);
}

bool ControlNode::is_committed(const TargetIncarnation& ended) const {
  const RegisteredTarget* known = find_target(state_.fleet().steering, ended.id);
  if (known == nullptr) {
    return false;
  }
  const IncarnationOrder order = compare_incarnations(ended.started_at_ms, known->started_at_ms);
  return order == IncarnationOrder::kEarlier ||
         (order == IncarnationOrder::kSame && known->has_ended());
}

void ControlNode::forward(const ForwardedRegistrations& registrations) {
  const std::optional<Endpoint> leader = replica_->leader_address();
  if (leader && !replica_->is_leader() && !registrations.empty()) {
    output_.send_node(*leader, registrations);
  }
}

void ControlNode::propose_forwarded(Instant now) {
  const RegistrationCommand command = std::exchange(forwarded_, {});
  if (!command.empty() && replica_->has_lease(now)) {
    propose(command, now);
  }
}

void ControlNode::check_target_timeouts(Instant now) {
  if (now < next_timeout_check_) {
    return;
  }
  next_timeout_check_ = now + kTimeoutCheckInterval;
  const RegistrationCommand phase_changes =
      registrations_.check_timeouts(state_.fleet().steering, now);
  if (!phase_changes.empty()) {
    propose(phase_changes, now);
  }
  if (!phase_changes.replaced.empty()) {
    output_.on_targets_replaced(phase_changes.replaced);
  }
}

void ControlNode::handle(const Endpoint& /*from*/, const ForwardedRegistrations& registrations,
                         Instant now) {
  if (!replica_->has_lease(now)) {
    return;
  }
  for (const auto& announced : registrations.announced) {
    if (!is_committed(announced)) {
      registrations_.on_announcement(announced.incarnation(), now);
      forwarded_.announced.push_back(announced);
    }
  }
  std::copy_if(registrations.ended.begin(), registrations.ended.end(),
               std::back_inserter(forwarded_.ended),
               [this](const TargetIncarnation& target_incarnation) {
                 return !is_committed(target_incarnation);
               });
}

}  // namespace gorsevalve
