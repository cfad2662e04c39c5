#include "core/control/registration_monitor.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <string_view>

namespace gorsevalve {

void RegistrationMonitor::on_elected(Instant now) {
  elected_at_ = now;
  last_seen_.clear();
  ended_.clear();
  holders_.clear();
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

std::optional<Instant> RegistrationMonitor::heard_at(const RegisteredTarget& target) const {
  const auto found = last_seen_.find(target.id);
  const bool is_recorded =
      found != last_seen_.end() && found->second.started_at_ms == target.started_at_ms;
  return is_recorded ? std::optional(found->second.at) : std::nullopt;
}

Instant RegistrationMonitor::last_seen(const RegisteredTarget& target) const {
  return std::max(heard_at(target).value_or(elected_at_), elected_at_);
}

AddressClaims RegistrationMonitor::find_shared_addresses(const SteeringState& state) const {
  absl::flat_hash_set<std::string_view> configured;
  for (const auto& pool : state.settings.pools) {
    configured.insert(pool.name);
  }
  const auto claim_of = [&](const RegisteredTarget& target) {
    return AddressClaim{target.incarnation(), heard_at(target), configured.contains(target.pool)};
  };
  AddressClaims shared;
  absl::flat_hash_map<Endpoint, const RegisteredTarget*> first_at;
  first_at.reserve(state.targets.size());
  for (const auto& [id, target] : state.targets) {
    if (target.phase == TargetPhase::kReplaced) {
      continue;
    }
    const auto [first, is_first] = first_at.try_emplace(target.address, &target);
    if (is_first) {
      continue;
    }
    std::vector<AddressClaim>& claims = shared[target.address];
    if (claims.empty()) {
      claims.push_back(claim_of(*first->second));
    }
    claims.push_back(claim_of(target));
  }
  return shared;
}

void RegistrationMonitor::on_observations(const std::vector<TargetStatistics>& observations,
                                          const SteeringState& state) {
  absl::flat_hash_map<FlowToken, TargetStart> replaced;
  for (const TargetStatistics& observed : observations) {
    if (observed.replaced) {
      replaced[observed.token] = *observed.replaced;
    }
  }
  if (replaced.empty()) {
    return;
  }
  for (const auto& [id, target] : state.targets) {
    const auto found = replaced.find(target.token);
    if (found != replaced.end() && found->second == target.started_at_ms) {
      holders_.on_replacement_observed(target.incarnation());
    }
  }
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
    if (target.has_ended()) {
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
  command.replaced = holders_.find_replaced(find_shared_addresses(state));
  for (const TargetIncarnation& target_incarnation : command.removed) {
    ended_.erase(target_incarnation.id);
    last_seen_.erase(target_incarnation.id);
  }
  return command;
}

}  // namespace gorsevalve
