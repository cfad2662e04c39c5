/// Durable state of a control replica on a Disk: identity, hard state, log entries and snapshots.
///
/// The log is a sequence of frames in segment files `log-N.seg` (sizes in bytes):
///
///   magic (4) | body length (4, little endian) | XXH3 of the body (8) | body
///
/// A body is an archive of LogFrame. Each write appends one frame and syncs it before it returns,
/// so only the last frame can be torn. A damaged frame followed by an intact one is corruption, and
/// the store fails to open. The files `snapshot` and `identity` hold one frame each and are
/// replaced atomically.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/control/log_entry.h"
#include "storage/disk.h"

namespace gorsevalve {

/// State of a replica as read from disk.
struct StoredReplica {
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> entries;
  /// Highest index known to be committed at the time of the last write.
  LogIndex committed = 0;
};

/// Version of the on-disk formats of a replica's directory. A directory of another version is
/// rejected.
constexpr std::uint32_t kDiskFormat = 6;

/// Identity of the replica. Written once.
struct ReplicaIdentity {
  ReplicaId id = 0;
  std::string cluster;
  /// Format version of this directory.
  std::uint32_t format = kDiskFormat;
  /// The initial replicas of the cluster when this one is among them; otherwise empty.
  ReplicaSet initial_replicas;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& cluster& format& initial_replicas;
  }
};

/// Content of one log write.
struct LogFrame {
  std::optional<HardState> hard_state;
  /// Remove the entries from this index on, before `entries` are appended.
  std::optional<LogIndex> truncate_from;
  std::vector<LogEntry> entries;
  /// Commit index of the replica before this write.
  LogIndex committed = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& hard_state& truncate_from& entries& committed;
  }
};

class LogStore {
 public:
  /// Size at which a new segment is started, in bytes.
  static constexpr std::uint64_t kSegmentSize = 4U << 20U;

  /// `disk` must outlive the store.
  explicit LogStore(Disk& disk) : disk_(disk) {}

  /// The identity in this directory; nothing when the directory is new.
  [[nodiscard]] StorageResult<std::optional<ReplicaIdentity>> read_identity();
  [[nodiscard]] StorageResult<void> write_identity(const ReplicaIdentity& identity);

  /// Reads all state, truncates a torn write at the end, and prepares for appending.
  [[nodiscard]] StorageResult<StoredReplica> open();

  /// Appends one frame and syncs it. After an error, the frame is not part of the log: the next
  /// append first truncates the segment to the synced size, and fails when it cannot.
  [[nodiscard]] StorageResult<void> append(const LogFrame& frame);

  /// Writes a snapshot durably, then removes the old segments. `frame` holds the hard state and the
  /// entries after the snapshot, and starts the new log.
  [[nodiscard]] StorageResult<void> replace_with_snapshot(const Snapshot& snapshot,
                                                          const LogFrame& frame);

  /// Bytes in the log since the last snapshot.
  [[nodiscard]] std::uint64_t log_size() const { return log_size_; }

 private:
  StorageResult<std::vector<std::uint64_t>> list_segments();
  StorageResult<void> repair();
  StorageResult<void> read_segment(std::uint64_t number, bool is_last, StoredReplica& stored);

  Disk& disk_;
  std::uint64_t current_segment_ = 0;
  std::uint64_t segment_size_ = 0;
  std::uint64_t log_size_ = 0;
  /// Set after a failed write: the content at the end of the segment is unknown.
  bool needs_repair_ = false;
};

/// Wraps a body into a frame.
Bytes encode_frame(ByteView body);

/// Returns the body of the frame at the start of `bytes`; nothing when the frame is torn or
/// damaged.
std::optional<ByteView> decode_frame(ByteView bytes);

}  // namespace gorsevalve
