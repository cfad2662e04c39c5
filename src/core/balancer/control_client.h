/// The balancer's client of the control replicas: sends heartbeats, keeps the lease, and applies
/// fleet updates. A replica is current if it has applied everything that an active leader has
/// committed. Deterministic; does no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "core/balancer/replica_selector.h"
#include "core/balancer/state_freshness.h"
#include "core/control/fleet_digest.h"
#include "core/control/node_messages.h"
#include "model/fleet.h"
#include "model/time.h"

namespace gorsevalve {

/// Why a balancer did not apply an update.
enum class UpdateRejection : std::uint8_t {
  /// It follows a revision that is not applied here: an earlier update was lost.
  kGap = 0,
  /// The digest of the resulting state differs from that of the replica's state.
  kDigest = 1,
  /// It is a snapshot that is older than the applied state.
  kOlder = 2,
};

std::string_view to_string(UpdateRejection reason);

/// An update that was not applied.
struct RejectedUpdate {
  Endpoint replica;
  /// Revision that the update follows; for a snapshot, the revision of the snapshot.
  Revision base = 0;
  UpdateRejection reason = UpdateRejection::kGap;
};

/// Effects of the control client, implemented by its environment.
class ControlClientOutput {
 public:
  virtual ~ControlClientOutput() = default;
  virtual void send_control(const Endpoint& replica, const NodeMessage& message) = 0;
  /// A newer fleet state is applied.
  virtual void on_fleet(const FleetState& fleet, Instant now) = 0;
  /// Like on_fleet, for a state that results from the previous one by these deltas only.
  virtual void on_deltas(const FleetState& fleet, const std::vector<FleetDelta>& /*deltas*/,
                         Instant now) {
    on_fleet(fleet, now);
  }
  /// A current replica has confirmed that the applied state is the newest. Called once.
  virtual void on_confirmed(Instant /*now*/) {}
  virtual void on_lease(Instant until) = 0;
  /// This process was removed from the members while it runs: others have taken over its
  /// partitions. It must drop its state and call `rejoin` with a new incarnation.
  virtual void on_removed(Instant now) = 0;
  /// True when there are observations to report without delay.
  virtual bool has_urgent_observations() { return false; }
  /// Returns the target observations since the last call, for the next heartbeat.
  virtual std::vector<TargetStatistics> take_observations() { return {}; }
  /// Target health aggregated over all balancers; replaces what was reported before.
  virtual void on_target_health(const std::vector<TargetHealth>& /*health*/) {}
  /// These targets recently refused probes of balancers.
  virtual void on_refusing(const RefusingTargets& /*refusing*/, Instant /*now*/) {}
  /// Rank of this balancer among all; reported with each reply. A count of 0 means unknown.
  virtual void on_rank(const BalancerRank& /*rank*/, Instant /*now*/) {}
  /// The client subscribes to a current replica, which holds this revision.
  virtual void on_replica_chosen(const Endpoint& /*replica*/, Revision /*held_revision*/) {}
  /// The chosen replica does not reply; connections to it should be closed.
  virtual void on_replica_timed_out(const Endpoint& /*replica*/) {}
  /// The chosen replica replies, but its updates are overdue. The client searches again.
  virtual void on_updates_overdue(const Endpoint& /*replica*/, Revision /*revisions*/) {}
  /// An update was not applied; the missing updates are requested.
  virtual void on_update_rejected(const RejectedUpdate& /*refused*/) {}
};

/// Intervals between heartbeats, and the timeout of a replica.
struct ControlClientTiming {
  Duration heartbeat_interval = std::chrono::milliseconds(1000);
  /// When the chosen replica has not replied for this long, the client searches for another one.
  Duration replica_timeout = std::chrono::milliseconds(1500);
  /// Interval between heartbeats of an observer until its state is confirmed as the newest.
  Duration starting_interval = std::chrono::milliseconds(1000);
};

/// Injected faults, for the tests that verify that the checkers detect violations. Programs leave
/// all of them off.
struct ControlClientFaults {
  bool ignore_revision_floor = false;
  /// Any message from the chosen replica counts as a reply and confirms the state.
  bool trust_any_message = false;
};

class ControlClient {
 public:
  /// `stored` is the fleet state that was stored before a restart, or an empty one.
  ControlClient(const Member& self, std::vector<Endpoint> replicas, FleetState stored,
                ControlClientOutput& output);

  void on_message(const Endpoint& from, const NodeMessage& message, Instant now);
  /// `settled_revision` is Balancer::settled_revision().
  void on_tick(Revision settled_revision, Instant now);

  void set_faults(const ControlClientFaults& faults) { faults_ = faults; }

  /// Joins again as another member, after on_removed.
  void rejoin(std::uint64_t incarnation);

  /// Requests to leave the members: this process will hand over its partitions.
  void leave() { self_.state = MemberState::kLeaving; }
  /// True when this process has left the members and may exit.
  [[nodiscard]] bool may_stop() const { return may_stop_; }
  [[nodiscard]] const FleetState& fleet() const { return fleet_; }
  /// True once a replica that holds the newest committed state has confirmed this one.
  [[nodiscard]] bool has_been_current() const { return has_been_current_; }

