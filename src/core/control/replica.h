/// One replica of the control log: elections with pre-vote, majority commit, leader lease,
/// learners, single-step membership changes, snapshots. A state machine without sockets, clocks or
/// threads. Source: see replica_messages.h.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "core/control/log_entry.h"
#include "core/control/replica_messages.h"
#include "core/control/timing.h"
#include "model/time.h"
#include "storage/log_store.h"

namespace gorsevalve {

/// Where a replica keeps its durable state. `false` means that nothing was written. The replica
/// then stops for good, unless the storage can be tried again.
class ReplicaStorage {
 public:
  virtual ~ReplicaStorage() = default;
  /// True when a refused write left the storage as it was (a full disk, say): the replica lives on
  /// without acknowledging anything, and tries again.
  [[nodiscard]] virtual bool can_retry() const { return false; }
  [[nodiscard]] virtual bool append(const LogFrame& frame) = 0;
  [[nodiscard]] virtual bool replace_with_snapshot(const Snapshot& snapshot,
                                                   const LogFrame& frame) = 0;
};

/// Sends without waiting and without telling whether the message arrived.
class ReplicaOutput {
 public:
  virtual ~ReplicaOutput() = default;
  virtual void send(const Endpoint& to, const ReplicaMessage& message) = 0;
};

/// The state that the log drives.
class ReplicatedState {
 public:
  virtual ~ReplicatedState() = default;
  /// Applies a committed entry; called once for each index, in order.
  virtual void apply(const LogEntry& entry) = 0;
  [[nodiscard]] virtual Bytes save() const = 0;
  /// Replaces the state by a saved one.
  virtual void restore(ByteView saved) = 0;
};

/// Deliberate faults, for the test that shows that the checkers can fail. All off in programs.
struct ReplicaFaults {
  bool vote_without_log_check = false;
  bool vote_despite_live_leader = false;
  bool commit_without_majority = false;
  bool ignore_leader_lease = false;
  bool keep_identity_on_empty_disk = false;
};

/// Pace of elections. A shorter election timeout shortens the time without a leader, and must stay
/// well above what a round trip with two disk syncs takes.
struct ReplicaTiming {
  Duration election_timeout = control_timing::kElectionTimeout;
  Duration append_interval = control_timing::kAppendInterval;

  /// How long a leader may act after it sent something that a majority confirmed.
  [[nodiscard]] Duration lease() const {
    return Duration(static_cast<std::int64_t>(static_cast<double>(election_timeout.count()) *
                                              (1 - control_timing::kClockDrift)));
  }
};

struct ReplicaConfig {
  ReplicaId id = 0;
  Endpoint address;
  /// Addresses to ask for admission while this replica is in no set.
  std::vector<Endpoint> seeds;
  std::uint64_t random_seed = 0;
  ReplicaFaults faults;
  ReplicaTiming timing{};
};

enum class ReplicaRole : std::uint8_t { kFollower = 0, kCandidate = 1, kLeader = 2 };

class Replica {
 public:
  /// Entries after the last snapshot that lead to a new one.
  static constexpr std::size_t kSnapshotEntryThreshold = 1024;
  /// Octets of entries after the last snapshot that lead to a new one: bounds the log on disk and
  /// the time to replay it.
  static constexpr std::size_t kSnapshotByteThreshold = 4U << 20U;

  /// All references must outlive the replica. `stored` is what the storage held at the start.
  Replica(ReplicaConfig config, ReplicaSet first_replicas, StoredReplica stored,
          ReplicaStorage& storage, ReplicaOutput& output, ReplicatedState& state, Instant now);

  void on_message(const ReplicaMessage& message, Instant now);
  /// To be called every kTickInterval.
  void on_tick(Instant now);

  /// Appends an entry as leader and begins to replicate it; nothing when this is not the leader or
  /// its lease has run out.
  std::optional<LogIndex> propose(EntryType type, Bytes payload, Instant now);

  [[nodiscard]] const HardState& hard_state() const { return hard_state_; }
  [[nodiscard]] bool is_leader() const { return role_ == ReplicaRole::kLeader; }
  /// True while no other replica can have become leader, and everything that was committed before
  /// is applied here.
  [[nodiscard]] bool has_lease(Instant now) const;
  /// True when this replica holds what a leader that lives has committed: the leader by its lease,
  /// a follower by what it heard within an election timeout from a leader that had its lease.
  [[nodiscard]] bool is_current(Instant now) const;
  /// True when this replica follows a leader that it heard within an election timeout.
  [[nodiscard]] bool has_leader_contact(Instant now) const;
  /// Gives up leadership in favour of the follower that has most of the log.
  void transfer_leadership(Instant now);
  /// Address of the present leader, if it is known.
  [[nodiscard]] std::optional<Endpoint> leader_address() const;
  /// True after storage failed: the process must end.
  [[nodiscard]] bool has_failed() const { return failed_; }

  /// Other addresses to ask for admission.
  void set_seeds(std::vector<Endpoint> seeds) { config_.seeds = std::move(seeds); }
  [[nodiscard]] ReplicaId id() const { return config_.id; }
  [[nodiscard]] Term term() const { return hard_state_.term; }
  [[nodiscard]] LogIndex commit_index() const { return commit_index_; }
  [[nodiscard]] LogIndex last_index() const;
  [[nodiscard]] const ReplicaSet& replicas() const { return replicas_; }

  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

