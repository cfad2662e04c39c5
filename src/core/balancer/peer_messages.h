/// Messages between balancers, for replication to the backup and transfer of partitions. Every
/// message carries the membership revision under which it was sent, which fences off older owners.
#pragma once

#include <cstdint>
#include <variant>

#include "core/balancer/records.h"
#include "model/settings.h"

namespace gorsevalve {

/// Owner to backup: apply these changes and acknowledge them.
struct ReplicateRequest {
  /// Revision since which this owner has used this backup for the partition.
  Revision members_revision = 0;
  PartitionId partition = 0;
  /// Incarnation of the sending owner.
  std::uint64_t owner = 0;
  /// Sequence number of the batch, per sender.
  std::uint64_t batch = 0;
  /// The last batch of a full copy. The copy is then complete, and records that were not sent again
  /// under this revision are dropped.
  bool ends_copy = false;
  /// Remaining time during which the owner itself may lack records.
  std::uint32_t incomplete_for_ms = 0;
  StateBatch changes;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& members_revision& partition& owner& batch& ends_copy& incomplete_for_ms& changes;
  }
};

/// Backup to owner: acknowledges or rejects a batch.
struct ReplicateReply {
  Revision members_revision = 0;
  PartitionId partition = 0;
  std::uint64_t batch = 0;
  /// False when the backup has fenced off this owner.
  bool accepted = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& members_revision& partition& batch& accepted;
  }
};

/// New owner to the previous owner or its backup: stop serving the partition under older revisions
/// and send its state. Repeated until the last chunk arrives.
struct TakeoverRequest {
  Revision members_revision = 0;
  PartitionId partition = 0;
  /// Index of the requested chunk, from 0.
  std::uint32_t chunk = 0;
  /// Incarnation of the previous owner. A backup's copy from any other owner is outdated.
  std::uint64_t previous_owner = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& members_revision& partition& chunk& previous_owner;
  }
};

/// Completeness of the state at the source of a takeover.
enum class SourceState : std::uint8_t {
  /// No state.
  kNone = 0,
  /// A copy that may lack records.
  kIncomplete = 1,
  /// All records.
  kComplete = 2,
  /// The source is still acquiring the partition itself; repeat the request later.
  kBusy = 3,
};

/// Reply to a TakeoverRequest.
struct TakeoverChunk {
  Revision members_revision = 0;
  PartitionId partition = 0;
  std::uint32_t chunk = 0;
  bool last = false;
  SourceState source_state = SourceState::kNone;
  /// Remaining time during which the state may lack records because of an earlier incomplete
  /// takeover.
  std::uint32_t incomplete_for_ms = 0;
  StateBatch state;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& members_revision& partition& chunk& last& source_state& incomplete_for_ms& state;
  }
};

/// Any message between balancers. The index in the variant is the type number on the wire.
using PeerMessage = std::variant<ReplicateRequest, ReplicateReply, TakeoverRequest, TakeoverChunk>;

}  // namespace gorsevalve
