/// Zone evacuation: the operator's command in the control log, its effect on the steering state,
/// and checks for the operator. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/fleet.h"

namespace gorsevalve {

enum class EvacuationAction : std::uint8_t {
  /// The zone's targets get no new flows.
  kEvacuate = 0,
  /// The zone's targets get new flows again.
  kRestore = 1,
};

/// Name of an action in logs.
std::string_view to_string(EvacuationAction evacuation_action);

struct EvacuationCommand {
  std::string zone;
  EvacuationAction action = EvacuationAction::kEvacuate;

  friend bool operator==(const EvacuationCommand&, const EvacuationCommand&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& action;
  }
};

/// The evacuation of a zone, or nullptr if it is not evacuated.
const EvacuatedZone* find_evacuation(const SteeringState& state, std::string_view zone);

/// True when the command would not change the state.
bool is_already_applied(const SteeringState& state, const EvacuationCommand& command);

/// The change that a command makes at revision `since`, or nothing when it has no effect.
std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const EvacuationCommand& command, Revision since);

/// Zones that a command may name, sorted: configured zones, zones of targets, and evacuated zones.
/// Excludes the empty name.
std::vector<std::string> known_zones(const std::vector<std::string>& configured,
                                     const FleetState& fleet);

/// Error message for a command that names an unknown zone.
std::string unknown_zone_error(const std::string& zone, const std::vector<std::string>& known);

/// Names of the pools and services whose eligible targets are all in evacuated zones, sorted.
std::vector<std::string> pools_without_targets(const FleetState& fleet);

}  // namespace gorsevalve
