#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "allocation_counter.h"
#include "core/control/fleet_digest.h"
#include "core/control/steering_commands.h"
#include "core/steering/steering_view.h"

namespace gorsevalve {
namespace {

Frontend make_frontend(std::uint32_t number, std::uint32_t weight) {
  Frontend frontend;
  frontend.name = "frontend-" + std::to_string(number);
  frontend.address = {0xC6120000 + number, 443};
  frontend.pools = {{"alpha", weight}, {"beta", 10}};
  return frontend;
}

RegisteredTarget make_target(TargetId id, std::uint32_t phase) {
  RegisteredTarget target;
  target.id = id;
  target.token = static_cast<FlowToken>(1000 + id);
  target.pool = id % 3 == 0 ? "beta" : "alpha";
  // Several targets share an address.
  target.address = {10, static_cast<std::uint16_t>(8000 + id % 7)};
  target.phase = static_cast<TargetPhase>(phase);
  return target;
}

FleetState make_state(std::uint32_t frontends, std::uint32_t targets) {
  FleetState fleet;
  fleet.steering.settings.version = 1;
  for (std::uint32_t i = 0; i < frontends; ++i) {
    fleet.steering.settings.frontends.push_back(make_frontend(i, 90));
  }
  for (std::uint32_t i = 1; i <= targets; ++i) {
    fleet.steering.put(make_target(i, 0));
  }
  return fleet;
}

FleetDelta next_delta(const FleetState& fleet) {
  FleetDelta delta;
  delta.base = fleet.revision;
  delta.revision = fleet.revision + 1;
  delta.steering.emplace();
  return delta;
}

/// A random delta of a few or many frontends or targets.
FleetDelta random_delta(const FleetState& fleet, std::mt19937_64& random) {
  FleetDelta delta = next_delta(fleet);
  SteeringDelta& steering = *delta.steering;
  const std::uint64_t changes = random() % 5 == 0 ? 25 : 1 + random() % 3;
  if (random() % 2 == 0) {
    steering.has_settings = true;
    steering.version = fleet.steering.settings.version + 1;
    for (std::uint64_t i = 0; i < changes; ++i) {
      const auto number = static_cast<std::uint32_t>(random() % 40);
      const bool removed = random() % 3 == 0;
      const Frontend changed = make_frontend(number, static_cast<std::uint32_t>(random() % 100));
      std::erase_if(steering.upserted_frontends,
                    [&](const Frontend& other) { return other.address == changed.address; });
      std::erase(steering.removed_frontends, changed.address);
      if (removed) {
        steering.removed_frontends.push_back(changed.address);
      } else {
        steering.upserted_frontends.push_back(changed);
      }
    }
    return delta;
  }
  for (std::uint64_t i = 0; i < changes; ++i) {
    const TargetId id = 1 + random() % 60;
    std::erase_if(steering.upserted_targets,
                  [&](const RegisteredTarget& other) { return other.id == id; });
    std::erase(steering.removed_targets, id);
    if (random() % 4 == 0) {
      steering.removed_targets.push_back(id);
    } else {
      steering.upserted_targets.push_back(
          make_target(id, static_cast<std::uint32_t>(random() % 5)));
    }
  }
  return delta;
}

std::vector<TargetId> ids_of(const std::vector<const RegisteredTarget*>& targets) {
  std::vector<TargetId> ids;
  ids.reserve(targets.size());
  for (const RegisteredTarget* target : targets) {
    ids.push_back(target->id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<TargetId> sorted(absl::Span<const TargetId> ids) {
  std::vector<TargetId> result(ids.begin(), ids.end());
  std::sort(result.begin(), result.end());
  return result;
}

/// Checks that a view updated by deltas equals one rebuilt from the state.
void check_same(const SteeringView& updated, const FleetState& fleet) {
  SteeringView rebuilt;
  rebuilt.reset(fleet.steering);
  CHECK(updated.version() == rebuilt.version());
  CHECK(updated.targets() == rebuilt.targets());
  for (std::uint32_t number = 0; number < 40; ++number) {
    const Endpoint address = make_frontend(number, 0).address;
    const FrontendView* one = updated.frontend(address);
    const FrontendView* other = rebuilt.frontend(address);
    REQUIRE((one == nullptr) == (other == nullptr));
    if (one == nullptr) {
      continue;
    }
    REQUIRE(one->shares.size() == other->shares.size());
    for (std::size_t i = 0; i < one->shares.size(); ++i) {
      CHECK(one->shares[i].weight == other->shares[i].weight);
      CHECK(ids_of(updated.pool_targets(one->shares[i].pool)) ==
            ids_of(rebuilt.pool_targets(other->shares[i].pool)));
    }
  }
  for (TargetId id = 1; id <= 60; ++id) {
    const RegisteredTarget* one = updated.target(static_cast<FlowToken>(1000 + id));
    const RegisteredTarget* other = rebuilt.target(static_cast<FlowToken>(1000 + id));
    REQUIRE((one == nullptr) == (other == nullptr));
    if (one != nullptr) {
      CHECK(*one == *other);
      CHECK(updated.shares_address(*one) == rebuilt.shares_address(*other));
      CHECK(sorted(updated.targets_at(one->address)) == sorted(rebuilt.targets_at(one->address)));
    }
  }
}

}  // namespace

TEST_SUITE("fleet_digest") {
  TEST_CASE("the incremental digest equals the digest of the state after random deltas") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      std::mt19937_64 random(seed);
      FleetState fleet = make_state(20, 30);
      FleetDigest digest(fleet);
      SteeringView view;
      view.reset(fleet.steering);
      for (int step = 0; step < 60; ++step) {
        const FleetDelta delta = random_delta(fleet, random);
        REQUIRE(apply_delta(fleet, delta, digest));
        view.apply(*delta.steering);
        REQUIRE(digest.value(fleet) == fleet_digest(fleet));
        for (const auto& [id, target] : fleet.steering.targets) {
          CHECK(target.id == id);
        }
      }
      check_same(view, fleet);
    }
  }

  TEST_CASE(
      "states that differ in one field have different digests, and a stale delta is rejected") {
    const FleetState fleet = make_state(3, 3);
    FleetState other = fleet;
    std::next(other.steering.targets.begin())->second.slots = 9;
    CHECK(fleet_digest(other) != fleet_digest(fleet));
    other = fleet;
    other.steering.settings.frontends[2].pools[0].weight = 1;
    CHECK(fleet_digest(other) != fleet_digest(fleet));
    other = fleet;
    other.steering.settings.version = 2;
    CHECK(fleet_digest(other) != fleet_digest(fleet));
    FleetDigest digest(fleet);
    FleetDelta stale_delta = next_delta(fleet);
    stale_delta.base = 7;
    other = fleet;
    CHECK_FALSE(apply_delta(other, stale_delta, digest));
    CHECK(other == fleet);
    CHECK(digest.value(other) == fleet_digest(fleet));
  }

  TEST_CASE("the cost of a delta does not depend on the size of the state") {
    // Guards against work proportional to the state on each delta, which delays bursts of changes.
    std::vector<std::uint64_t> allocations;
    for (const std::uint32_t size : {50, 2000}) {
      FleetState fleet = make_state(size, size);
      FleetDigest digest(fleet);
      SteeringView view;
      view.reset(fleet.steering);
      FleetDelta delta = next_delta(fleet);
      delta.steering->has_settings = true;
      delta.steering->upserted_frontends.push_back(make_frontend(7, 1));
      delta.steering->upserted_targets.push_back(make_target(9, 1));
      const std::uint64_t before = allocation_count();
      REQUIRE(apply_delta(fleet, delta, digest));
      view.apply(*delta.steering);
      CHECK(digest.value(fleet) != 0);
      allocations.push_back(allocation_count() - before);
    }
    CHECK(allocations[1] <= allocations[0] + 2);
    CHECK(allocations[1] < 80);
  }
}

}  // namespace gorsevalve
