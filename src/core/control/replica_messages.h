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
  /// Where the candidate listens. A voter may not have learned yet that the candidate is one.
  Endpoint address;
  /// The leader of this term agrees to the election and holds no lease any more, nor does any
  /// earlier one: it asked for the election, or it is the candidate and was restarted. 0 for none.
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
  /// Where the reply goes: a learner may not know its leader's address yet.
  Endpoint leader;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  LogIndex commit_index = 0;
  /// Leader's clock when this was sent, echoed in the reply: what a lease is measured from.
  std::int64_t sent_at_us = 0;
  std::vector<LogEntry> entries;
  /// The leader had its lease when it sent this: a majority stood behind it a moment before.
  bool has_lease = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& leader& previous_index& previous_term& commit_index& sent_at_us& entries& has_lease;
  }
};

struct AppendReply {
  bool accepted = false;
  /// Highest index known to match when accepted; else a hint from where to try.
  LogIndex index = 0;
  std::int64_t sent_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& accepted& index& sent_at_us;
  }
};

struct SnapshotRequest {
  /// Where the reply goes.
  Endpoint leader;
  Snapshot snapshot;
  std::int64_t sent_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& leader& snapshot& sent_at_us;
  }
};

/// A replica that is in no replica set it knows of asks to be taken in at its address.
struct JoinRequest {
  Endpoint address;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address;
  }
};

/// A leader that stops asks its best follower to take over at once (Raft, section 3.10).
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
