#include "core/control/registration_monitor.h"

#include <algorithm>

namespace gorsevalve {

void RegistrationMonitor::on_elected(Instant now) {
  elected_at_ = now;
  heard_.clear();
  ended_.clear();
}

void RegistrationMonitor::on_heard(const TargetLife& life, Instant now) {
  heard_[life.id] = {life.started_at_ms, now};
}

void RegistrationMonitor::on_reported(const TargetLife& life, Instant heard_at) {
  Sighting& known = heard_[life.id];
  if (life.started_at_ms > known.started_at_ms) {
    known = {life.started_at_ms, heard_at};
  } else if (life.started_at_ms == known.started_at_ms) {
    known.at = std::max(known.at, heard_at);
  }
}

Instant RegistrationMonitor::heard_at(const RegisteredTarget& target) const {
  const auto found = heard_.find(target.id);
  const bool is_heard =
      found != heard_.end() && found->second.started_at_ms == target.started_at_ms;
  return is_heard ? std::max(found->second.at, elected_at_) : elected_at_;
}

Instant RegistrationMonitor::ended_at(const RegisteredTarget& target, Instant now) {
  Sighting& seen = ended_.try_emplace(target.id, Sighting{target.started_at_ms, now}).first->second;
  if (seen.started_at_ms != target.started_at_ms) {
    seen = {target.started_at_ms, now};
  }
  return seen.at;
}

RegistrationCommand RegistrationMonitor::conclude(const SteeringState& state, Instant now) {
  RegistrationCommand command;
  for (const auto& [id, target] : state.targets) {
    if (target.phase == TargetPhase::kEnded) {
      if (now - ended_at(target, now) > timing_.forgotten_after) {
        command.forgotten.push_back(target.life());
      }
      continue;
    }
    const Duration silence = now - heard_at(target);
    if (silence > timing_.ended_after) {
      command.ended.push_back(target.life());
    } else if (silence > timing_.silent_after && target.phase == TargetPhase::kReady) {
      command.silent.push_back(target.life());
    }
  }
  for (const TargetLife& life : command.forgotten) {
    ended_.erase(life.id);
    heard_.erase(life.id);
  }
  return command;
}

}  // namespace gorsevalve
