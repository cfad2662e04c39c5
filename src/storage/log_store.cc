#include "storage/log_store.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include "codec/archive.h"

namespace gorsevalve {
namespace {

constexpr std::uint32_t kFrameMagic = 0x31565247;  // "GRV1"
constexpr std::size_t kFrameHeaderSize = 16;
constexpr const char* kIdentityName = "identity";
constexpr const char* kSnapshotName = "snapshot";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSegmentSuffix = ".seg";

std::string segment_name(std::uint64_t number) {
  return std::string(kSegmentPrefix) + std::to_string(number) + std::string(kSegmentSuffix);
}

std::optional<std::uint64_t> segment_number(std::string_view name) {
  if (!name.starts_with(kSegmentPrefix) || !name.ends_with(kSegmentSuffix)) {
    return std::nullopt;
  }
  name.remove_prefix(kSegmentPrefix.size());
  name.remove_suffix(kSegmentSuffix.size());
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc{} || end != name.data() + name.size()) {
    return std::nullopt;
  }
  return number;
}

tl::unexpected<StorageError> corruption_error(const std::string& file, std::size_t offset) {
  return tl::unexpected(StorageError{
      StorageErrorKind::kCorrupt,
      file + ": damaged at offset " + std::to_string(offset) +
          "; replace the data directory of this replica, see docs/operators/control.md"});
}

/// True when an intact frame begins anywhere after the first byte of `bytes`.
bool intact_frame_follows(ByteView bytes) {
  for (std::size_t i = 1; i + kFrameHeaderSize <= bytes.size(); ++i) {
    if (decode_frame(bytes.subspan(i))) {
      return true;
    }
  }
  return false;
}

/// Applies a frame to the state read so far. Returns false when its entries leave a gap in the log.
bool apply_frame(LogFrame&& frame, StoredReplica& stored) {
  if (frame.hard_state) {
    stored.hard_state = *frame.hard_state;
  }
  stored.committed = std::max(stored.committed, frame.committed);
  if (frame.truncate_from) {
    std::erase_if(stored.entries,
                  [&](const LogEntry& entry) { return entry.index >= *frame.truncate_from; });
  }
  const LogIndex base = stored.snapshot ? stored.snapshot->index : 0;
  for (auto& entry : frame.entries) {
    if (entry.index <= base) {
      continue;
    }
    const LogIndex expected = stored.entries.empty() ? base + 1 : stored.entries.back().index + 1;
    if (entry.index != expected) {
      return false;
    }
    stored.entries.push_back(std::move(entry));
  }
  return true;
}

/// Reads a file that holds exactly one frame with one value; nothing when the file does not exist.
template <typename Value>
StorageResult<std::optional<Value>> read_single_frame(Disk& disk, const std::string& name) {
  const auto names = disk.list();
  if (!names) {
    return tl::unexpected(names.error());
  }
  if (std::find(names->begin(), names->end(), name) == names->end()) {
    return std::optional<Value>{};
  }
  const auto bytes = disk.read(name);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  const auto body = decode_frame(*bytes);
  if (!body) {
    return corruption_error(name, 0);
  }
  auto value = decode_archive<Value>(*body);
  if (!value) {
    return corruption_error(name, kFrameHeaderSize);
  }
  return value;
}

}  // namespace

std::optional<ByteView> decode_frame(ByteView bytes) {
  if (bytes.size() < kFrameHeaderSize) {
    return std::nullopt;
  }
  std::uint32_t magic = 0;
  std::uint32_t size = 0;
  std::uint64_t checksum = 0;
  std::memcpy(&magic, bytes.data(), sizeof(magic));
  std::memcpy(&size, bytes.data() + 4, sizeof(size));
  std::memcpy(&checksum, bytes.data() + 8, sizeof(checksum));
  if (magic != kFrameMagic || bytes.size() - kFrameHeaderSize < size) {
    return std::nullopt;
  }
  const ByteView body = bytes.subspan(kFrameHeaderSize, size);
  if (XXH3_64bits(body.data(), body.size()) != checksum) {
    return std::nullopt;
  }
  return body;
}

Bytes encode_frame(ByteView body) {
  Bytes frame(kFrameHeaderSize);
  const auto size = static_cast<std::uint32_t>(body.size());
  const std::uint64_t checksum = XXH3_64bits(body.data(), body.size());
  std::memcpy(frame.data(), &kFrameMagic, sizeof(kFrameMagic));
  std::memcpy(frame.data() + 4, &size, sizeof(size));
  std::memcpy(frame.data() + 8, &checksum, sizeof(checksum));
  frame.insert(frame.end(), body.begin(), body.end());
  return frame;
}

