/// Control plane node without network I/O: a replica of the control log, the state machine that the
/// log drives, and the sessions with balancers and other replicas.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/control/balancer_ranking.h"
#include "core/control/control_output.h"
#include "core/control/control_state.h"
#include "core/control/membership.h"
#include "core/control/node_messages.h"
#include "core/control/node_registry.h"
#include "core/control/refusal_relay.h"
#include "core/control/registration_monitor.h"
#include "core/control/replica.h"
#include "core/control/target_health_aggregator.h"
#include "core/control/update_publisher.h"

namespace gorsevalve {

/// Status of a submission or a read.
enum class ControlStatus : std::uint8_t {
  kOk = 0,
  /// This replica is not the leader; retry at the named leader.
  kNotLeader = 1,
  /// Accepted, not committed yet; retry with the same id.
  kPending = 2,
};

struct SubmissionResult {
  ControlStatus status = ControlStatus::kPending;
  std::optional<Endpoint> leader;
  SubmissionOutcome outcome;
};

/// Progress of applying the current settings revision on the members.
struct RolloutStatus {
  Revision revision = 0;
  std::size_t members = 0;
  std::size_t up_to_date = 0;
  std::vector<Member> lagging;
};

/// Log entry that was appended on this replica; `status` reports whether it is committed.
struct Proposal {
  LogIndex index = 0;
  Term term = 0;
};

enum class ProposalStatus : std::uint8_t {
  kPending = 0,
  kCommitted = 1,
  /// This replica is no longer the leader of that term; the entry may or may not be committed.
  kUnknown = 2,
};

/// Result of checking a target's announcement against the committed state.
enum class AnnouncementStatus : std::uint8_t {
  /// The committed state already contains the announcement.
  kCommitted = 0,
  /// This replica is the leader and must propose the announcement.
  kPropose = 1,
  /// This replica is neither the leader nor connected to one.
  kNotLeader = 2,
  /// This replica is a follower and must pass the announcement to `forward`.
  kForward = 3,
};

class ControlNode {
 public:
  ControlNode(ReplicaConfig config, ReplicaSet first_replicas, StoredReplica stored,
              std::uint32_t partitions, ReplicaStorage& storage, ControlOutput& output,
              Instant now);

  void on_replica_message(const ReplicaMessage& message, Instant now);
  void on_node_message(const Endpoint& from, const NodeMessage& message, Instant now);
  void on_tick(Instant now);

  /// Submits settings. Repeating a submission with the same id returns its outcome.
  SubmissionResult submit(const SettingsCommand& command, Instant now);

  /// Returns the outcome of a submission; requires that this replica holds the leader lease.
  [[nodiscard]] SubmissionResult outcome(const SubmissionId& id, Instant now) const;

  /// Appends a command to the log; returns nothing if this replica is not the leader.
  std::optional<Proposal> propose(const SteeringCommand& command, Instant now);
  std::optional<Proposal> propose(const RegistrationCommand& command, Instant now);
  std::optional<Proposal> propose(const EvacuationCommand& command, Instant now);
  /// Returns true if this replica holds the leader lease, the command is applied, and no
  /// uncommitted entry can revert it. The command can then be acknowledged without a new log entry.
  [[nodiscard]] bool is_committed(const EvacuationCommand& command, Instant now) const;
  [[nodiscard]] ProposalStatus status(const Proposal& proposal) const;
  /// Records the time of an announcement and checks it against the committed state. A follower that
  /// is up to date checks it itself and reports the target to the leader.
  AnnouncementStatus on_announcement(const RegisteredTarget& announced, Instant now);
  /// Returns the incarnation that an end message refers to. Without a start time, this is the known
  /// incarnation. For an unknown target, it covers every incarnation started up to `unix_now_ms`.
  [[nodiscard]] TargetIncarnation incarnation_to_end(TargetId id,
                                                     std::optional<TargetStart> started_at_ms,
                                                     TargetStart unix_now_ms) const;
  /// Checks the end of an incarnation against the committed state.
  [[nodiscard]] AnnouncementStatus check_target_end(const TargetIncarnation& target_incarnation,
                                                    Instant now) const;
  /// Sends registrations to the leader. There is no reply; the log shows whether they are
  /// committed.
  void forward(const ForwardedRegistrations& registrations);
  /// Returns true if the committed state contains the argument or supersedes it.
  [[nodiscard]] bool is_committed(const RegisteredTarget& announced) const;
  [[nodiscard]] bool is_committed(const TargetIncarnation& ended) const;
  /// Returns the address of the leader if another replica leads and sent a message within the last
  /// election timeout.
  [[nodiscard]] std::optional<Endpoint> other_leader(Instant now) const;
  void set_seeds(const std::vector<Endpoint>& seeds) { replica_->set_seeds(seeds); }
  /// Transfers leadership before a planned stop.
  void prepare_stop(Instant now) { replica_->transfer_leadership(now); }
  /// Zone that this replica reports to balancers, which prefer replicas in their own zone.
  void set_zone(std::string zone) { zone_ = std::move(zone); }
  void set_registration_timing(const RegistrationTiming& timing) {
    registrations_ = RegistrationMonitor(timing);
  }

