/// Evacuation of a zone: the operator's command of the control log, how it changes the steering
/// state, and what an operator should know of it. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/fleet.h"

namespace gorsevalve {

enum class EvacuationAction : std::uint8_t {
  /// The zone's targets get no new flows from now on.
  kEvacuate = 0,
  /// They get new flows again.
  kRestore = 1,
};

/// Name of an order in logs.
std::string_view to_string(EvacuationAction order);

struct EvacuationCommand {
  std::string zone;
  EvacuationAction action = EvacuationAction::kEvacuate;

  friend bool operator==(const EvacuationCommand&, const EvacuationCommand&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& action;
  }
};

/// The evacuation of a zone, or nullptr.
const EvacuatedZone* find_evacuation(const SteeringState& state, std::string_view zone);

/// True when the state is already what the command asks for.
bool is_already_applied(const SteeringState& state, const EvacuationCommand& command);

/// The change that a command makes to a state as revision `since`; nothing when it is in force.
std::optional<SteeringDelta> steering_delta(const SteeringState& state,
                                            const EvacuationCommand& command, Revision since);

/// Zones that may be named in an order, by name: the configured ones, those of targets, and those
/// that are evacuated. The empty name is none.
std::vector<std::string> known_zones(const std::vector<std::string>& configured,
                                     const FleetState& fleet);

/// What an operator is told who named an unknown zone.
std::string unknown_zone_error(const std::string& zone, const std::vector<std::string>& known);

/// Pools and services whose targets that could take new work are all in evacuated zones, by name.
std::vector<std::string> pools_without_targets(const FleetState& fleet);

}  // namespace gorsevalve
