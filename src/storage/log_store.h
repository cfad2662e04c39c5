/// Durable form of a control replica: identity, hard state, log entries and snapshots, on a Disk.
///
/// The log is a sequence of frames in segment files `log-N.seg`:
///   magic (4 octets) | body length (4, little endian) | XXH3 of the body (8) | body
/// A body is an archive of LogFrame. Each call writes one frame and syncs it before it returns, so
/// only the last frame can be torn. A damaged frame with an intact frame after it is corruption,
/// and the store refuses to open. `snapshot` and `identity` hold one frame each and are replaced as
/// a whole.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/control/log_entry.h"
#include "storage/disk.h"

namespace gorsevalve {

/// What was found on the disk.
struct StoredReplica {
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> entries;
  /// Highest index that was known to be committed when something was written last.
  LogIndex committed = 0;
};

/// Version of the formats in a replica's folder. 2 added LogFrame::committed, 3 HardState::leader,
/// 4 the request classes of frontends, warm-up of pools and evacuated zones, 5 the starts of
/// targets.
constexpr std::uint32_t kDiskFormat = 5;

/// Who the replica is. Written once.
struct ReplicaIdentity {
  ReplicaId id = 0;
  std::string cluster;
  /// Version of the formats in this folder.
  std::uint32_t format = kDiskFormat;
  /// The first replicas of the cluster, when this one is among them; else empty.
  ReplicaSet initial_replicas;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& cluster& format& initial_replicas;
  }
};

/// One write of the log.
struct LogFrame {
  std::optional<HardState> hard_state;
  /// Drop the entries from this index on, before `entries` are added.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
  /// What the replica knew to be committed before this write.
  LogIndex committed = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& hard_state& truncate_from& entries& committed;
  }
};

class LogStore {
 public:
  /// A new segment begins at this size, in octets.
  static constexpr std::uint64_t kSegmentSize = 4U << 20U;

  /// The disk must outlive the store.
  explicit LogStore(Disk& disk) : disk_(disk) {}

  /// The identity in this folder; nothing when the folder is new.
  [[nodiscard]] StorageResult<std::optional<ReplicaIdentity>> read_identity();
  [[nodiscard]] StorageResult<void> write_identity(const ReplicaIdentity& identity);

  /// Reads everything, cuts a torn end, and gets ready to append.
  [[nodiscard]] StorageResult<StoredReplica> open();

  /// Appends one frame and syncs it. After an error nothing of the frame counts: the next append
  /// first cuts the segment back to what was synced, and fails when it cannot.
  [[nodiscard]] StorageResult<void> append(const LogFrame& frame);

  /// Makes a snapshot durable, then drops the segments; `frame` holds the hard state and the
  /// entries after the snapshot, and begins the new log.
  [[nodiscard]] StorageResult<void> replace_with_snapshot(const Snapshot& snapshot,
                                                          const LogFrame& frame);

  /// Octets in the log since the last snapshot.
  [[nodiscard]] std::uint64_t log_size() const { return log_size_; }

 private:
  StorageResult<std::vector<std::uint64_t>> list_segments();
  StorageResult<void> repair();
  StorageResult<void> read_segment(std::uint64_t number, bool is_last, StoredReplica& stored);

  Disk& disk_;
  std::uint64_t current_segment_ = 0;
  std::uint64_t segment_size_ = 0;
  std::uint64_t log_size_ = 0;
  /// A write failed: the end of the segment is unknown.
  bool needs_repair_ = false;
};

/// Wraps a body into a frame.
Bytes encode_frame(ByteView body);

/// The body of the frame at the start of `bytes`; nothing when it is torn or damaged.
std::optional<ByteView> decode_frame(ByteView bytes);

}  // namespace gorsevalve
