#include "core/control/fleet_delta.h"

#include <algorithm>

#include "core/control/steering_commands.h"

namespace gorsevalve {
namespace {

void apply_settings_delta(FleetState& fleet, const FleetDelta& delta) {
  auto& services = fleet.settings.services;
  const auto replaced = [&](const Service& service) {
    const auto same_address = [&](const Service& other) {
      return other.address == service.address;
    };
    return std::any_of(delta.upserted_services.begin(), delta.upserted_services.end(),
                       same_address) ||
           std::find(delta.removed_services.begin(), delta.removed_services.end(),
                     service.address) != delta.removed_services.end();
  };
  std::erase_if(services, replaced);
  services.insert(services.end(), delta.upserted_services.begin(), delta.upserted_services.end());
  std::sort(services.begin(), services.end(),
            [](const Service& a, const Service& b) { return a.address < b.address; });
  fleet.settings.deployment = delta.deployment;
  fleet.settings_revision = delta.revision;
}

void apply_members_command(FleetState& fleet, const MembersCommand& command, Revision revision) {
  fleet.previous_members = fleet.members;
  auto& members = fleet.members;
  std::erase_if(members, [&](const Member& member) {
    return std::find(command.removed.begin(), command.removed.end(), member.address) !=
           command.removed.end();
  });
  for (const auto& member : command.upserted) {
    std::erase_if(members, [&](const Member& old) { return old.address == member.address; });
    members.push_back(member);
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.address < b.address; });
  fleet.members_revision = revision;
  ++fleet.members_epoch;
}

}  // namespace

bool is_based_on(const FleetState& fleet, const FleetDelta& delta) {
  return delta.base == fleet.revision && delta.revision > delta.base;
}

bool apply_delta(FleetState& fleet, const FleetDelta& delta) {
  if (!is_based_on(fleet, delta)) {
    return false;
  }
  if (delta.has_settings) {
    apply_settings_delta(fleet, delta);
  }
  if (delta.members) {
    apply_members_command(fleet, *delta.members, delta.revision);
  }
  if (delta.steering) {
    apply_steering_delta(fleet.steering, *delta.steering);
  }
  fleet.revision = delta.revision;
  return true;
}

}  // namespace gorsevalve
