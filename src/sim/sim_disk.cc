#include "sim/sim_disk.h"

namespace gorsevalve {
namespace {

tl::unexpected<StorageError> failure(const std::string& operation, const std::string& name) {
  return tl::unexpected(
      StorageError{StorageErrorKind::kOperation, operation + " " + name + ": injected fault"});
}

}  // namespace

bool SimDisk::next_operation_fails() {
  if (operations_until_failure_ == kNever) {
    return false;
  }
  if (operations_until_failure_ > 0) {
    --operations_until_failure_;
    return false;
  }
  return true;
}

StorageResult<std::vector<std::string>> SimDisk::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : files_) {
    names.push_back(name);
  }
  return names;
}

StorageResult<Bytes> SimDisk::read(const std::string& name) {
  const auto found = files_.find(name);
  if (found == files_.end()) {
    return failure("read", name);
  }
  return found->second.content;
}

StorageResult<void> SimDisk::append(const std::string& name, ByteView bytes) {
  File& file = files_[name];
  if (next_operation_fails()) {
    // Short write: half of the bytes are stored, and the operation reports a failure.
    file.content.insert(file.content.end(), bytes.begin(),
                        bytes.begin() + static_cast<std::ptrdiff_t>(bytes.size() / 2));
    return failure("append", name);
  }
  file.content.insert(file.content.end(), bytes.begin(), bytes.end());
  return {};
}

StorageResult<void> SimDisk::sync(const std::string& name) {
  if (next_operation_fails()) {
    return failure("sync", name);
  }
  files_[name].synced = files_[name].content.size();
  return {};
}

StorageResult<void> SimDisk::truncate(const std::string& name, std::uint64_t size) {
  if (next_operation_fails()) {
    return failure("truncate", name);
  }
  File& file = files_[name];
  file.content.resize(size);
  file.synced = file.content.size();
  return {};
}

StorageResult<void> SimDisk::replace(const std::string& name, ByteView bytes) {
  if (next_operation_fails()) {
    return failure("replace", name);
  }
  files_[name] = {Bytes(bytes.begin(), bytes.end()), bytes.size()};
  return {};
}

StorageResult<void> SimDisk::remove(const std::string& name) {
  if (next_operation_fails()) {
    return failure("remove", name);
  }
  files_.erase(name);
  return {};
}

void SimDisk::crash(SimRandom& random) {
  for (auto& [name, file] : files_) {
    const std::size_t unsynced = file.content.size() - file.synced;
    const std::size_t kept = unsynced == 0 ? 0 : random.below(unsynced + 1);
    file.content.resize(file.synced + kept);
    file.synced = file.content.size();
  }
}

void SimDisk::corrupt(const std::string& name, std::uint64_t position) {
  Bytes& content = files_[name].content;
  if (!content.empty()) {
    content[position % content.size()] ^= 0x10U;
  }
}

}  // namespace gorsevalve
