/// Entries of the replicated control log, and the configuration of its replicas.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/bytes.h"
#include "model/endpoint.h"

namespace gorsevalve {

/// Election term. Terms increase monotonically, and each has at most one leader.
using Term = std::uint64_t;
/// Position in the log, starting at 1.
using LogIndex = std::uint64_t;

/// Identity of a replica, generated at random when its data directory is created. A replica with a
/// replaced disk gets a new identity and does not inherit the vote of the old one.
using ReplicaId = std::uint64_t;

enum class EntryType : std::uint8_t {
  /// Appended by a new leader to commit the entries of earlier terms.
  kNoOp = 0,
  /// A SettingsCommand.
  kSettings = 1,
  /// A MembersCommand.
  kMembers = 2,
  /// A ReplicaSet. Takes effect as soon as it is in the log.
  kReplicas = 3,
  /// A SteeringCommand.
  kSteering = 4,
  /// A RegistrationCommand.
  kRegistrations = 5,
  /// An EvacuationCommand.
  kEvacuation = 6,
};

struct LogEntry {
  Term term = 0;
  LogIndex index = 0;
  EntryType type = EntryType::kNoOp;
  Bytes payload;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& term& index& type& payload;
  }
};

struct ReplicaInfo {
  ReplicaId id = 0;
  Endpoint address;
  /// False for a learner, which receives the log but does not count for elections and commits.
  bool voter = true;

  friend bool operator==(const ReplicaInfo&, const ReplicaInfo&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& address& voter;
  }
};

/// The configuration of the cluster. Changes by one voter at a time (Ongaro, "Consensus: bridging
/// theory and practice", 2014, section 4.1).
struct ReplicaSet {
  std::vector<ReplicaInfo> replicas;

  [[nodiscard]] const ReplicaInfo* find(ReplicaId id) const;
  [[nodiscard]] bool is_voter(ReplicaId id) const;
  /// Number of voters that form a majority.
  [[nodiscard]] std::size_t majority() const;

  friend bool operator==(const ReplicaSet&, const ReplicaSet&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& replicas;
  }
};

/// Term, vote and leader, which must survive a restart.
struct HardState {
  Term term = 0;
  /// Replica that received the vote in `term`. 0 for none.
  ReplicaId voted_for = 0;
  /// Leader of `term`. 0 if unknown.
  ReplicaId leader = 0;

  friend bool operator==(const HardState&, const HardState&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& term& voted_for& leader;
  }
};

/// State up to and including `index`, which replaces the entries up to there.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  ReplicaSet replicas;
  /// Encoded ControlState.
  Bytes state;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& index& term& replicas& state;
  }
};

}  // namespace gorsevalve
