/// The few file operations that durable state needs, so that tests can put faults beneath it.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "model/bytes.h"

namespace gorsevalve {

/// What went wrong with durable state.
enum class StorageErrorKind : std::uint8_t {
  /// The operating system refused an operation (full disk, failed sync, missing permission).
  kOperation,
  /// Stored data is damaged beyond a torn end.
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

/// Files of one data folder, by plain name. A write is safe only after a successful `sync` of the
/// file, or when the call says that it syncs. After a failed sync the content is unknown: the
/// process must stop, not try again.
class Disk {
 public:
  virtual ~Disk() = default;

  [[nodiscard]] virtual StorageResult<std::vector<std::string>> list() = 0;
  [[nodiscard]] virtual StorageResult<Bytes> read(const std::string& name) = 0;
  /// Appends to a file, which is made when it does not exist (its folder entry is then synced).
  [[nodiscard]] virtual StorageResult<void> append(const std::string& name, ByteView bytes) = 0;
  [[nodiscard]] virtual StorageResult<void> sync(const std::string& name) = 0;
  /// Cuts a file to a size and syncs it.
  [[nodiscard]] virtual StorageResult<void> truncate(const std::string& name,
                                                     std::uint64_t size) = 0;
  /// Replaces a file as a whole: written beside it, synced, renamed, folder synced.
  [[nodiscard]] virtual StorageResult<void> replace(const std::string& name, ByteView bytes) = 0;
  /// Removes a file; not an error when it does not exist.
  [[nodiscard]] virtual StorageResult<void> remove(const std::string& name) = 0;
};

}  // namespace gorsevalve
