/// Interface to the file operations that durable state needs. Tests use an implementation that
/// injects faults.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "model/bytes.h"

namespace gorsevalve {

/// Kind of a storage error.
enum class StorageErrorKind : std::uint8_t {
  /// The operating system reported an error (full disk, failed sync, missing permission).
  kOperation,
  /// Stored data is damaged in more than a torn write at the end.
  kCorrupt,
  /// The data was written by an unknown format version or belongs to another cluster.
  kFormat,
};

struct StorageError {
  StorageErrorKind kind = StorageErrorKind::kOperation;
  /// Names the file and the operation.
  std::string message;
};

template <typename T>
using StorageResult = tl::expected<T, StorageError>;

/// Files of one data directory, addressed by file name. A write is durable only after a successful
/// `sync` of the file, or when the operation is documented to sync. After a failed append or sync,
/// the content past the last synced size is unknown; the file must be truncated to that size before
/// the next append.
class Disk {
 public:
  virtual ~Disk() = default;

  [[nodiscard]] virtual StorageResult<std::vector<std::string>> list() = 0;
  [[nodiscard]] virtual StorageResult<Bytes> read(const std::string& name) = 0;
  /// Appends to a file. Creates it when it does not exist, and then syncs its directory entry.
  [[nodiscard]] virtual StorageResult<void> append(const std::string& name, ByteView bytes) = 0;
  [[nodiscard]] virtual StorageResult<void> sync(const std::string& name) = 0;
  /// Truncates a file to a size and syncs it.
  [[nodiscard]] virtual StorageResult<void> truncate(const std::string& name,
                                                     std::uint64_t size) = 0;
  /// Replaces a file atomically: writes a temporary file, syncs and renames it, and syncs the
  /// directory.
  [[nodiscard]] virtual StorageResult<void> replace(const std::string& name, ByteView bytes) = 0;
  /// Removes a file; not an error when it does not exist.
  [[nodiscard]] virtual StorageResult<void> remove(const std::string& name) = 0;
};

}  // namespace gorsevalve
