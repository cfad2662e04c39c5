#include "core/control/registration_monitor.h"

#include <algorithm>

namespace gorsevalve {

void RegistrationMonitor::on_elected(Instant now) {
  elected_at_ = now;
  last_seen_.clear();
  ended_.clear();
}

void RegistrationMonitor::on_announcement(const TargetIncarnation& target_incarnation,
                                          Instant now) {
  last_seen_[target_incarnation.id] = {target_incarnation.started_at_ms, now};
}

void RegistrationMonitor::on_follower_report(const TargetIncarnation& target_incarnation,
                                             Instant received_at) {
  TimedIncarnation& known = last_seen_[target_incarnation.id];
  if (target_incarnation.started_at_ms > known.started_at_ms) {
    known = {target_incarnation.started_at_ms, received_at};
  } else if (target_incarnation.started_at_ms == known.started_at_ms) {
    known.at = std::max(known.at, received_at);
  }
}

Instant RegistrationMonitor::last_seen(const RegisteredTarget& target) const {
  const auto found = last_seen_.find(target.id);
  const bool is_recorded =
      found != last_seen_.end() && found->second.started_at_ms == target.started_at_ms;
  return is_recorded ? std::max(found->second.at, elected_at_) : elected_at_;
}

Instant RegistrationMonitor::ended_at(const RegisteredTarget& target, Instant now) {
  TimedIncarnation& entry =
      ended_.try_emplace(target.id, TimedIncarnation{target.started_at_ms, now}).first->second;
  if (entry.started_at_ms != target.started_at_ms) {
    entry = {target.started_at_ms, now};
  }
  return entry.at;
}

RegistrationCommand RegistrationMonitor::check_timeouts(const SteeringState& state, Instant now) {
  RegistrationCommand command;
  for (const auto& [id, target] : state.targets) {
    if (target.phase == TargetPhase::kEnded) {
      if (now - ended_at(target, now) > timing_.remove_after) {
        command.removed.push_back(target.incarnation());
      }
      continue;
    }
    const Duration silence = now - last_seen(target);
    if (silence > timing_.ended_after) {
      command.ended.push_back(target.incarnation());
    } else if (silence > timing_.heartbeat_timeout && target.phase == TargetPhase::kReady) {
      command.silent.push_back(target.incarnation());
    }
  }
  for (const TargetIncarnation& target_incarnation : command.removed) {
    ended_.erase(target_incarnation.id);
    last_seen_.erase(target_incarnation.id);
  }
  return command;
}

}  // namespace gorsevalve
