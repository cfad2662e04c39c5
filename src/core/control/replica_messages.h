/// Messages between control replicas. Source: Ongaro, "Consensus: bridging theory and practice",
/// 2014 (Raft): sections 3 (election, log), 4 (membership), 6.4 (leases), 9.6 (pre-vote).
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/control/log_entry.h"

namespace gorsevalve {

struct VoteRequest {
  /// A pre-vote asks whether a vote would be granted, and changes nothing.
  bool pre_vote = false;
  LogIndex last_index = 0;
  Term last_term = 0;
  /// Address of the candidate, for the reply. The voter may not know yet that the candidate is a
  /// voter.
  Endpoint address;
  /// Neither the leader of this term nor any earlier leader holds a lease any more: the leader
  /// requested this election, or its process has ended or restarted. 0 for none.
  Term released_lease_term = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& pre_vote& last_index& last_term& address& released_lease_term;
  }
};

struct VoteReply {
  bool pre_vote = false;
  bool granted = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& pre_vote& granted;
  }
};

struct AppendRequest {
  /// Address for the reply. A learner may not know its leader's address yet.
  Endpoint leader;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  LogIndex commit_index = 0;
  /// Leader's clock at sending, in microseconds. The reply echoes it; leases are measured from it.
  std::int64_t sent_at_us = 0;
  std::vector<LogEntry> entries;
  /// The leader held its lease at sending, so a majority had acknowledged it recently.
  bool has_lease = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& leader& previous_index& previous_term& commit_index& sent_at_us& entries& has_lease;
  }
};

struct AppendReply {
  bool accepted = false;
  /// If accepted, the highest index known to match; otherwise a hint for the next index to try, 0
  /// for none.
  LogIndex index = 0;
  std::int64_t sent_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& accepted& index& sent_at_us;
  }
};

struct SnapshotRequest {
  /// Address for the reply.
  Endpoint leader;
  Snapshot snapshot;
  std::int64_t sent_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& leader& snapshot& sent_at_us;
  }
};

/// Requests admission to the replica set with this address.
struct JoinRequest {
  Endpoint address;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address;
  }
};

/// A leader that steps down asks a follower to start an election at once (Raft, section 3.10).
struct LeadershipTransfer {
  template <class Archive>
  void serialize(Archive& /*archive*/, unsigned /*version*/) {}
};

struct ReplicaMessage {
  ReplicaId from = 0;
  Term term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, JoinRequest,
               LeadershipTransfer>
      body;
};

}  // namespace gorsevalve
