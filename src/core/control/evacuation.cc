#include "core/control/evacuation.h"

#include <algorithm>
#include <map>
#include <set>

namespace gorsevalve {

std::string_view to_string(EvacuationAction evacuation_action) {
  return evacuation_action == EvacuationAction::kEvacuate ? "evacuate" : "restore";
}

const EvacuatedZone* find_evacuation(const SteeringState& state, std::string_view zone) {
  const auto found =
      std::find_if(state.evacuated_zones.begin(), state.evacuated_zones.end(),
                   [&](const EvacuatedZone& evacuated) { return evacuated.zone == zone; });
  return found == state.evacuated_zones.end() ? nullptr : &*found;
}

bool is_already_applied(const SteeringState& state, const EvacuationCommand& command) {
  const bool is_evacuated = find_evacuation(state, command.zone) != nullptr;
  return is_evacuated == (command.action == EvacuationAction::kEvacuate);
}

std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const EvacuationCommand& command, Revision since) {
  if (is_already_applied(state, command)) {
    return std::nullopt;
  }
  SteeringDelta delta;
  delta.has_evacuations = true;
  delta.evacuated_zones = state.evacuated_zones;
  if (command.action == EvacuationAction::kRestore) {
    std::erase_if(delta.evacuated_zones,
                  [&](const EvacuatedZone& evacuated) { return evacuated.zone == command.zone; });
    return delta;
  }
  delta.evacuated_zones.push_back({command.zone, since});
  std::sort(delta.evacuated_zones.begin(), delta.evacuated_zones.end(),
            [](const EvacuatedZone& a, const EvacuatedZone& b) { return a.zone < b.zone; });
  return delta;
}

std::vector<std::string> known_zones(const std::vector<std::string>& configured,
                                     const FleetState& fleet) {
  std::set<std::string> zones(configured.begin(), configured.end());
  for (const auto& service : fleet.settings.services) {
    for (const auto& target : service.targets) {
      zones.insert(target.zone);
    }
  }
  for (const auto& [id, target] : fleet.steering.targets) {
    zones.insert(target.zone);
  }
  for (const auto& evacuated : fleet.steering.evacuated_zones) {
    zones.insert(evacuated.zone);
  }
  zones.erase("");
  return {zones.begin(), zones.end()};
}

std::string unknown_zone_error(const std::string& zone, const std::vector<std::string>& known) {
  std::string message = "there is no zone \"" + zone + "\"; known zones:";
  for (const auto& name : known) {
    message += " " + name;
  }
  return known.empty() ? message + " none" : message;
}

std::vector<std::string> pools_without_targets(const FleetState& fleet) {
  // Maps each pool and service with eligible targets to whether one is outside of the evacuated
  // zones.
  std::map<std::string, bool> is_served;
  const auto record_target = [&](const std::string& name, const std::string& zone) {
    is_served[name] |= find_evacuation(fleet.steering, zone) == nullptr;
  };
  for (const auto& service : fleet.settings.services) {
    for (const auto& target : service.targets) {
      if (!target.draining) {
        record_target(service.name, target.zone);
      }
    }
  }
  for (const auto& [id, target] : fleet.steering.targets) {
    if (target.phase == TargetPhase::kReady || target.phase == TargetPhase::kSilent) {
      record_target(target.pool, target.zone);
    }
  }
  std::vector<std::string> unserved;
  for (const auto& [name, served] : is_served) {
    if (!served) {
      unserved.push_back(name);
    }
  }
  return unserved;
}

}  // namespace gorsevalve
