/// Replicated state of the fleet that every balancer applies: settings, balancer membership and
/// steering state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/endpoint.h"
#include "model/settings.h"
#include "model/steering.h"

namespace gorsevalve {

/// Determines whether a member owns partitions.
enum class MemberState : std::uint8_t {
  kActive = 0,
  /// Asked to leave; owns no partitions in the new revision but still hands over and relays.
  kLeaving = 1,
  /// Receives the state but never owns partitions; used by balancers that steer by reflected
  /// tokens.
  kObserver = 2,
};

/// One balancer process.
struct Member {
  std::string name;
  std::string zone;
  /// Address for datagrams from the fabric, targets and peers.
  Endpoint address;
  /// Random number chosen at process start; distinguishes a restarted process.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kActive;

  friend bool operator==(const Member&, const Member&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& zone& address& incarnation& state;
  }
};

/// Number of ownership partitions in a new cluster.
constexpr std::uint32_t kDefaultPartitions = 256;

/// State after applying the control log up to `revision`.
struct FleetState {
  /// Revision of the last change.
  Revision revision = 0;
  /// Revision of the last settings change.
  Revision settings_revision = 0;
  /// Revision of the last membership change; identifies the current partition owners.
  Revision members_revision = 0;
  /// Number of membership changes so far.
  std::uint32_t members_epoch = 0;
  /// Number of ownership partitions of the flow space; fixed at cluster creation.
  std::uint32_t partitions = kDefaultPartitions;
  Settings settings;
  std::vector<Member> members;
  /// Members before the last membership change, from which a new owner requests state.
  std::vector<Member> previous_members;
  SteeringState steering;

  friend bool operator==(const FleetState&, const FleetState&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& settings_revision& members_revision& members_epoch& partitions& settings&
        members& previous_members& steering;
  }
};

}  // namespace gorsevalve
