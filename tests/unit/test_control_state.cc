#include <doctest/doctest.h>

#include "codec/archive.h"
#include "core/control/control_state.h"

namespace gorsevalve {
namespace {

Settings make_settings(std::uint32_t weight) {
  Settings settings;
  settings.deployment = "d";
  Service service;
  service.name = "s";
  service.address = {0x0A000001, 5683};
  service.targets.push_back({});
  service.targets.back().weight = weight;
  settings.services.push_back(service);
  return settings;
}

LogEntry submission(LogIndex index, const std::string& id, Revision base, std::uint32_t weight) {
  SettingsCommand command;
  command.id = id;
  command.base_revision = base;
  command.text = id;
  command.settings = make_settings(weight);
  return {1, index, EntryType::kSettings, encode_archive(command)};
}

LogEntry members(LogIndex index, const std::vector<Member>& upserted,
                 const std::vector<Endpoint>& removed) {
  return {1, index, EntryType::kMembers, encode_archive(MembersCommand{upserted, removed})};
}

Member make_member(std::uint32_t address, std::uint64_t incarnation) {
  return {"m", "z", {address, 6000}, incarnation, MemberState::kActive};
}

constexpr std::uint32_t kPartitions = 16;

}  // namespace

TEST_SUITE("control_state") {
  TEST_CASE(
      "of two submissions on one base, the first is accepted and the second reports a conflict") {
    ControlState state(kPartitions);
    state.apply(submission(1, "a", 0, 10));
    state.apply(submission(2, "b", 0, 20));
    CHECK(state.outcome("a") == SubmissionOutcome{"a", true, 1, "a"});
    CHECK(state.outcome("b") == SubmissionOutcome{"b", false, 1, "a"});
    CHECK(state.fleet().settings.services[0].targets[0].weight == 10);
  }

  TEST_CASE("a repeated submission has no effect") {
    ControlState state(kPartitions);
    state.apply(submission(1, "a", 0, 10));
    state.apply(submission(2, "b", 1, 20));
    state.apply(submission(3, "a", 0, 10));
    CHECK(state.fleet().settings_revision == 2);
    CHECK(state.outcome("a")->revision == 1);
  }

  TEST_CASE("outcomes, history and digest survive a snapshot") {
    ControlState state(kPartitions);
    state.apply(submission(1, "a", 0, 10));
    state.apply(members(2, {make_member(1, 5)}, {}));
    ControlState restored(kPartitions);
    restored.restore(state.save());
    CHECK(restored.digest() == state.digest());
    CHECK(restored.outcome("a") == state.outcome("a"));
    CHECK(restored.history().size() == 1);
    restored.apply(submission(3, "a", 0, 10));
    CHECK(restored.fleet().settings_revision == 1);
  }

  TEST_CASE("applying all deltas gives the same state as the state machine") {
    ControlState state(kPartitions);
    FleetState follower = state.fleet();
    Revision base = 0;
    for (LogIndex index = 1; index <= 300; ++index) {
      if (index % 3 == 0) {
        const auto number = static_cast<std::uint32_t>(index % 7);
        state.apply(members(index, {make_member(number, index)}, {{number + 1, 6000}}));
      } else {
        state.apply(submission(index, "s" + std::to_string(index), base,
                               static_cast<std::uint32_t>(index)));
        base = index;
      }
      REQUIRE(apply_delta(follower, *state.delta_after(follower.revision)));
    }
    CHECK(fleet_digest(follower) == state.digest());
    CHECK(follower == state.fleet());
    CHECK(state.delta_after(1) == nullptr);
  }

  TEST_CASE("a delta for another base revision is rejected") {
    FleetState fleet;
    fleet.revision = 5;
    FleetDelta delta;
    delta.base = 4;
    delta.revision = 6;
    CHECK_FALSE(apply_delta(fleet, delta));
    CHECK(fleet.revision == 5);
  }
}

}  // namespace gorsevalve
