/// In-memory disk with fault injection: loss or torn writes of unsynced data at a crash, failed
/// writes and syncs, corruption, and loss of the whole content.
#pragma once

#include <map>

#include "sim/sim_random.h"
#include "storage/disk.h"

namespace gorsevalve {

class SimDisk : public Disk {
 public:
  StorageResult<std::vector<std::string>> list() override;
  StorageResult<Bytes> read(const std::string& name) override;
  StorageResult<void> append(const std::string& name, ByteView bytes) override;
  StorageResult<void> sync(const std::string& name) override;
  StorageResult<void> truncate(const std::string& name, std::uint64_t size) override;
  StorageResult<void> replace(const std::string& name, ByteView bytes) override;
  StorageResult<void> remove(const std::string& name) override;

  /// Simulates a power loss: keeps a random prefix of the unsynced bytes of each file.
  void crash(SimRandom& random);
  void wipe() { files_.clear(); }
  /// Lets this many further write operations succeed; all later ones fail.
  void fail_after(std::uint64_t operations) { operations_until_failure_ = operations; }
  void clear_faults() { operations_until_failure_ = kNever; }
  /// Flips one bit of a file.
  void corrupt(const std::string& name, std::uint64_t position);

 private:
  struct File {
    Bytes content;
    /// Number of bytes that survive a crash.
    std::size_t synced = 0;
  };
  static constexpr std::uint64_t kNever = ~std::uint64_t{0};

  [[nodiscard]] bool next_operation_fails();

  std::map<std::string, File> files_;
  std::uint64_t operations_until_failure_ = kNever;
};

}  // namespace gorsevalve
