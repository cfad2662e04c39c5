#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "core/control/replica_zones.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

Endpoint replica(std::uint32_t number) { return {number, 7000}; }

std::string zone_of(std::uint32_t number) { return number % 5 == 0 ? "far" : "near"; }

/// A leader that replicas 1 to `count` report to.
struct Leader {
  explicit Leader(std::uint32_t replicas) : count(replicas) {
    zones.on_elected(kStart);
    run(seconds(5));
  }

  void run(Duration time, std::uint32_t silent = 0) {
    for (const Instant end = now + time; now < end; now += milliseconds(500)) {
      for (std::uint32_t number = 1; number <= count; ++number) {
        if (number != silent) {
          zones.on_reported({replica(number), zone_of(number)}, now);
        }
      }
      zones.on_tick(now);
    }
  }

  std::uint32_t count;
  ReplicaZones zones;
  Instant now = kStart;
};

}  // namespace

TEST_SUITE("replica_zones") {
  TEST_CASE("targets keep to replicas of their zone, each to as many as to another") {
    // Before: at the leader, or wherever they came first. At most half more than the mean, at any
    // size.
    for (const TargetId targets : {1000U, 2000U, 4000U}) {
      const Leader leader(25);
      std::map<Endpoint, TargetId> kept;
      for (TargetId id = 1; id <= targets; ++id) {
        const auto home = leader.zones.home_of(id * 0x9E3779B9U, "near");
        REQUIRE(home);
        CHECK(zone_of(home->address) == "near");
        ++kept[*home];
      }
      CHECK(kept.size() == 20);
      const auto busiest = std::max_element(kept.begin(), kept.end(), [](auto& a, auto& b) {
                             return a.second < b.second;
                           })->second;
      CHECK(static_cast<double>(busiest) <= 1.5 * static_cast<double>(targets) / 20);
    }
  }

  TEST_CASE("only the targets of a replica that is gone move, and they come back with it") {
    Leader leader(25);
    std::map<TargetId, Endpoint> before;
    for (TargetId id = 1; id <= 500; ++id) {
      before[id] = *leader.zones.home_of(id, "near");
    }
    const std::uint64_t digest = leader.zones.digest();
    leader.run(seconds(5), 7);
    CHECK(leader.zones.digest() != digest);
    for (TargetId id = 1; id <= 500; ++id) {
      const Endpoint home = *leader.zones.home_of(id, "near");
      CHECK(home != replica(7));
      CHECK((before[id] == replica(7) || before[id] == home));
    }
    leader.run(seconds(2));
    CHECK(leader.zones.digest() == digest);
    CHECK(*leader.zones.home_of(3, "near") == before[3]);
  }

  TEST_CASE("a zone without a replica gets none, and neither does anybody before the first list") {
    const Leader leader(4);
    CHECK_FALSE(leader.zones.home_of(1, "far"));
    CHECK_FALSE(ReplicaZones{}.home_of(1, "near"));
  }

  TEST_CASE("a new leader keeps to what it was told until all have reported") {
    const Leader first(25);
    ReplicaZones next;
    next.on_told(first.zones.replicas());
    next.on_elected(first.now);
    next.on_reported({replica(3), "near"}, first.now);
    next.on_tick(first.now + seconds(1));
    CHECK(next.digest() == first.zones.digest());
    next.on_reported({replica(3), "near"}, first.now + seconds(4));
    next.on_tick(first.now + seconds(4));
    CHECK(next.replicas() == std::vector<ReplicaZone>{{replica(3), "near"}});
  }
}

}  // namespace gorsevalve
