#include <doctest/doctest.h>

#include "sim/sim_disk.h"
#include "storage/log_store.h"

namespace gorsevalve {
namespace {

LogEntry make_entry(LogIndex index) { return {1, index, EntryType::kNoOp, Bytes(20, 7)}; }

LogFrame make_frame(LogIndex index) {
  return {std::nullopt, std::nullopt, {make_entry(index)}, index - 1};
}

/// Writes a hard state and the entries 1 to 3.
void fill(SimDisk& disk) {
  LogStore store(disk);
  REQUIRE(store.open());
  REQUIRE(store.append({HardState{3, 9}, std::nullopt, {}, 0}));
  for (LogIndex index = 1; index <= 3; ++index) {
    REQUIRE(store.append(make_frame(index)));
  }
}

const std::string kSegment = "log-1.seg";

}  // namespace

TEST_SUITE("log_store") {
  TEST_CASE("appended entries are read back after a restart") {
    SimDisk disk;
    fill(disk);
    LogStore store(disk);
    const auto stored = store.open();
    REQUIRE(stored);
    CHECK(stored->hard_state == HardState{3, 9});
    CHECK(stored->committed == 2);
    REQUIRE(stored->entries.size() == 3);
    CHECK(stored->entries[2] == make_entry(3));
  }

  TEST_CASE(
      "a failed write leaves the log unchanged, and appending works after the disk recovers") {
    for (std::uint64_t operations = 0; operations < 12; ++operations) {
      SimDisk disk;
      fill(disk);
      LogStore store(disk);
      REQUIRE(store.open());
      disk.fail_after(operations);
      LogIndex next = 4;
      for (int i = 0; i < 6; ++i) {
        next += store.append(make_frame(next)) ? 1 : 0;
      }
      disk.clear_faults();
      REQUIRE(store.append(make_frame(next)));
      LogStore reopened(disk);
      const auto stored = reopened.open();
      REQUIRE(stored);
      CHECK(stored->entries.size() == next);
    }
  }

  TEST_CASE("appending works after a failed snapshot") {
    for (std::uint64_t operations = 0; operations < 10; ++operations) {
      SimDisk disk;
      fill(disk);
      LogStore store(disk);
      REQUIRE(store.open());
      disk.fail_after(operations);
      const Snapshot snapshot{2, 1, {}, Bytes(10, 3)};
      const LogFrame remaining{HardState{3, 9}, std::nullopt, {make_entry(3)}};
      static_cast<void>(store.replace_with_snapshot(snapshot, remaining));
      disk.clear_faults();
      REQUIRE(store.append(make_frame(4)));
      LogStore reopened(disk);
      const auto stored = reopened.open();
      REQUIRE(stored);
      REQUIRE_FALSE(stored->entries.empty());
      CHECK(stored->entries.back().index == 4);
      CHECK(stored->hard_state == HardState{3, 9});
    }
  }

  TEST_CASE("a torn write at the end is truncated at every length, and appending works") {
    SimDisk complete;
    fill(complete);
    const std::size_t size = complete.read(kSegment)->size();
    for (std::size_t removed_bytes = 1; removed_bytes < 40; ++removed_bytes) {
      SimDisk disk = complete;
      REQUIRE(disk.truncate(kSegment, size - removed_bytes));
      LogStore store(disk);
      const auto stored = store.open();
      REQUIRE(stored);
      CHECK(stored->entries.size() == 2);
      REQUIRE(store.append(make_frame(3)));
      LogStore reopened(disk);
      CHECK(reopened.open()->entries.size() == 3);
    }
  }

  TEST_CASE("damage before an intact frame is reported with the file name") {
    SimDisk disk;
    fill(disk);
    disk.corrupt(kSegment, 30);
    LogStore store(disk);
    const auto stored = store.open();
    REQUIRE_FALSE(stored);
    CHECK(stored.error().kind == StorageErrorKind::kCorrupt);
    CHECK(stored.error().message.find(kSegment) != std::string::npos);
  }

  TEST_CASE("a damaged identity is rejected") {
    SimDisk disk;
    LogStore store(disk);
    REQUIRE(store.write_identity({5, "c", kDiskFormat, {}}));
    CHECK(store.read_identity()->value().id == 5);
    disk.corrupt("identity", 20);
    CHECK(store.read_identity().error().kind == StorageErrorKind::kCorrupt);
  }

  TEST_CASE("a newly written identity can be read") {
    // Guards against a format number that differs between writing and reading.
    SimDisk disk;
    LogStore store(disk);
    ReplicaIdentity identity;
    identity.id = 5;
    REQUIRE(store.write_identity(identity));
    REQUIRE(store.read_identity().has_value());
    CHECK(store.read_identity()->value().id == 5);
  }

  TEST_CASE("a directory of another format version is rejected") {
    SimDisk disk;
    LogStore store(disk);
    REQUIRE(store.write_identity({5, "c", kDiskFormat + 1, {}}));
    CHECK(store.read_identity().error().kind == StorageErrorKind::kFormat);
  }

  TEST_CASE("a snapshot replaces the entries that it covers") {
    SimDisk disk;
    fill(disk);
    LogStore store(disk);
    REQUIRE(store.open());
    const Snapshot snapshot{2, 1, {}, Bytes{1, 2, 3}};
    REQUIRE(store.replace_with_snapshot(snapshot, {HardState{4, 0}, {}, {make_entry(3)}}));
    REQUIRE(store.append(make_frame(4)));
    LogStore reopened(disk);
    const auto stored = reopened.open();
    REQUIRE(stored);
    CHECK(stored->snapshot->index == 2);
    CHECK(stored->hard_state == HardState{4, 0});
    REQUIRE(stored->entries.size() == 2);
    CHECK(stored->entries[0].index == 3);
  }

  TEST_CASE("a crash between any two steps of a snapshot leaves a readable log") {
    for (std::uint64_t operations = 0; operations < 8; ++operations) {
      SimDisk disk;
      fill(disk);
      LogStore store(disk);
      REQUIRE(store.open());
      disk.fail_after(operations);
      const Snapshot snapshot{2, 1, {}, Bytes{1, 2, 3}};
      (void)store.replace_with_snapshot(snapshot, {HardState{3, 9}, {}, {make_entry(3)}});
      disk.clear_faults();
      SimRandom random(operations);
      disk.crash(random);
      LogStore reopened(disk);
      const auto stored = reopened.open();
      REQUIRE(stored);
      CHECK(stored->hard_state == HardState{3, 9});
      REQUIRE_FALSE(stored->entries.empty());
      CHECK(stored->entries.back() == make_entry(3));
    }
  }

  TEST_CASE("a failed sync or write is reported") {
    for (std::uint64_t operations = 0; operations < 2; ++operations) {
      SimDisk disk;
      LogStore store(disk);
      REQUIRE(store.open());
      disk.fail_after(operations);
      CHECK_FALSE(store.append(make_frame(1)));
    }
  }
}

}  // namespace gorsevalve
