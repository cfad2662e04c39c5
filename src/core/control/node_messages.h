/// Messages about the fleet between balancers and control replicas, and between followers and the
/// leader.
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

/// Status of a balancer. Sent every kHeartbeatInterval to the chosen replica, and to all replicas
/// while the balancer looks for one.
struct NodeHeartbeat {
  std::uint64_t sequence = 0;
  Member member;
  /// Fleet revision that the balancer has applied, and its digest.
  Revision revision = 0;
  std::uint64_t digest = 0;
  /// Membership revision whose handovers are complete; 0 while a handover is in progress.
  Revision settled_revision = 0;
  /// False if the balancer does not subscribe to this replica and needs only the reply.
  bool wants_update = true;
  /// Observations of targets since the last heartbeat.
  std::vector<TargetStatistics> observations{};
  /// Version of the target health that the balancer has; 0 for none.
  std::uint64_t health_version = 0;
  /// The balancer received an update that does not follow `revision`: an earlier one was lost.
  bool has_gap = false;
  /// Incremented when the balancer abandons a replica; earlier updates may be lost.
  std::uint32_t session = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& member& revision& digest& settled_revision& wants_update;
    archive& observations& health_version& has_gap& session;
  }
};

struct HeartbeatReply {
  std::uint64_t sequence = 0;
  /// The balancer may dispatch non-idempotent requests for this long after it sent the heartbeat.
  std::uint32_t lease_ms = 0;
  /// A leaving balancer may stop: all others have completed their handovers.
  bool may_stop = false;
  /// The replica has applied everything that an active leader has committed, as of `revision`.
  bool is_current = false;
  Revision revision = 0;
  /// Addresses of all replicas, for later connections.
  std::vector<Endpoint> replicas{};
  /// Zone of the replica; empty if unknown.
  std::string zone{};
  /// Set if the balancer has another version.
  std::optional<TargetHealthUpdate> health{};
  /// Rank of the balancer among all balancers; a count of 0 if unknown.
  BalancerRank rank{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& lease_ms& may_stop& is_current& revision& replicas& zone& health& rank;
  }
};

/// Replica to balancer: the deltas after the balancer's revision, or a snapshot.
struct FleetUpdate {
  std::vector<FleetDelta> deltas;
  bool is_snapshot = false;
  FleetState snapshot;
  /// Digest of the state after the update.
  std::uint64_t digest = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& deltas& is_snapshot& snapshot& digest;
  }
};

/// Status of a balancer from its last heartbeat.
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

/// Target that sent an announcement to a follower.
struct ReportedTarget {
  TargetIncarnation incarnation;
  /// Time since the last announcement.
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& incarnation& age_ms;
  }
};

/// Follower to leader, every kHeartbeatInterval.
struct ReplicaReport {
  std::uint64_t sequence = 0;
  /// Replica that sends the report.
  Endpoint replica;
  std::vector<NodeStatus> nodes;
  /// Targets that sent an announcement since the last report.
  std::vector<ReportedTarget> targets{};
  /// Target observations of the served balancers since the last report.
  std::vector<TargetStatistics> observations{};
  /// Version of the target health that the follower has; 0 for none.
  std::uint64_t health_version = 0;
  /// Served balancers, including observers.
  std::vector<Endpoint> balancers{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& replica& nodes& targets& observations& health_version& balancers;
  }
};

/// Leader to follower: acknowledges a report while the leader holds its lease.
struct ReportReply {
  std::uint64_t sequence = 0;
  /// Leaving balancers that may stop.
  std::vector<Endpoint> may_stop;
  /// Set if the follower has another version.
  std::optional<TargetHealthUpdate> health{};
  /// Ranks of the reported balancers; empty while the leader does not know all balancers.
  std::vector<RankedBalancer> ranks{};

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& may_stop& health& ranks;
  }
};

/// Follower to leader: registrations that the follower's committed state does not contain yet.
/// There is no reply; the follower reads the result from its log.
struct ForwardedRegistrations {
  std::vector<RegisteredTarget> announced;
  std::vector<TargetIncarnation> ended;

  [[nodiscard]] bool empty() const { return announced.empty() && ended.empty(); }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& announced& ended;
  }
};

/// Any message about the fleet between balancers and replicas.
using NodeMessage =
    std::variant<NodeHeartbeat, HeartbeatReply, FleetUpdate, ReplicaReport, ReportReply,
                 TargetHealthUpdate, ForwardedRegistrations, RefusingTargets>;

}  // namespace gorsevalve
