#include <doctest/doctest.h>

#include "sim/sim_disk.h"
#include "storage/log_store.h"

namespace gorsevalve {
namespace {

LogEntry make_entry(LogIndex index) { return {1, index, EntryType::kNoOp, Bytes(20, 7)}; }

LogFrame make_frame(LogIndex index) {
  return {std::nullopt, std::nullopt, {make_entry(index)}, index - 1};
}

/// A disk with entries 1 to 3.
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
  TEST_CASE("what was appended is there after a restart") {
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

  TEST_CASE("a refused write leaves the log as it was, and the log goes on when the disk does") {
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
      disk.mend();
      REQUIRE(store.append(make_frame(next)));
      LogStore again(disk);
      const auto stored = again.open();
      REQUIRE(stored);
      CHECK(stored->entries.size() == next);
    }
  }

  TEST_CASE("a refused snapshot leaves a log that goes on") {
    for (std::uint64_t operations = 0; operations < 10; ++operations) {
      SimDisk disk;
      fill(disk);
      LogStore store(disk);
      REQUIRE(store.open());
      disk.fail_after(operations);
      const Snapshot snapshot{2, 1, {}, Bytes(10, 3)};
      const LogFrame rest{HardState{3, 9}, std::nullopt, {make_entry(3)}};
      static_cast<void>(store.replace_with_snapshot(snapshot, rest));
      disk.mend();
      REQUIRE(store.append(make_frame(4)));
      LogStore again(disk);
      const auto stored = again.open();
      REQUIRE(stored);
      REQUIRE_FALSE(stored->entries.empty());
      CHECK(stored->entries.back().index == 4);
      CHECK(stored->hard_state == HardState{3, 9});
    }
  }

  TEST_CASE("a torn end is cut at every length, and the log goes on") {
    SimDisk whole;
    fill(whole);
    const std::size_t size = whole.read(kSegment)->size();
    for (std::size_t cut = 1; cut < 40; ++cut) {
      SimDisk disk = whole;
      REQUIRE(disk.truncate(kSegment, size - cut));
      LogStore store(disk);
      const auto stored = store.open();
      REQUIRE(stored);
      CHECK(stored->entries.size() == 2);
      REQUIRE(store.append(make_frame(3)));
      LogStore again(disk);
      CHECK(again.open()->entries.size() == 3);
    }
  }

  TEST_CASE("damage before an intact frame is refused, with the file's name") {
    SimDisk disk;
    fill(disk);
    disk.corrupt(kSegment, 30);
    LogStore store(disk);
    const auto stored = store.open();
    REQUIRE_FALSE(stored);
    CHECK(stored.error().kind == StorageErrorKind::kCorrupt);
    CHECK(stored.error().message.find(kSegment) != std::string::npos);
  }

  TEST_CASE("a damaged identity or snapshot is refused") {
    SimDisk disk;
    LogStore store(disk);
    REQUIRE(store.write_identity({5, "c", kDiskFormat, {}}));
    CHECK(store.read_identity()->value().id == 5);
    disk.corrupt("identity", 20);
    CHECK(store.read_identity().error().kind == StorageErrorKind::kCorrupt);
  }

  TEST_CASE("an identity that is written now can be read again") {
    // The number stood twice: a new folder said 2 where the program read 3, and nothing started.
    SimDisk disk;
    LogStore store(disk);
    ReplicaIdentity identity;
    identity.id = 5;
    REQUIRE(store.write_identity(identity));
    REQUIRE(store.read_identity().has_value());
    CHECK(store.read_identity()->value().id == 5);
  }

  TEST_CASE("a folder of another format version is refused") {
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
    LogStore again(disk);
    const auto stored = again.open();
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
      disk.mend();
      SimRandom random(operations);
      disk.crash(random);
      LogStore again(disk);
      const auto stored = again.open();
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