  /// Counts the members that have applied the current settings; valid only on the leader.
  [[nodiscard]] RolloutStatus rollout_status() const;

  [[nodiscard]] const Replica& replica() const { return *replica_; }
  [[nodiscard]] const ControlState& state() const { return state_; }
  [[nodiscard]] const NodeRegistry& nodes() const { return nodes_; }
  /// Number of balancers that receive updates from this replica.
  [[nodiscard]] std::size_t balancers_served() const { return publisher_.subscriber_count(); }
  /// Target health as sent to balancers.
  [[nodiscard]] const TargetHealthUpdate& target_health() const { return target_health_; }

  void set_faults(const ControlFaults& faults) {
    faults_ = faults;
    publisher_.set_faults(faults);
  }

 private:
  void handle(const Endpoint& from, const NodeHeartbeat& heartbeat, Instant now);
  void handle(const Endpoint& from, const HeartbeatReply& reply, Instant now);
  void handle(const Endpoint& from, const FleetUpdate& update, Instant now);
  void handle(const Endpoint& from, const ReplicaReport& report, Instant now);
  void handle(const Endpoint& from, const ReportReply& reply, Instant now);
  std::optional<Proposal> propose_entry(EntryType type, Bytes payload, Instant now);
  [[nodiscard]] HeartbeatReply reply_to(const NodeHeartbeat& heartbeat, Instant now) const;
  /// Sends a new reply to balancers that received one while this replica was not current.
  void notify_waiting_nodes(Instant now);
  void report_to_leader(Instant now);
  void run_leader_tasks(Instant now);
  void check_target_timeouts(Instant now);
  void handle(const Endpoint& from, const TargetHealthUpdate& new_health, Instant now);
  void handle(const Endpoint& from, const ForwardedRegistrations& registrations, Instant now);
  void handle(const Endpoint& from, const RefusingTargets& refusing, Instant now);
  /// Sends the targets that refuse probes to replicas and balancers.
  void relay_refusals(Instant now);
  /// Sends a message to all other replicas.
  void send_to_replicas(const SharedNodeMessage& message);
  /// Proposes all registrations forwarded since the last tick in one log entry.
  void propose_forwarded(Instant now);
  /// Evaluates the aggregated observations and creates a new version of target health if it
  /// changed.
  void update_target_health(Instant now);
  /// Stores target health; sends it immediately if the set of unhealthy or unreachable targets
  /// changed.
  void apply_target_health(TargetHealthUpdate new_health);
  [[nodiscard]] std::optional<TargetHealthUpdate> health_update_since(
      std::uint64_t known_version) const;
  [[nodiscard]] Duration remaining_lease(Instant now) const;
  /// Returns true if this replica is the leader, or if a leader recently acknowledged its reports.
  /// Receiving messages from the leader does not prove that the leader receives those of this
  /// replica.
  [[nodiscard]] bool reaches_leader(Instant now) const;

  ReplicaConfig config_;
  std::string zone_;
  ControlFaults faults_;
  ControlState state_;
  ControlOutput& output_;
  std::unique_ptr<Replica> replica_;
  NodeRegistry nodes_;
  UpdatePublisher publisher_;
  MembershipController membership_;
  RegistrationMonitor registrations_{RegistrationTiming{}};
  Instant next_timeout_check_;
  BalancerRanking ranking_;
  TargetHealthAggregator health_aggregator_;
  RefusalRelay refusal_relay_;
  TargetHealthUpdate target_health_;
  Instant health_evaluated_at_;
  /// Latest announcement that this follower received from a target.
  struct LastAnnouncement {
    TargetStart started_at_ms = 0;
    Instant received_at;
  };
  /// Announcements since the last report to the leader.
  std::map<TargetId, LastAnnouncement> unreported_targets_;
  /// Registrations that followers forwarded since the last tick.
  RegistrationCommand forwarded_;
  bool was_leader_ = false;
  /// Balancer whose last reply reported this replica as not current.
  struct WaitingNode {
    NodeHeartbeat heartbeat;
    Instant at;
  };
  std::map<Endpoint, WaitingNode> waiting_nodes_;
  Instant reported_at_;
  std::uint64_t report_sequence_;
  std::map<std::uint64_t, Instant> reports_sent_;
  /// Send time of the latest report that a leader with a lease acknowledged.
  std::optional<Instant> last_acknowledged_report_;
  std::set<Endpoint> may_stop_;
  /// Index of the last proposed membership change, until it is committed; 0 if there is none.
  LogIndex pending_members_ = 0;
  /// Last evacuation proposed by this replica.
  Proposal last_evacuation_;
};

}  // namespace gorsevalve
