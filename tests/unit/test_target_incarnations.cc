/// Restart of a target under the same id, for every order in which messages of both incarnations
/// can arrive.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "core/control/steering_commands.h"
#include "core/control/target_incarnations.h"

namespace gorsevalve {
namespace {

constexpr TargetId kId = 5;
constexpr TargetStart kFirstStart = 1'700'000'000'000;
constexpr TargetStart kSecondStart = 1'700'000'009'000;
const TargetIncarnation kFirstIncarnation{kId, kFirstStart};
const TargetIncarnation kSecondIncarnation{kId, kSecondStart};

RegisteredTarget announcement(const TargetIncarnation& target_incarnation, std::uint64_t sequence,
                              TargetPhase phase = TargetPhase::kReady) {
  RegisteredTarget target;
  target.id = target_incarnation.id;
  target.started_at_ms = target_incarnation.started_at_ms;
  target.pool = "alpha";
  // Each incarnation has its own port, which shows the one that was accepted.
  target.address = {
      10, static_cast<std::uint16_t>(target_incarnation.started_at_ms == kFirstStart ? 1 : 2)};
  target.zone = "z";
  target.sequence = sequence;
  target.phase = phase;
  return target;
}

RegistrationCommand announced(const RegisteredTarget& target) {
  RegistrationCommand command;
  command.announced.push_back(target);
  return command;
}

RegistrationCommand ended(const TargetIncarnation& target_incarnation) {
  RegistrationCommand command;
  command.ended.push_back(target_incarnation);
  return command;
}

RegistrationCommand silent(const TargetIncarnation& target_incarnation) {
  RegistrationCommand command;
  command.silent.push_back(target_incarnation);
  return command;
}

RegistrationCommand removed(const TargetIncarnation& target_incarnation) {
  RegistrationCommand command;
  command.removed.push_back(target_incarnation);
  return command;
}

void apply(SteeringState& state, const RegistrationCommand& command) {
  if (const auto delta = steering_delta(state, command, TokenIndex(state))) {
    apply_steering_delta(state, *delta);
  }
}

/// Returns the state after applying the commands in order.
SteeringState state_after(const std::vector<RegistrationCommand>& commands) {
  SteeringState state;
  for (const auto& command : commands) {
    apply(state, command);
  }
  return state;
}

/// All messages about the two incarnations, except those that only a timeout causes.
const std::array<RegistrationCommand, 9> kMessages = {
    announced(announcement(kFirstIncarnation, 1)),
    announced(announcement(kFirstIncarnation, 2)),
    announced(announcement(kFirstIncarnation, 3, TargetPhase::kDraining)),
    ended(kFirstIncarnation),
    announced(announcement(kSecondIncarnation, 1)),
    announced(announcement(kSecondIncarnation, 2)),
    announced(announcement(kSecondIncarnation, 3, TargetPhase::kDraining)),
    ended(kSecondIncarnation),
    removed(kFirstIncarnation),
};

/// Visits all permutations of some indexes of messages.
template <typename Visitor>
void for_each_permutation(std::vector<std::size_t> order, const Visitor& visit) {
  std::sort(order.begin(), order.end());
  do {
    visit(order);
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace

TEST_SUITE("target_incarnations") {
  TEST_CASE("a later start time is a later incarnation; an unknown one is the earliest") {
    CHECK(compare_incarnations(2, 1) == IncarnationOrder::kLater);
    CHECK(compare_incarnations(1, 2) == IncarnationOrder::kEarlier);
    CHECK(compare_incarnations(1, 1) == IncarnationOrder::kSame);
    CHECK(compare_incarnations(0, 1) == IncarnationOrder::kEarlier);
  }

  TEST_CASE("a restarted target is ready immediately in every phase of its earlier incarnation") {
    const RegistrationCommand ready = announced(announcement(kFirstIncarnation, 900));
    const RegistrationCommand draining =
        announced(announcement(kFirstIncarnation, 901, TargetPhase::kDraining));
    const std::vector<std::vector<RegistrationCommand>> earlier = {
        {ready},
        {ready, draining},
        {ready, silent(kFirstIncarnation)},
        {ready, ended(kFirstIncarnation)},
        {ended(kFirstIncarnation)},
    };
    for (const auto& commands : earlier) {
      SteeringState state = state_after(commands);
      apply(state, announced(announcement(kSecondIncarnation, 1)));
      const RegisteredTarget* target = find_target(state, kId);
      REQUIRE(target != nullptr);
      CHECK(target->phase == TargetPhase::kReady);
      CHECK(target->incarnation() == kSecondIncarnation);
      CHECK(target->sequence == 1);
      CHECK(target->address.port == 2);
    }
  }

  TEST_CASE("a target keeps its token across restarts and can reset flows that it does not know") {
    SteeringState state = state_after({announced(announcement(kFirstIncarnation, 1))});
    const FlowToken token = find_target(state, kId)->token;
    apply(state, announced(announcement(kSecondIncarnation, 1)));
    CHECK(find_target(state, kId)->token == token);
  }

  TEST_CASE("no order of messages lets an incarnation revert a later one") {
    std::vector<std::size_t> all(kMessages.size());
    std::iota(all.begin(), all.end(), 0);
    std::size_t orders = 0;
    std::size_t reverted = 0;
    for_each_permutation(all, [&](const std::vector<std::size_t>& order) {
      ++orders;
      SteeringState state;
      bool has_second = false;
      TargetPhase latest = TargetPhase::kReady;
      for (const std::size_t message : order) {
        apply(state, kMessages[message]);
        const RegisteredTarget* target = find_target(state, kId);
        const bool is_second = target != nullptr && target->incarnation() == kSecondIncarnation;
        reverted += has_second && (!is_second || target->phase < latest) ? 1 : 0;
        has_second = has_second || is_second;
        latest = is_second ? target->phase : TargetPhase::kReady;
      }
      // The messages include the end of the second incarnation.
      reverted += find_target(state, kId)->phase == TargetPhase::kEnded ? 0 : 1;
    });
    constexpr std::size_t kOrders = 362880;  // 9!
    CHECK(orders == kOrders);
    CHECK(reverted == 0);
  }

  TEST_CASE("the second incarnation is accepted and ready in every order without its end") {
    for_each_permutation({0, 1, 2, 3, 4, 5, 8}, [&](const std::vector<std::size_t>& order) {
      SteeringState state;
      for (const std::size_t message : order) {
        apply(state, kMessages[message]);
      }
      const RegisteredTarget* target = find_target(state, kId);
      REQUIRE(target != nullptr);
      REQUIRE(target->incarnation() == kSecondIncarnation);
      REQUIRE(target->phase == TargetPhase::kReady);
      REQUIRE(target->address.port == 2);
    });
  }

  TEST_CASE("a change of an incarnation does not affect a later one that precedes it in the log") {
    const RegistrationCommand first = announced(announcement(kFirstIncarnation, 7));
    const RegistrationCommand second = announced(announcement(kSecondIncarnation, 1));
    for (const auto& change :
         {silent(kFirstIncarnation), ended(kFirstIncarnation), removed(kFirstIncarnation)}) {
      const SteeringState state = state_after({first, second, change});
      REQUIRE(find_target(state, kId) != nullptr);
      CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
    }
    // The same holds within one log entry.
    RegistrationCommand both = second;
    both.ended.push_back(kFirstIncarnation);
    CHECK(find_target(state_after({first, both}), kId)->phase == TargetPhase::kReady);
  }

  TEST_CASE(
      "a target whose clock was set back is accepted once its earlier incarnation is silent") {
    SteeringState state = state_after({announced(announcement(kSecondIncarnation, 50))});
    apply(state, announced(announcement(kFirstIncarnation, 1)));
    CHECK(find_target(state, kId)->incarnation() == kSecondIncarnation);
    apply(state, silent(kSecondIncarnation));
    apply(state, announced(announcement(kFirstIncarnation, 2)));
    CHECK(find_target(state, kId)->incarnation() == kFirstIncarnation);
    CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
  }

  TEST_CASE("a late duplicate does not revert the acknowledged phase of a leaving incarnation") {
    const SteeringState leaving =
        state_after({announced(announcement(kSecondIncarnation, 1)),
                     announced(announcement(kSecondIncarnation, 2, TargetPhase::kDraining)),
                     announced(announcement(kFirstIncarnation, 90))});
    CHECK(find_target(leaving, kId)->phase == TargetPhase::kDraining);
    const SteeringState gone =
        state_after({announced(announcement(kSecondIncarnation, 1)), ended(kSecondIncarnation),
                     announced(announcement(kSecondIncarnation, 9)),
                     announced(announcement(kFirstIncarnation, 90))});
    CHECK(find_target(gone, kId)->phase == TargetPhase::kEnded);
    CHECK(find_target(gone, kId)->incarnation() == kSecondIncarnation);
  }

  TEST_CASE("without a start time, sequence numbers alone determine the order") {
    const TargetIncarnation unknown{kId, 0};
    SteeringState state = state_after({announced(announcement(unknown, 9))});
    apply(state, announced(announcement(unknown, 1, TargetPhase::kDraining)));
    CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
    apply(state, announced(announcement(unknown, 10, TargetPhase::kDraining)));
    CHECK(find_target(state, kId)->phase == TargetPhase::kDraining);
    apply(state, announced(announcement(kFirstIncarnation, 1)));
    CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
  }
}

}  // namespace gorsevalve
