/// Changes to the fleet state, as committed by the control log and sent to balancers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/fleet.h"

namespace gorsevalve {

/// Changes to the balancer members.
struct MembersCommand {
  /// Members that were added or changed, identified by address.
  std::vector<Member> upserted;
  /// Addresses to remove, unless the same command adds them under another incarnation.
  std::vector<Endpoint> removed;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& upserted& removed;
  }
};

/// Difference between two revisions of the fleet state.
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

/// True when the delta can be applied to this state's revision.
bool is_based_on(const FleetState& fleet, const FleetDelta& delta);

/// Applies a delta. Returns false and changes nothing if it is not based on this state's revision.
bool apply_delta(FleetState& fleet, const FleetDelta& delta);

}  // namespace gorsevalve
