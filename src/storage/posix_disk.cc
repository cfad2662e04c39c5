#include "storage/posix_disk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace gorsevalve {
namespace {

constexpr const char* kLockName = "lock";
constexpr const char* kTemporarySuffix = ".new";
constexpr mode_t kFileMode = 0600;
constexpr mode_t kDirectoryMode = 0700;

tl::unexpected<StorageError> errno_error(const std::string& operation, const std::string& path) {
  return tl::unexpected(StorageError{StorageErrorKind::kOperation,
                                     operation + " " + path + ": " + std::strerror(errno)});
}

/// Owns a file descriptor and closes it at the end of the scope.
class FileDescriptor {
 public:
  explicit FileDescriptor(int value) : value_(value) {}
  ~FileDescriptor() {
    if (value_ >= 0) {
      ::close(value_);
    }
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  [[nodiscard]] int get() const { return value_; }

 private:
  int value_;
};

bool write_all(int descriptor, ByteView bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    bytes = bytes.subspan(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace

StorageResult<std::unique_ptr<PosixDisk>> PosixDisk::open(const std::string& directory) {
  if (::mkdir(directory.c_str(), kDirectoryMode) != 0 && errno != EEXIST) {
    return errno_error("mkdir", directory);
  }
  std::unique_ptr<PosixDisk> disk(new PosixDisk(directory));
  const std::string lock_path = disk->path(kLockName);
  disk->lock_descriptor_ = ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (disk->lock_descriptor_ < 0) {
    return errno_error("open", lock_path);
  }
  if (::flock(disk->lock_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    return errno_error("lock (another process uses this data directory)", lock_path);
  }
  return disk;
}

PosixDisk::~PosixDisk() {
  for (const auto& [name, descriptor] : open_files_) {
    ::close(descriptor);
  }
  if (lock_descriptor_ >= 0) {
    ::close(lock_descriptor_);
  }
}

StorageResult<std::vector<std::string>> PosixDisk::list() {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(directory_, error)) {
    const std::string name = entry.path().filename().string();
    if (name != kLockName) {
      names.push_back(name);
    }
  }
  if (error) {
    return tl::unexpected(
        StorageError{StorageErrorKind::kOperation, "list " + directory_ + ": " + error.message()});
  }
  return names;
}

StorageResult<Bytes> PosixDisk::read(const std::string& name) {
  const FileDescriptor file(::open(path(name).c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) {
    return errno_error("open", path(name));
  }
  Bytes content;
  std::array<std::uint8_t, 65536> buffer{};
  while (true) {
    const ssize_t size = ::read(file.get(), buffer.data(), buffer.size());
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0) {
      return errno_error("read", path(name));
    }
    if (size == 0) {
      return content;
    }
    content.insert(content.end(), buffer.begin(), buffer.begin() + size);
  }
}

StorageResult<int> PosixDisk::open_for_append(const std::string& name) {
  const auto found = open_files_.find(name);
  if (found != open_files_.end()) {
    return found->second;
  }
  const bool exists = ::access(path(name).c_str(), F_OK) == 0;
  const int descriptor =
      ::open(path(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return errno_error("open", path(name));
  }
  open_files_[name] = descriptor;
  if (!exists) {
    const auto synced = sync_directory();
    if (!synced) {
      return tl::unexpected(synced.error());
    }
  }
  return descriptor;
}

StorageResult<void> PosixDisk::append(const std::string& name, ByteView bytes) {
  const auto descriptor = open_for_append(name);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  if (!write_all(*descriptor, bytes)) {
    return errno_error("write", path(name));
  }
  return {};
}

StorageResult<void> PosixDisk::sync(const std::string& name) {
  const auto descriptor = open_for_append(name);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  if (::fsync(*descriptor) != 0) {
    return errno_error("fsync", path(name));
  }
  return {};
}

StorageResult<void> PosixDisk::truncate(const std::string& name, std::uint64_t size) {
  if (::truncate(path(name).c_str(), static_cast<off_t>(size)) != 0) {
    if (errno == ENOENT && size == 0) {
      return {};
    }
    return errno_error("truncate", path(name));
  }
  return sync(name);
}

StorageResult<void> PosixDisk::replace(const std::string& name, ByteView bytes) {
  const std::string temporary = path(name + kTemporarySuffix);
  {
    const FileDescriptor file(
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
    if (file.get() < 0) {
      return errno_error("open", temporary);
    }
    if (!write_all(file.get(), bytes)) {
      return errno_error("write", temporary);
    }
    if (::fsync(file.get()) != 0) {
      return errno_error("fsync", temporary);
    }
  }
  close_file(name);
  if (::rename(temporary.c_str(), path(name).c_str()) != 0) {
    return errno_error("rename", temporary);
  }
  return sync_directory();
}

StorageResult<void> PosixDisk::remove(const std::string& name) {
  close_file(name);
  if (::unlink(path(name).c_str()) != 0 && errno != ENOENT) {
    return errno_error("unlink", path(name));
  }
  return sync_directory();
}

StorageResult<void> PosixDisk::sync_directory() {
  const FileDescriptor directory(::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (directory.get() < 0 || ::fsync(directory.get()) != 0) {
    return errno_error("fsync", directory_);
  }
  return {};
}

void PosixDisk::close_file(const std::string& name) {
  const auto found = open_files_.find(name);
  if (found != open_files_.end()) {
    ::close(found->second);
    open_files_.erase(found);
  }
}

}  // namespace gorsevalve
