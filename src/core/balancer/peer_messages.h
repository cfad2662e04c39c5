/// Messages between balancers: copies of state to the backup and transfer of partitions.
/// Every message names the membership revision it was decided under, which fences older owners off.
#pragma once

#include <cstdint>
#include <variant>

#include "core/balancer/records.h"
#include "model/settings.h"

namespace gorsevalve {

/// Owner to backup: take over these changes and confirm them.
struct ReplicateRequest {
  /// Revision since which this owner has this backup for the partition.
  Revision members_revision = 0;
  PartitionId partition = 0;
  /// Incarnation of the owner that sends it.
  std::uint64_t owner = 0;
  /// Number of the batch, per sender.
  std::uint64_t batch = 0;
  /// The last batch of a full copy: from here on the copy is complete, and records that were not
  /// sent again under this revision are dropped.
  bool ends_copy = false;
  /// How much longer the owner itself may lack records.
  std::uint32_t incomplete_for_ms = 0;
  StateBatch changes;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& members_revision& partition& owner& batch& ends_copy& incomplete_for_ms& changes;
  }
};

/// Backup to owner.
struct ReplicateReply {
  Revision members_revision = 0;
  PartitionId partition = 0;
  std::uint64_t batch = 0;
  /// False when a newer owner has sealed the partition at this backup.
  bool accepted = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& members_revision& partition& batch& accepted;
  }
};

/// New owner to the previous owner or its backup: stop deciding for the partition under older
/// revisions and give me its state. Repeated until the last chunk arrived.
struct TakeoverRequest {
  Revision members_revision = 0;
  PartitionId partition = 0;
  /// Number of the chunk that is wanted next, from 0.
  std::uint32_t chunk = 0;
  /// Incarnation of the owner before: a backup's copy of another owner's state is out of date.
  std::uint64_t previous_owner = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& members_revision& partition& chunk& previous_owner;
  }
};

/// What the asked process holds of the partition.
enum class SourceState : std::uint8_t {
  /// Nothing at all.
  kNone = 0,
  /// A copy that may lack records.
  kIncomplete = 1,
  /// All records.
  kComplete = 2,
  /// It is itself still acquiring the partition: ask again.
  kBusy = 3,
};

/// Answer to a TakeoverRequest.
struct TakeoverChunk {
  Revision members_revision = 0;
  PartitionId partition = 0;
  std::uint32_t chunk = 0;
  bool last = false;
  SourceState source_state = SourceState::kNone;
  /// How much longer the state may lack records although its holder has all that it ever had.
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