StorageResult<std::optional<ReplicaIdentity>> LogStore::read_identity() {
  auto identity = read_single_frame<ReplicaIdentity>(disk_, kIdentityName);
  if (identity && identity->has_value() && (*identity)->format != kDiskFormat) {
    return tl::unexpected(
        StorageError{StorageErrorKind::kFormat, "identity: unsupported format " +
                                                    std::to_string((*identity)->format) +
                                                    ", expected " + std::to_string(kDiskFormat)});
  }
  return identity;
}

StorageResult<void> LogStore::write_identity(const ReplicaIdentity& identity) {
  return disk_.replace(kIdentityName, encode_frame(encode_archive(identity)));
}

StorageResult<std::vector<std::uint64_t>> LogStore::list_segments() {
  const auto names = disk_.list();
  if (!names) {
    return tl::unexpected(names.error());
  }
  std::vector<std::uint64_t> numbers;
  for (const auto& name : *names) {
    if (const auto number = segment_number(name)) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

StorageResult<StoredReplica> LogStore::open() {
  StoredReplica stored;
  auto snapshot = read_single_frame<Snapshot>(disk_, kSnapshotName);
  if (!snapshot) {
    return tl::unexpected(snapshot.error());
  }
  stored.snapshot = std::move(*snapshot);
  const auto numbers = list_segments();
  if (!numbers) {
    return tl::unexpected(numbers.error());
  }
  for (const std::uint64_t number : *numbers) {
    const auto read = read_segment(number, number == numbers->back(), stored);
    if (!read) {
      return tl::unexpected(read.error());
    }
  }
  current_segment_ = numbers->empty() ? 1 : numbers->back();
  return stored;
}

StorageResult<void> LogStore::read_segment(std::uint64_t number, bool is_last,
                                           StoredReplica& stored) {
  const std::string name = segment_name(number);
  const auto bytes = disk_.read(name);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  std::size_t offset = 0;
  while (offset < bytes->size()) {
    const ByteView rest = ByteView(*bytes).subspan(offset);
    const auto body = decode_frame(rest);
    if (!body) {
      if (!is_last || intact_frame_follows(rest)) {
        return corruption_error(name, offset);
      }
      const auto truncated = disk_.truncate(name, offset);
      if (!truncated) {
        return tl::unexpected(truncated.error());
      }
      break;
    }
    auto frame = decode_archive<LogFrame>(*body);
    if (!frame || !apply_frame(std::move(*frame), stored)) {
      return corruption_error(name, offset);
    }
    offset += kFrameHeaderSize + body->size();
  }
  segment_size_ = offset;
  log_size_ += offset;
  return {};
}

StorageResult<void> LogStore::repair() {
  if (!needs_repair_) {
    return {};
  }
  auto truncated = disk_.truncate(segment_name(current_segment_), segment_size_);
  needs_repair_ = !truncated;
  return truncated;
}

StorageResult<void> LogStore::append(const LogFrame& frame) {
  auto repaired = repair();
  if (!repaired) {
    return repaired;
  }
  if (segment_size_ >= kSegmentSize) {
    ++current_segment_;
    segment_size_ = 0;
  }
  const Bytes bytes = encode_frame(encode_archive(frame));
  const std::string name = segment_name(current_segment_);
  auto written = disk_.append(name, bytes);
  if (written) {
    written = disk_.sync(name);
  }
  if (!written) {
    needs_repair_ = true;
    return written;
  }
  segment_size_ += bytes.size();
  log_size_ += bytes.size();
  return {};
}

StorageResult<void> LogStore::replace_with_snapshot(const Snapshot& snapshot,
                                                    const LogFrame& frame) {
  // Order: write the snapshot, start a new segment with everything still needed, then remove the
  // old segments from the oldest on. A crash between two steps leaves a readable log:
  // entries covered by the snapshot are skipped, and the frame truncates the log before it repeats
  // entries.
  auto repaired = repair();
  if (!repaired) {
    return repaired;
  }
  auto written = disk_.replace(kSnapshotName, encode_frame(encode_archive(snapshot)));
  if (!written) {
    return written;
  }
  const auto old_segments = list_segments();
  if (!old_segments) {
    return tl::unexpected(old_segments.error());
  }
  ++current_segment_;
  segment_size_ = 0;
  log_size_ = 0;
  LogFrame first = frame;
  first.truncate_from = snapshot.index + 1;
  auto appended = append(first);
  if (!appended) {
    return appended;
  }
  for (const std::uint64_t number : *old_segments) {
    auto removed = disk_.remove(segment_name(number));
    if (!removed) {
      return removed;
    }
  }
  return {};
}

}  // namespace gorsevalve
