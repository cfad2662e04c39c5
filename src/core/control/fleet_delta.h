/// Changes of the fleet state: what the control log brings about, and what balancers follow.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/fleet.h"

namespace gorsevalve {

/// Changes of the balancer members.
struct MembersCommand {
  /// Members added, or changed in state; by address.
  std::vector<Member> upserted;
  /// Addresses removed, unless re-added under another incarnation in the same command.
  std::vector<Endpoint> removed;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& upserted& removed;
  }
};

/// What changed between two revisions of the fleet state.
struct FleetDelta {
  Revision base = 0;
  Revision revision = 0;
  /// Set when the settings changed.
  bool has_settings = false;
  std::string deployment;
  std::vector<Service> upserted_services;
  std::vector<Endpoint> removed_services;
  /// Set when the members changed.
  std::optional<MembersCommand> members;
  /// Set when the steering state changed.
  std::optional<SteeringDelta> steering;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& base& revision& has_settings& deployment& upserted_services& removed_services& members&
        steering;
  }
};

/// True when the delta follows this state's revision.
bool is_based_on(const FleetState& fleet, const FleetDelta& delta);

/// Applies a delta; false when it is not based on this state's revision.
bool apply_delta(FleetState& fleet, const FleetDelta& delta);

}  // namespace gorsevalve
