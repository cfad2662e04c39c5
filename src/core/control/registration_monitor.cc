#include "core/control/registration_monitor.h"

#include <algorithm>

namespace gorsevalve {

void RegistrationMonitor::on_elected(Instant now) {
  elected_at_ = now;
  heard_at_.clear();
  ended_at_.clear();
}

void RegistrationMonitor::on_heartbeat(TargetId id, Instant heard_at) {
  Instant& known = heard_at_[id];
  known = std::max(known, heard_at);
}

RegistrationCommand RegistrationMonitor::conclude(const SteeringState& state, Instant now) {
  RegistrationCommand command;
  for (const auto& target : state.targets) {
    if (target.phase == TargetPhase::kEnded) {
      const Instant ended = ended_at_.try_emplace(target.id, now).first->second;
      if (now - ended > timing_.forgotten_after) {
        command.forgotten.push_back(target.id);
      }
      continue;
    }
    const auto found = heard_at_.find(target.id);
    const Instant heard =
        found == heard_at_.end() ? elected_at_ : std::max(found->second, elected_at_);
    const Duration silence = now - heard;
    if (silence > timing_.ended_after) {
      command.ended.push_back(target.id);
    } else if (silence > timing_.silent_after && target.phase == TargetPhase::kReady) {
      command.silent.push_back(target.id);
    }
  }
  for (const TargetId id : command.forgotten) {
    ended_at_.erase(id);
    heard_at_.erase(id);
  }
  return command;
}

}  // namespace gorsevalve
