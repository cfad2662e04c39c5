#include <doctest/doctest.h>

#include <map>

#include "allocation_counter.h"
#include "codec/archive.h"
#include "core/control/control_state.h"
#include "core/control/steering_commands.h"

namespace gorsevalve {
namespace {

RegisteredTarget announce(TargetId id, std::uint64_t sequence,
                          TargetPhase phase = TargetPhase::kReady) {
  RegisteredTarget target;
  target.id = id;
  target.pool = "alpha";
  target.address = {10, static_cast<std::uint16_t>(8000 + id)};
  target.zone = "z";
  target.slots = 2;
  target.sequence = sequence;
  target.phase = phase;
  return target;
}

SteeringSettings settings(OperatorVersion version, const std::string& pool) {
  SteeringSettings result;
  result.version = version;
  result.idle_timeout_ms = 15000;
  result.pools = {{"alpha", 10}, {"beta", 10}};
  result.frontends.push_back({"f", {1, 443}, {{pool, 1}}, {}, 1000, 100});
  return result;
}

std::optional<SteeringDelta> delta_of(const SteeringState& state,
                                      const SteeringSettings& settings) {
  return steering_delta(state, settings);
}

std::optional<SteeringDelta> delta_of(const SteeringState& state,
                                      const RegistrationCommand& command) {
  return steering_delta(state, command, TokenIndex(state));
}

/// Applies a command; returns true if it changed the state.
template <typename Command>
bool apply(SteeringState& state, const Command& command) {
  const auto delta = delta_of(state, command);
  if (delta) {
    apply_steering_delta(state, *delta);
  }
  return delta.has_value();
}

RegistrationCommand announced(const RegisteredTarget& target) {
  RegistrationCommand command;
  command.announced.push_back(target);
  return command;
}

}  // namespace

TEST_SUITE("steering_commands") {
  TEST_CASE("the highest operator version wins; an older or equal version changes nothing") {
    SteeringState state;
    CHECK(apply(state, settings(7, "alpha")));
    CHECK_FALSE(apply(state, settings(7, "beta")));
    CHECK_FALSE(apply(state, settings(6, "beta")));
    CHECK(state.settings.version == 7);
    CHECK(state.settings.frontends[0].pools[0].pool == "alpha");
    CHECK(apply(state, settings(9, "beta")));
    CHECK(state.settings.version == 9);
  }

  TEST_CASE("a frontend keeps the former pools that its open flows may use") {
    SteeringState state;
    apply(state, settings(1, "alpha"));
    apply(state, settings(2, "beta"));
    REQUIRE(state.settings.frontends.size() == 1);
    CHECK(state.settings.frontends[0].former_pools == std::vector<std::string>{"alpha"});
    apply(state, settings(3, "alpha"));
    CHECK(state.settings.frontends[0].former_pools == std::vector<std::string>{"beta"});
    SteeringSettings without = settings(4, "alpha");
    without.frontends.clear();
    apply(state, without);
    apply(state, settings(5, "alpha"));
    CHECK(state.settings.frontends[0].former_pools.empty());
  }

  TEST_CASE("an out-of-order announcement does not revert a later one") {
    SteeringState state;
    CHECK(apply(state, announced(announce(5, 1))));
    CHECK(apply(state, announced(announce(5, 4, TargetPhase::kDraining))));
    CHECK_FALSE(apply(state, announced(announce(5, 3))));
    CHECK_FALSE(apply(state, announced(announce(5, 6))));
    CHECK(find_target(state, 5)->phase == TargetPhase::kDraining);
  }

  TEST_CASE("an announcement without a difference makes no change") {
    SteeringState state;
    apply(state, announced(announce(5, 1)));
    CHECK_FALSE(apply(state, announced(announce(5, 2))));
  }

  TEST_CASE("an ended target stays ended even if the end arrives before the announcement") {
    SteeringState state;
    RegistrationCommand end;
    end.ended = {{5, 0}, {6, 0}};
    apply(state, announced(announce(5, 1)));
    CHECK(apply(state, end));
    CHECK_FALSE(apply(state, announced(announce(5, 9))));
    CHECK_FALSE(apply(state, announced(announce(6, 1))));
    CHECK(find_target(state, 6)->phase == TargetPhase::kEnded);
  }

  TEST_CASE(
      "a silent target that announces itself becomes ready; only an ended target can be removed") {
    SteeringState state;
    apply(state, announced(announce(5, 1)));
    RegistrationCommand silent;
    silent.silent = {{5, 0}};
    CHECK(apply(state, silent));
    CHECK(find_target(state, 5)->phase == TargetPhase::kSilent);
    CHECK(apply(state, announced(announce(5, 2))));
    CHECK(find_target(state, 5)->phase == TargetPhase::kReady);
    RegistrationCommand removal;
    removal.removed = {{5, 0}};
    CHECK_FALSE(apply(state, removal));
    RegistrationCommand end;
    end.ended = {{5, 0}};
    apply(state, end);
    CHECK(apply(state, removal));
    CHECK(find_target(state, 5) == nullptr);
  }

  TEST_CASE("tokens are unique despite hash collisions and never change") {
    SteeringState state;
    apply(state, announced(announce(1, 1)));
    const FlowToken first = find_target(state, 1)->token;
    // Forces a hash collision: target 1 is given the token that target 2 hashes to.
    state.targets.at(1).token = static_cast<FlowToken>((2 * 0x9E3779B97F4A7C15ULL) >> 32U);
    apply(state, announced(announce(2, 1)));
    CHECK(find_target(state, 2)->token != find_target(state, 1)->token);
    CHECK(find_target(state, 2)->token != 0);
    CHECK(first != 0);
    const FlowToken kept = find_target(state, 2)->token;
    apply(state, announced(announce(2, 5, TargetPhase::kDraining)));
    CHECK(find_target(state, 2)->token == kept);
  }

  TEST_CASE("the moves and allocations of a registration do not depend on the number of targets") {
    // Guards against a cost of one registration that grows with the number of targets.
    for (const TargetId count : {1000U, 2000U, 4000U}) {
      ControlState state(8);
      RegistrationCommand many;
      for (TargetId id = 1; id <= count; ++id) {
        many.announced.push_back(announce(2 * id, 1));
      }
      state.apply({1, 1, EntryType::kRegistrations, encode_archive(many)});
      const TargetMap& targets = state.fleet().steering.targets;
      std::map<TargetId, const RegisteredTarget*> before;
      for (const auto& [id, target] : targets) {
        before[id] = &target;
      }
      const TargetId between = count + 1;
      const Bytes entry = encode_archive(announced(announce(between, 1)));
      const std::uint64_t allocations_before = allocation_count();
      state.apply({1, 2, EntryType::kRegistrations, entry});
      const std::uint64_t allocations = allocation_count() - allocations_before;
      std::size_t moved = 0;
      for (const auto& [id, target] : targets) {
        moved += id != between && before[id] != &target ? 1 : 0;
      }
      CHECK(targets.size() == count + 1);
      CHECK(moved <= 64);
      CHECK(allocations <= 32);
    }
  }

  TEST_CASE("each retained delta is found by its base revision") {
    ControlState state(8);
    for (LogIndex index = 1; index <= ControlState::kMaxDeltas + 40; ++index) {
      // Entries without a change leave gaps between revisions.
      state.apply(
          {1, 3 * index, EntryType::kRegistrations, encode_archive(announced(announce(index, 1)))});
    }
    std::size_t steps = 0;
    const Revision last = state.fleet().revision;
    Revision at = last - 3 * ControlState::kMaxDeltas;
    CHECK(state.delta_after(at - 3) == nullptr);
    CHECK(state.delta_after(at + 1) == nullptr);
    while (const FleetDelta* delta = state.delta_after(at)) {
      REQUIRE(delta->base == at);
      at = delta->revision;
      ++steps;
    }
    CHECK(at == last);
    CHECK(steps == ControlState::kMaxDeltas);
  }

  TEST_CASE("the control state keeps the submitted file across a snapshot") {
    ControlState state(8);
    const SteeringCommand command{settings(3, "alpha"), "{ the file }"};
    state.apply({1, 1, EntryType::kSteering, encode_archive(command)});
    state.apply({1, 2, EntryType::kRegistrations, encode_archive(announced(announce(5, 1)))});
    ControlState restored(8);
    restored.restore(state.save());
    CHECK(restored.steering_text() == "{ the file }");
    CHECK(restored.fleet() == state.fleet());
    CHECK(restored.digest() == state.digest());
    CHECK(restored.fleet().steering.targets.size() == 1);
  }

  TEST_CASE("a node that applies all deltas has the same state") {
    ControlState state(8);
    FleetState node = state.fleet();
    const SteeringCommand command{settings(3, "alpha"), "x"};
    state.apply({1, 1, EntryType::kSteering, encode_archive(command)});
    state.apply({1, 2, EntryType::kRegistrations, encode_archive(announced(announce(5, 1)))});
    state.apply(
        {1, 3, EntryType::kSteering, encode_archive(SteeringCommand{settings(4, "beta"), "y"})});
    while (const FleetDelta* delta = state.delta_after(node.revision)) {
      REQUIRE(apply_delta(node, *delta));
    }
    CHECK(node == state.fleet());
    CHECK(fleet_digest(node) == state.digest());
  }
}

}  // namespace gorsevalve
