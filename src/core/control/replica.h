/// One replica of the Raft-replicated control log: elections with pre-vote, majority commit, leader
/// lease, learners, single-server membership changes and snapshots. A deterministic state machine
/// without sockets, clocks or threads. Source: see replica_messages.h.
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

/// Durable storage of a replica. A write that returns `false` has stored nothing. The replica then
/// fails permanently, unless can_retry() returns true.
class ReplicaStorage {
 public:
  virtual ~ReplicaStorage() = default;
  /// True when a failed write left the storage unchanged, for example on a full disk. The replica
  /// keeps running without acknowledging anything and retries later.
  [[nodiscard]] virtual bool can_retry() const { return false; }
  [[nodiscard]] virtual bool append(const LogFrame& frame) = 0;
  [[nodiscard]] virtual bool replace_with_snapshot(const Snapshot& snapshot,
                                                   const LogFrame& frame) = 0;
};

/// Sends messages without blocking and without reporting delivery.
class ReplicaOutput {
 public:
  virtual ~ReplicaOutput() = default;
  virtual void send(const Endpoint& to, const ReplicaMessage& message) = 0;
};

/// The state machine that the log replicates.
class ReplicatedState {
 public:
  virtual ~ReplicatedState() = default;
  /// Applies a committed entry. Called once for each index, in log order.
  virtual void apply(const LogEntry& entry) = 0;
  [[nodiscard]] virtual Bytes save() const = 0;
  /// Replaces the state with a saved one.
  virtual void restore(ByteView saved) = 0;
};

/// Injected faults, for the tests that verify that the checkers detect violations. Programs leave
/// all of them off.
struct ReplicaFaults {
  bool vote_without_log_check = false;
  bool vote_despite_live_leader = false;
  bool commit_without_majority = false;
  bool ignore_leader_lease = false;
  bool keep_identity_on_empty_disk = false;
};

/// Election and replication timing. A shorter election timeout shortens the time without a leader,
/// but must stay well above a round trip with two disk syncs.
struct ReplicaTiming {
  Duration election_timeout = control_timing::kElectionTimeout;
  Duration append_interval = control_timing::kAppendInterval;

  /// How long the leader lease lasts after the send time of a message that a majority acknowledged.
  [[nodiscard]] Duration lease() const {
    return Duration(static_cast<std::int64_t>(static_cast<double>(election_timeout.count()) *
                                              (1 - control_timing::kClockDrift)));
  }
};

struct ReplicaConfig {
  ReplicaId id = 0;
  Endpoint address;
  /// Addresses that receive join requests while this replica is not in the replica set.
  std::vector<Endpoint> seeds;
  std::uint64_t random_seed = 0;
  ReplicaFaults faults;
  ReplicaTiming timing{};
};

enum class ReplicaRole : std::uint8_t { kFollower = 0, kCandidate = 1, kLeader = 2 };

class Replica {
 public:
  /// Number of applied entries since the last snapshot that triggers a new one.
  static constexpr std::size_t kSnapshotEntryThreshold = 1024;
  /// Payload bytes applied since the last snapshot that trigger a new one. Bounds the log on disk
  /// and the replay time.
  static constexpr std::size_t kSnapshotByteThreshold = 4U << 20U;

  /// All references must outlive the replica. `stored` is the content of the storage at startup.
  Replica(ReplicaConfig config, ReplicaSet first_replicas, StoredReplica stored,
          ReplicaStorage& storage, ReplicaOutput& output, ReplicatedState& state, Instant now);

  void on_message(const ReplicaMessage& message, Instant now);
  /// Must be called every kTickInterval.
  void on_tick(Instant now);

  /// Appends an entry as leader and starts to replicate it. Returns nothing when this replica is
  /// not the leader, its lease has expired, or the write failed.
  std::optional<LogIndex> propose(EntryType type, Bytes payload, Instant now);

  [[nodiscard]] const HardState& hard_state() const { return hard_state_; }
  [[nodiscard]] bool is_leader() const { return role_ == ReplicaRole::kLeader; }
  /// True while no other replica can have become leader and every entry that an earlier leader
  /// committed is applied here.
  [[nodiscard]] bool has_lease(Instant now) const;
  /// True when this replica has applied everything that an active leader has committed. A leader
  /// decides this by its lease. A follower decides it by the messages that it received within an
  /// election timeout from a leader that held its lease.
  [[nodiscard]] bool is_current(Instant now) const;
  /// True when this replica received a message from its leader within an election timeout.
  [[nodiscard]] bool has_leader_contact(Instant now) const;
  /// Steps down and asks the reachable follower with the most complete log to take over.
  void transfer_leadership(Instant now);
  /// Address of the current leader, if known.
  [[nodiscard]] std::optional<Endpoint> leader_address() const;
  /// True after a permanent storage failure. The process must exit.
  [[nodiscard]] bool has_failed() const { return failed_; }

