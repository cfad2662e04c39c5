/// The replicated state that every balancer follows: settings and balancer membership.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/endpoint.h"
#include "model/settings.h"
#include "model/steering.h"

namespace gorsevalve {

/// Whether a member owns partitions.
enum class MemberState : std::uint8_t {
  kActive = 0,
  /// Asked to leave: owns nothing in the new revision, still hands over and relays.
  kLeaving = 1,
  /// Follows the state and owns nothing, now or later: a balancer that steers by reflected tokens.
  kObserver = 2,
};

/// One balancer process.
struct Member {
  std::string name;
  std::string zone;
  /// Address for datagrams from the fabric, from targets and from peers.
  Endpoint address;
  /// Random number drawn at process start: a restarted process is a different member.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kActive;

  friend bool operator==(const Member&, const Member&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& zone& address& incarnation& state;
  }
};

/// Ownership partitions of a new cluster.
constexpr std::uint32_t kDefaultPartitions = 256;

/// State after applying the control log up to `revision`.
struct FleetState {
  /// Last change of any kind.
  Revision revision = 0;
  /// Last change of the settings.
  Revision settings_revision = 0;
  /// Last change of the members: the epoch of partition ownership.
  Revision members_revision = 0;
  /// Number of membership changes so far.
  std::uint32_t members_epoch = 0;
  /// Ownership partitions of the flow space. Fixed when the cluster is created.
  std::uint32_t partitions = kDefaultPartitions;
  Settings settings;
  std::vector<Member> members;
  /// Members before the last membership change: whom a new owner asks for its state.
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