  /// Number of revisions by which a current replica is known to be ahead.
  [[nodiscard]] Revision revisions_behind() const {
    const Revision reported = freshness_.pending();
    return reported > fleet_.revision ? reported - fleet_.revision : 0;
  }

  /// The replica that the client is subscribed to; empty during a search.
  [[nodiscard]] std::optional<Endpoint> replica() const;
  /// Latest time at which the applied state was known to be the newest; empty before the first
  /// confirmation.
  [[nodiscard]] std::optional<Instant> confirmed_at() const { return freshness_.confirmed_at(); }
  /// Revision that a current replica reported and that is not applied here yet; 0 for none.
  [[nodiscard]] Revision pending_revision() const { return freshness_.pending(); }

  void set_timing(const ControlClientTiming& timing) { timing_ = timing; }
  /// Replaces the seed addresses, which are used in addition to the replicas that replies name.
  void set_seeds(const std::vector<Endpoint>& seeds) { selector_.set_seeds(seeds); }

 private:
  void on_update(const Endpoint& from, const FleetUpdate& update, Instant now);
  /// Handles an update that does not follow the applied revision: requests the missing updates, at
  /// most once per kRepairInterval.
  void on_gap(const Endpoint& from, Revision base, Instant now);
  /// Subscribes to a replica.
  void subscribe_to(const Endpoint& replica, Revision held_revision, Instant now);
  /// Searches for another replica when the chosen one replies but does not confirm the applied
  /// state, because its updates are missing or its replies are late.
  void check_freshness(Instant now);
  /// Searches for another replica when the chosen one does not reply.
  void check_reply_timeout(Instant now);
  /// Drops the chosen replica; the next heartbeats go to all candidates.
  void begin_search();
  void apply_snapshot(const Endpoint& from, const FleetUpdate& update, Instant now);
  /// Applies deltas in place.
  void apply_deltas(const Endpoint& from, const FleetUpdate& update, Instant now);
  /// Applies deltas that include membership changes: each resulting membership is applied
  /// separately.
  void apply_member_deltas(const Endpoint& from, const FleetUpdate& update, Instant now);
  /// `digest` must be that of `next`; it is a parameter because computing it is expensive for a
  /// large fleet.
  void adopt(FleetState next, const FleetDigest& digest, Instant now);
  void on_adopted(Instant now);
  void check_confirmed(Instant now);
  [[nodiscard]] bool is_member(const FleetState& fleet) const;
  void on_reply(const Endpoint& from, const HeartbeatReply& reply, Instant now);
  /// Stores the version of a target health update and forwards its contents.
  void apply_target_health(const TargetHealthUpdate& health_update);
  /// Subscribes to the replica, keeps it, or searches, depending on its reply.
  void evaluate_replica(const Endpoint& from, const HeartbeatReply& reply, Instant now);
  /// Sends a heartbeat to the chosen replica, or to all candidates during a search.
  void send_heartbeats(Instant now);
  void send_heartbeat(const Endpoint& replica, bool wants_update, Instant now);
  /// True when a replica that is not current will send a reply as soon as it is.
  [[nodiscard]] bool will_notify(const Endpoint& replica, Instant now) const;
  /// Requests an update from a replica, unless another update was requested recently.
  void request_update(const Endpoint& replica, Instant now);
  /// Sends heartbeats to replicas that may be preferable to the chosen one.
  void probe(Instant now);
  [[nodiscard]] bool is_observer() const { return self_.state == MemberState::kObserver; }
  /// Rejoins as another member when admission times out.
  void check_admission(Instant now);

  Member self_;
  ReplicaSelector selector_;
  ControlClientOutput& output_;
  ControlClientFaults faults_;
  FleetState fleet_;
  FleetDigest digest_;
  StateFreshness freshness_;
  /// Highest revision that was applied. Older snapshots are rejected.
  Revision revision_floor_ = 0;
  /// Starts at the incarnation, so that replies to an earlier process at this address do not match.
  std::uint64_t sequence_;
  std::map<std::uint64_t, Instant> heartbeats_sent_;
  Instant next_heartbeat_;
  /// Time of the last reply from the chosen replica. Updates and target health do not count: a
  /// replica sends them even when it receives no heartbeats.
  Instant last_reply_at_;
  Instant subscribed_since_;
  /// See NodeHeartbeat::session.
  std::uint32_t session_ = 0;
  Instant next_probe_;
  /// When each replica last reported that it is not current. It sends another reply once it is.
  std::map<Endpoint, Instant> not_current_at_;
  /// Time of the last update request to a replica that is not current.
  std::optional<Instant> update_requested_at_;
  /// An update was lost and the missing updates have not arrived yet.
  bool has_gap_ = false;
  Instant next_repair_;
  Instant lease_until_;
  bool may_stop_ = false;
  ControlClientTiming timing_;
  /// Since when this process, which requests membership, has not been a member.
  std::optional<Instant> not_member_since_;
  bool has_been_current_ = false;
  /// Revision held by the replica that was current last.
  std::optional<Revision> current_revision_;
  /// As last reported by the balancer.
  Revision settled_revision_ = 0;
  Revision reported_settled_ = 0;
  std::uint64_t health_version_ = 0;
};

}  // namespace gorsevalve