 private:
  /// Leader's knowledge of another replica.
  struct Progress {
    LogIndex next_index = 1;
    LogIndex match_index = 0;
    /// Latest send time that it confirmed.
    Instant acked_send_time;
    Instant last_sent;
    /// First entry that was sent and not confirmed, which goes again at `retransmit_at`; 0 for
    /// none.
    LogIndex first_unacked_index = 0;
    Instant retransmit_at;
    /// The snapshot goes again then, unless it is confirmed.
    Instant snapshot_retransmit_at;
    /// The follower refused: empty appends look for where the logs agree.
    bool is_probing = false;
  };

  void handle(const ReplicaMessage& message, const VoteRequest& request, Instant now);
  void handle(const ReplicaMessage& message, const VoteReply& reply, Instant now);
  void handle(const ReplicaMessage& message, const AppendRequest& request, Instant now);
  void handle(const ReplicaMessage& message, const AppendReply& reply, Instant now);
  void handle(const ReplicaMessage& message, const SnapshotRequest& request, Instant now);
  /// A new identity at the address of the term's leader: that leader's process is gone, since two
  /// processes never share an address.
  void detect_replaced_leader(const ReplicaMessage& message, const JoinRequest& request,
                              Instant now);
  void handle(const ReplicaMessage& message, const JoinRequest& request, Instant now);
  void handle(const ReplicaMessage& message, const LeadershipTransfer& transfer, Instant now);

  void follow_leader(const ReplicaMessage& message, Instant now);
  /// Adds the entries that are not there yet, in place of others from the first difference on.
  bool store_entries(const AppendRequest& request);
  void reject_stale_leader(const ReplicaMessage& message);
  [[nodiscard]] bool accepts_term(const ReplicaMessage& message, Instant now);
  [[nodiscard]] bool candidate_log_is_up_to_date(const VoteRequest& request) const;
  void become_follower(Term term, Instant now);
  void become_leader(Instant now);
  void start_election(bool pre_vote, Instant now);
  /// Stops leading because the disk refuses writes.
  void step_down_after_write_failure(Instant now);
  void check_vote_majority(bool pre_vote, Instant now);
  void reset_election_timer(Instant now);

  void replicate_to(const ReplicaInfo& replica, Instant now);
  void send_snapshot(const ReplicaInfo& replica, Instant now);
  void replicate_to_all(Instant now);
  void append_as_leader(LogEntry entry, Instant now);
  void advance_commit(Instant now);
  void apply_committed();
  /// Writes a frame, with what is committed and an unsaved hard state added to it.
  bool persist(LogFrame& frame);
  bool persist_hard_state();
  void maybe_snapshot();
  void load_replica_set();
  void propose_replica_change(Instant now);
  [[nodiscard]] bool admit_joining_replica(Instant now);
  /// A voter that has confirmed nothing for kVoterTimeout, or nullptr.
  [[nodiscard]] const ReplicaInfo* unreachable_voter(Instant now) const;
  [[nodiscard]] const ReplicaInfo* caught_up_learner() const;
  void request_admission(Instant now);
  void send_join_requests(Instant now);

  [[nodiscard]] const LogEntry* entry(LogIndex index) const;
  [[nodiscard]] Term term_at(LogIndex index) const;
  [[nodiscard]] LogIndex snapshot_index() const { return snapshot_ ? snapshot_->index : 0; }
  [[nodiscard]] Instant majority_acked_send_time(Instant now) const;
  void send(const Endpoint& to, Term term, ReplicaMessage message);

  ReplicaConfig config_;
  ReplicaSet initial_replicas_;
  ReplicaStorage& storage_;
  ReplicaOutput& output_;
  ReplicatedState& state_;
  std::mt19937_64 rng_;

  HardState hard_state_;
  /// The storage refused the present hard state: the next frame repeats it.
  bool hard_state_dirty_ = false;
  std::optional<Snapshot> snapshot_;
  std::vector<LogEntry> entries_;
  ReplicaSet replicas_;
  /// Index of the entry that `replicas_` comes from; 0 for the first set or a snapshot.
  LogIndex replicas_index_ = 0;

  ReplicaRole role_ = ReplicaRole::kFollower;
  bool failed_ = false;
  LogIndex commit_index_ = 0;
  LogIndex applied_index_ = 0;
  /// Octets of the applied entries after the last snapshot.
  std::size_t applied_bytes_ = 0;
  std::optional<ReplicaId> leader_;
  /// Highest commit index that the leader told.
  LogIndex leader_commit_ = 0;
  /// The leader had its lease when it sent what came last. Without it another leader may have
  /// committed more.
  bool leader_has_lease_ = false;
  Instant last_leader_contact_;
  Instant leader_since_;
  Instant started_at_;
  Instant election_deadline_;
  bool in_pre_vote_ = false;
  /// Highest term whose leader is known to hold no lease: see VoteRequest::agreed_term.
  Term released_lease_term_ = 0;
  std::set<ReplicaId> votes_;
  std::map<ReplicaId, Progress> progress_;
  /// Index of the first entry of the own term as leader.
  LogIndex term_start_index_ = 0;
  /// Replicas that asked to be taken in.
  std::map<ReplicaId, Endpoint> joining_;
  Instant next_join_request_at_;
};

}  // namespace gorsevalve
