/// Disk implementation on a directory of a POSIX file system.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "storage/disk.h"

namespace gorsevalve {

class PosixDisk : public Disk {
 public:
  /// Opens the directory, creating it with mode 0700 when it does not exist, and locks it against
  /// use by a second process.
  static StorageResult<std::unique_ptr<PosixDisk>> open(const std::string& directory);
  ~PosixDisk() override;

  StorageResult<std::vector<std::string>> list() override;
  StorageResult<Bytes> read(const std::string& name) override;
  StorageResult<void> append(const std::string& name, ByteView bytes) override;
  StorageResult<void> sync(const std::string& name) override;
  StorageResult<void> truncate(const std::string& name, std::uint64_t size) override;
  StorageResult<void> replace(const std::string& name, ByteView bytes) override;
  StorageResult<void> remove(const std::string& name) override;

 private:
  explicit PosixDisk(std::string directory) : directory_(std::move(directory)) {}
  [[nodiscard]] std::string path(const std::string& name) const { return directory_ + "/" + name; }
  StorageResult<int> open_for_append(const std::string& name);
  StorageResult<void> sync_directory();
  void close_file(const std::string& name);

  std::string directory_;
  int lock_descriptor_ = -1;
  /// Descriptors of files that are open for appending.
  std::map<std::string, int> open_files_;
};

}  // namespace gorsevalve
