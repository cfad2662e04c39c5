/// Messages between balancers and control replicas, and between a follower and the leader about the
/// balancers that it serves.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/control/control_state.h"
#include "model/balancer_rank.h"
#include "model/fleet.h"
#include "model/target_health.h"

namespace gorsevalve {

/// What a balancer says of itself, once per kHeartbeatInterval to the replica that it has chosen,
/// and to all while it searches for one.
struct NodeHeartbeat {
  std::uint64_t sequence = 0;
  Member member;
  /// Fleet state in force at the balancer.
  Revision revision = 0;
  std::uint64_t digest = 0;
  /// Membership revision whose handovers it finished; 0 while one is under way.
  Revision settled_revision = 0;
  /// False when only the reply is wanted: the balancer does not follow this replica.
  bool wants_update = true;
  /// What it saw of targets since its last report.
  std::vector<TargetObservation> observations{};
  /// Edition of the figures that it has.
  std::uint64_t health_version = 0;
  /// An update came that does not follow `revision`: one before it was lost.
  bool has_gap = false;
  /// Raised each time the balancer gives a replica up: what replicas sent before may be lost.
  std::uint32_t session = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& member& revision& digest& settled_revision& wants_update;
    archive& observations& health_version& has_gap& session;
  }
};

struct HeartbeatReply {
  std::uint64_t sequence = 0;
  /// The balancer may run once-only requests for this long after it sent the heartbeat.
  std::uint32_t lease_ms = 0;
  /// Set when a leaving balancer may end: all others have settled without it.
  bool may_stop = false;
  /// The replica holds what a living leader has committed; `revision` is what it holds.
  bool is_current = false;
  Revision revision = 0;
  /// Where replicas listen, for the time after this one.
  std::vector<Endpoint> replicas{};
  /// Zone of the replica that answers; empty when it does not know.
  std::string zone{};
  /// Set when the balancer has another edition.
  std::optional<TargetHealthUpdate> health{};
  /// The balancer's place among all of them; a count of 0 while it is not known.
  BalancerRank rank{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& lease_ms& may_stop& is_current& revision& replicas& zone& health& rank;
  }
};

/// Replica to balancer: the changes after its revision, or the whole state.
struct FleetUpdate {
  std::vector<FleetDelta> deltas;
  bool is_snapshot = false;
  FleetState snapshot;
  /// Digest after all changes.
  std::uint64_t digest = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& deltas& is_snapshot& snapshot& digest;
  }
};

/// A balancer as its replica last heard it.
struct NodeStatus {
  Member member;
  Revision revision = 0;
  Revision settled_revision = 0;
  /// Time since the last heartbeat.
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& member& revision& settled_revision& age_ms;
  }
};

/// A target that a follower heard.
struct ReportedTarget {
  TargetIncarnation incarnation;
  /// Time since it was heard last.
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& incarnation& age_ms;
  }
};

/// Follower to leader, once per kHeartbeatInterval.
struct ReplicaReport {
  std::uint64_t sequence = 0;
  /// Replica that reports.
  Endpoint replica;
  std::vector<NodeStatus> nodes;
  /// Targets heard since the report before.
  std::vector<ReportedTarget> targets{};
  /// What the balancers that it serves saw of targets since the report before.
  std::vector<TargetObservation> observations{};
  /// Edition of the figures that it has.
  std::uint64_t health_version = 0;
  /// All balancers that it serves, observers too.
  std::vector<Endpoint> balancers{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& replica& nodes& targets& observations& health_version& balancers;
  }
};

/// Leader to follower: the report was taken by a leader that still had its lease.
struct ReportReply {
  std::uint64_t sequence = 0;
  /// Leaving balancers that may end.
  std::vector<Endpoint> may_stop;
  /// Set when the follower has another edition.
  std::optional<TargetHealthUpdate> health{};
  /// Places of the reported balancers; none while the leader does not know all balancers.
  std::vector<RankedBalancer> ranks{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& may_stop& health& ranks;
  }
};

/// Follower to leader: what targets said to the follower that its committed state doesn't hold yet.
/// There is no answer: the follower sees in its own log what became of it.
struct ForwardedRegistrations {
  std::vector<RegisteredTarget> announced;
  std::vector<TargetIncarnation> ended;

  [[nodiscard]] bool empty() const { return announced.empty() && ended.empty(); }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& announced& ended;
  }
};

/// Any message between balancers and replicas about the fleet.
using NodeMessage =
    std::variant<NodeHeartbeat, HeartbeatReply, FleetUpdate, ReplicaReport, ReportReply,
                 TargetHealthUpdate, ForwardedRegistrations, RefusingTargets>;

}  // namespace gorsevalve