  /// Replaces the addresses that receive join requests.
  void set_seeds(std::vector<Endpoint> seeds) { config_.seeds = std::move(seeds); }
  [[nodiscard]] ReplicaId id() const { return config_.id; }
  [[nodiscard]] Term term() const { return hard_state_.term; }
  [[nodiscard]] LogIndex commit_index() const { return commit_index_; }
  [[nodiscard]] LogIndex last_index() const;
  [[nodiscard]] const ReplicaSet& replicas() const { return replicas_; }

  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);

 private:
  /// Replication progress of another replica, as tracked by the leader.
  struct Progress {
    LogIndex next_index = 1;
    LogIndex match_index = 0;
    /// Latest send time that the replica acknowledged.
    Instant acked_send_time;
    Instant last_sent;
    /// Index of the first entry that was sent and not acknowledged, which is retransmitted at
    /// `retransmit_at`. 0 for none.
    LogIndex first_unacked_index = 0;
    Instant retransmit_at;
    /// Earliest time to retransmit the snapshot.
    Instant snapshot_retransmit_at;
    /// The follower rejected an append. The leader sends empty appends until it finds the index up
    /// to which the logs match.
    bool is_probing = false;
  };

  void handle(const ReplicaMessage& message, const VoteRequest& request, Instant now);
  void handle(const ReplicaMessage& message, const VoteReply& reply, Instant now);
  void handle(const ReplicaMessage& message, const AppendRequest& request, Instant now);
  void handle(const ReplicaMessage& message, const AppendReply& reply, Instant now);
  void handle(const ReplicaMessage& message, const SnapshotRequest& request, Instant now);
  /// Handles a join request with a new identity from the address of the current term's leader. That
  /// leader's process has ended, since two processes never share an address.
  void detect_replaced_leader(const ReplicaMessage& message, const JoinRequest& request,
                              Instant now);
  void handle(const ReplicaMessage& message, const JoinRequest& request, Instant now);
  void handle(const ReplicaMessage& message, const LeadershipTransfer& transfer, Instant now);

  void follow_leader(const ReplicaMessage& message, Instant now);
  /// Appends the missing entries of a request. Entries from the first conflict on are replaced.
  bool store_entries(const AppendRequest& request);
  void reject_stale_leader(const ReplicaMessage& message);
  [[nodiscard]] bool accepts_term(const ReplicaMessage& message, Instant now);
  [[nodiscard]] bool candidate_log_is_up_to_date(const VoteRequest& request) const;
  void become_follower(Term term, Instant now);
  void become_leader(Instant now);
  void start_election(bool pre_vote, Instant now);
  /// Transfers leadership, or ends the candidacy, after a failed write.
  void step_down_after_write_failure(Instant now);
  void check_vote_majority(bool pre_vote, Instant now);
  void reset_election_timer(Instant now);

  void replicate_to(const ReplicaInfo& replica, Instant now);
  void send_snapshot(const ReplicaInfo& replica, Instant now);
  void replicate_to_all(Instant now);
  void append_as_leader(LogEntry entry, Instant now);
  void advance_commit(Instant now);
  void apply_committed();
  /// Writes a frame to storage. Adds the commit index, and the hard state if it is not saved yet.
  bool persist(LogFrame& frame);
  bool persist_hard_state();
  void maybe_snapshot();
  void load_replica_set();
  void propose_replica_change(Instant now);
  [[nodiscard]] bool admit_joining_replica(Instant now);
  /// A voter that has acknowledged nothing for kVoterTimeout, or nullptr.
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
  /// The hard state differs from the stored one. The next frame contains it.
  bool hard_state_dirty_ = false;
  std::optional<Snapshot> snapshot_;
  std::vector<LogEntry> entries_;
  ReplicaSet replicas_;
  /// Index of the entry that defines `replicas_`. 0 for the initial set; the snapshot index if the
  /// set comes from a snapshot.
  LogIndex replicas_index_ = 0;

  ReplicaRole role_ = ReplicaRole::kFollower;
  bool failed_ = false;
  LogIndex commit_index_ = 0;
  LogIndex applied_index_ = 0;
  /// Payload bytes of the entries applied since the last snapshot.
  std::size_t applied_bytes_ = 0;
  std::optional<ReplicaId> leader_;
  /// Highest commit index that a leader has reported.
  LogIndex leader_commit_ = 0;
  /// The leader held its lease when it sent its latest append. Otherwise another leader may have
  /// committed more.
  bool leader_has_lease_ = false;
  Instant last_leader_contact_;
  Instant leader_since_;
  Instant started_at_;
  Instant election_deadline_;
  bool in_pre_vote_ = false;
  /// Highest term whose leader is known to hold no lease. See VoteRequest::released_lease_term.
  Term released_lease_term_ = 0;
  std::set<ReplicaId> votes_;
  std::map<ReplicaId, Progress> progress_;
  /// Index of the first entry that this leader appended in its term.
  LogIndex term_start_index_ = 0;
  /// Replicas that requested admission, with their addresses.
  std::map<ReplicaId, Endpoint> joining_;
  Instant next_join_request_at_;
};

}  // namespace gorsevalve
