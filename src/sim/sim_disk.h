/// Disk in memory with the faults of real ones: what was not synced is lost or torn at a crash, a
/// sync may fail, the disk may be full, the content may be gone.
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

  /// The machine loses power: of what was not synced, a random part stays.
  void crash(SimRandom& random);
  void wipe() { files_.clear(); }
  /// After this many further operations that write, one fails.
  void fail_after(std::uint64_t operations) { operations_until_failure_ = operations; }
  void clear_faults() { operations_until_failure_ = kNever; }
  /// Flips one bit of a file.
  void corrupt(const std::string& name, std::uint64_t position);

 private:
  struct File {
    Bytes content;
    /// Octets of the content that are safe.
    std::size_t synced = 0;
  };
  static constexpr std::uint64_t kNever = ~std::uint64_t{0};

  [[nodiscard]] bool next_operation_fails();

  std::map<std::string, File> files_;
  std::uint64_t operations_until_failure_ = kNever;
};

}  // namespace gorsevalve
