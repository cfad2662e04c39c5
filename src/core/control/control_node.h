/// One control process without its sockets: a replica of the log, the state it drives, and the
/// sessions with balancers and other replicas.
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

/// Answer to a submission or a read.
enum class ControlStatus : std::uint8_t {
  kOk = 0,
  /// This replica is not the leader; ask the one named.
  kNotLeader = 1,
  /// Taken, not decided yet: ask again with the same id.
  kPending = 2,
};

struct SubmissionResult {
  ControlStatus status = ControlStatus::kPending;
  std::optional<Endpoint> leader;
  SubmissionOutcome outcome;
};

/// How far a settings revision has come.
struct RolloutStatus {
  Revision revision = 0;
  std::size_t members = 0;
  std::size_t up_to_date = 0;
  std::vector<Member> lagging;
};

/// An entry that was appended here, to be asked about until it is decided.
struct Proposal {
  LogIndex index = 0;
  Term term = 0;
};

enum class ProposalStatus : std::uint8_t {
  kPending = 0,
  kCommitted = 1,
  /// This replica stopped leading: whether the entry is in force may go either way.
  kUnknown = 2,
};

/// What a replica can say of a target's announcement without the log.
enum class AnnouncementStatus : std::uint8_t {
  /// The committed state says the same already.
  kCommitted = 0,
  /// It must go through the log.
  kPropose = 1,
  /// This replica cannot tell: it neither leads nor reaches a leader.
  kNotLeader = 2,
  /// It must go through the log, and this follower reaches the leader: `forward` it.
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

  /// Submits settings, or asks for the outcome of the same submission again.
  SubmissionResult submit(const SettingsCommand& command, Instant now);

  /// The outcome of a submission, if this replica has proof of leadership.
  [[nodiscard]] SubmissionResult outcome(const SubmissionId& id, Instant now) const;

  /// Proposes a steering command; nothing when this replica cannot.
  std::optional<Proposal> propose(const SteeringCommand& command, Instant now);
  std::optional<Proposal> propose(const RegistrationCommand& command, Instant now);
  std::optional<Proposal> propose(const EvacuationCommand& command, Instant now);
  /// True when this replica can prove that the command is in force and that nothing under way
  /// undoes it: it may be acknowledged without an entry.
  [[nodiscard]] bool is_committed(const EvacuationCommand& command, Instant now) const;
  [[nodiscard]] ProposalStatus status(const Proposal& proposal) const;
  /// Notes that a target was heard, and tells whether what it said is news. A follower that is
  /// current answers for what the committed state holds, too, and reports to the leader.
  AnnouncementStatus on_announcement(const RegisteredTarget& announced, Instant now);
  /// The life that the end of a target means, where the target need not tell its start. Of a
  /// target that nothing is known of, all lives that began until now, by the clock of this machine.
  [[nodiscard]] TargetIncarnation incarnation_to_end(TargetId id,
                                                     std::optional<TargetStart> started_at_ms,
                                                     TargetStart unix_now_ms) const;
  /// Whether the end of a target's life is news.
  [[nodiscard]] AnnouncementStatus check_target_end(const TargetIncarnation& life,
                                                    Instant now) const;
  /// Passes what targets said on to the leader; the log tells what became of it.
  void forward(const ForwardedRegistrations& said);
  /// True when the committed state holds what a target said, or something later.
  [[nodiscard]] bool is_committed(const RegisteredTarget& announced) const;
  [[nodiscard]] bool is_committed(const TargetIncarnation& ended) const;
  /// The leader that this replica heard within an election timeout, by its address; nothing when
  /// it is this replica or unknown.
  [[nodiscard]] std::optional<Endpoint> other_leader(Instant now) const;
  void set_seeds(const std::vector<Endpoint>& seeds) { replica_->set_seeds(seeds); }
  /// Hands leadership over before a planned stop.
  void prepare_stop(Instant now) { replica_->transfer_leadership(now); }
  /// Told to balancers, which prefer replicas in their own zone.
  void set_zone(std::string zone) { zone_ = std::move(zone); }
  void set_registration_timing(const RegistrationTiming& timing) {
    registrations_ = RegistrationMonitor(timing);
  }

  /// How many members have the present settings in force; meaningful on the leader.
  [[nodiscard]] RolloutStatus rollout_status() const;

  [[nodiscard]] const Replica& replica() const { return *replica_; }
  [[nodiscard]] const ControlState& state() const { return state_; }
  [[nodiscard]] const NodeRegistry& nodes() const { return nodes_; }
  /// How many balancers get updates from this replica.
  [[nodiscard]] std::size_t balancers_served() const { return publisher_.subscriber_count(); }
  /// What balancers are told of targets.
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
  /// Tells balancers that were answered by a replica that was not current that it is now.
  void notify_waiting_nodes(Instant now);
  void report_to_leader(Instant now);
  void run_leader_tasks(Instant now);
  void check_target_timeouts(Instant now);
  void handle(const Endpoint& from, const TargetHealthUpdate& figures, Instant now);
  void handle(const Endpoint& from, const ForwardedRegistrations& said, Instant now);
  void handle(const Endpoint& from, const RefusingTargets& told, Instant now);
  /// Passes on which targets refuse probes.
  void relay_refusals(Instant now);
  /// Sends something to all other replicas.
  void send_to_replicas(const SharedNodeMessage& message);
  /// Proposes what followers have forwarded since the last tick, as one entry.
  void propose_forwarded(Instant now);
  /// Concludes what balancers should know of each other's observations.
  void update_target_health(Instant now);
  /// Keeps an edition, and sends it at once when other targets are troubled than before.
  void apply_target_health(TargetHealthUpdate figures);
  [[nodiscard]] std::optional<TargetHealthUpdate> health_update_since(std::uint64_t edition) const;
  [[nodiscard]] Duration remaining_lease(Instant now) const;
  /// True when this replica leads, or when a leader has lately confirmed its reports: hearing the
  /// leader does not show that the leader hears this replica.
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
  /// A target that this follower heard.
  struct LastAnnouncement {
    TargetStart started_at_ms = 0;
    Instant received_at;
  };
  /// Since the last report to the leader.
  std::map<TargetId, LastAnnouncement> unreported_targets_;
  /// What followers forwarded to this leader since the last tick.
  RegistrationCommand forwarded_;
  bool was_leader_ = false;
  /// A balancer that was told that this replica is not current.
  struct WaitingNode {
    NodeHeartbeat heartbeat;
    Instant at;
  };
  std::map<Endpoint, WaitingNode> waiting_nodes_;
  Instant reported_at_;
  std::uint64_t report_sequence_;
  std::map<std::uint64_t, Instant> reports_sent_;
  /// Send time of the latest report that a leader with a lease confirmed.
  std::optional<Instant> confirmed_report_;
  std::set<Endpoint> may_stop_;
  /// Index of the last proposed membership change, until it is committed.
  LogIndex pending_members_ = 0;
  /// The last evacuation that was proposed here.
  Proposal last_evacuation_;
};

}  // namespace gorsevalve
