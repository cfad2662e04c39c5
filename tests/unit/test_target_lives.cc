/// Lives of targets: one that starts again under its id, in every order in which messages of both
/// lives can arrive.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "core/control/steering_commands.h"
#include "core/control/target_lives.h"

namespace gorsevalve {
namespace {

constexpr TargetId kId = 5;
constexpr TargetStart kFirstStart = 1'700'000'000'000;
constexpr TargetStart kSecondStart = 1'700'000'009'000;
const TargetLife kFirstLife{kId, kFirstStart};
const TargetLife kSecondLife{kId, kSecondStart};

RegisteredTarget announcement(const TargetLife& life, std::uint64_t sequence,
                              TargetPhase phase = TargetPhase::kReady) {
  RegisteredTarget target;
  target.id = life.id;
  target.started_at_ms = life.started_at_ms;
  target.pool = "alpha";
  // Each life has a port of its own, so that what is believed shows.
  target.address = {10, static_cast<std::uint16_t>(life.started_at_ms == kFirstStart ? 1 : 2)};
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

RegistrationCommand ended(const TargetLife& life) {
  RegistrationCommand command;
  command.ended.push_back(life);
  return command;
}

RegistrationCommand silent(const TargetLife& life) {
  RegistrationCommand command;
  command.silent.push_back(life);
  return command;
}

RegistrationCommand forgotten(const TargetLife& life) {
  RegistrationCommand command;
  command.forgotten.push_back(life);
  return command;
}

void apply(SteeringState& state, const RegistrationCommand& command) {
  if (const auto delta = steering_delta(state, command, TokenIndex(state))) {
    apply_steering_delta(state, *delta);
  }
}

/// The state after all these, one after the other.
SteeringState after(const std::vector<RegistrationCommand>& commands) {
  SteeringState state;
  for (const auto& command : commands) {
    apply(state, command);
  }
  return state;
}

/// All that the two lives and the leader may say, but for what only follows from a silence.
const std::array<RegistrationCommand, 9> kMessages = {
    announced(announcement(kFirstLife, 1)),
    announced(announcement(kFirstLife, 2)),
    announced(announcement(kFirstLife, 3, TargetPhase::kDraining)),
    ended(kFirstLife),
    announced(announcement(kSecondLife, 1)),
    announced(announcement(kSecondLife, 2)),
    announced(announcement(kSecondLife, 3, TargetPhase::kDraining)),
    ended(kSecondLife),
    forgotten(kFirstLife),
};

/// Runs all orders of some messages, given by their places.
template <typename Visitor>
void visit_orders(std::vector<std::size_t> order, const Visitor& visit) {
  std::sort(order.begin(), order.end());
  do {
    visit(order);
  } while (std::next_permutation(order.begin(), order.end()));
}

}  // namespace

TEST_SUITE("target_lives") {
  TEST_CASE("a later start is a later life; none at all is the earliest") {
    CHECK(compare_lives(2, 1) == LifeOrder::kLater);
    CHECK(compare_lives(1, 2) == LifeOrder::kEarlier);
    CHECK(compare_lives(1, 1) == LifeOrder::kSame);
    CHECK(compare_lives(0, 1) == LifeOrder::kEarlier);
  }

  TEST_CASE("a target that starts again is used at once, whatever its earlier life was at") {
    const RegistrationCommand ready = announced(announcement(kFirstLife, 900));
    const RegistrationCommand draining =
        announced(announcement(kFirstLife, 901, TargetPhase::kDraining));
    const std::vector<std::vector<RegistrationCommand>> earlier = {
        {ready},
        {ready, draining},
        {ready, silent(kFirstLife)},
        {ready, ended(kFirstLife)},
        {ended(kFirstLife)},
    };
    for (const auto& commands : earlier) {
      SteeringState state = after(commands);
      apply(state, announced(announcement(kSecondLife, 1)));
      const RegisteredTarget* target = find_target(state, kId);
      REQUIRE(target != nullptr);
      CHECK(target->phase == TargetPhase::kReady);
      CHECK(target->life() == kSecondLife);
      CHECK(target->sequence == 1);
      CHECK(target->address.port == 2);
    }
  }

  TEST_CASE(
      "a target keeps its token over its lives, so that it can refuse flows it doesn't hold") {
    SteeringState state = after({announced(announcement(kFirstLife, 1))});
    const FlowToken token = find_target(state, kId)->token;
    apply(state, announced(announcement(kSecondLife, 1)));
    CHECK(find_target(state, kId)->token == token);
  }

  TEST_CASE("in every order of both lives' messages, nothing of a life undoes a later one") {
    std::vector<std::size_t> all(kMessages.size());
    std::iota(all.begin(), all.end(), 0);
    std::size_t orders = 0;
    std::size_t undone = 0;
    visit_orders(all, [&](const std::vector<std::size_t>& order) {
      ++orders;
      SteeringState state;
      bool has_second = false;
      TargetPhase latest = TargetPhase::kReady;
      for (const std::size_t message : order) {
        apply(state, kMessages[message]);
        const RegisteredTarget* target = find_target(state, kId);
        const bool is_second = target != nullptr && target->life() == kSecondLife;
        undone += has_second && (!is_second || target->phase < latest) ? 1 : 0;
        has_second = has_second || is_second;
        latest = is_second ? target->phase : TargetPhase::kReady;
      }
      // The end of the second life was among them.
      undone += find_target(state, kId)->phase == TargetPhase::kEnded ? 0 : 1;
    });
    constexpr std::size_t kOrders = 362880;  // 9!
    CHECK(orders == kOrders);
    CHECK(undone == 0);
  }

  TEST_CASE("in every order without its end, the second life is ready and all that is believed") {
    visit_orders({0, 1, 2, 3, 4, 5, 8}, [&](const std::vector<std::size_t>& order) {
      SteeringState state;
      for (const std::size_t message : order) {
        apply(state, kMessages[message]);
      }
      const RegisteredTarget* target = find_target(state, kId);
      REQUIRE(target != nullptr);
      REQUIRE(target->life() == kSecondLife);
      REQUIRE(target->phase == TargetPhase::kReady);
      REQUIRE(target->address.port == 2);
    });
  }

  TEST_CASE("conclusions about a life do not touch a later one that came before them in the log") {
    const RegistrationCommand first = announced(announcement(kFirstLife, 7));
    const RegistrationCommand second = announced(announcement(kSecondLife, 1));
    for (const auto& conclusion : {silent(kFirstLife), ended(kFirstLife), forgotten(kFirstLife)}) {
      const SteeringState state = after({first, second, conclusion});
      REQUIRE(find_target(state, kId) != nullptr);
      CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
    }
    // Also within one entry.
    RegistrationCommand both = second;
    both.ended.push_back(kFirstLife);
    CHECK(find_target(after({first, both}), kId)->phase == TargetPhase::kReady);
  }

  TEST_CASE("a target whose clock was set back is believed once its earlier life is silent") {
    SteeringState state = after({announced(announcement(kSecondLife, 50))});
    apply(state, announced(announcement(kFirstLife, 1)));
    CHECK(find_target(state, kId)->life() == kSecondLife);
    apply(state, silent(kSecondLife));
    apply(state, announced(announcement(kFirstLife, 2)));
    CHECK(find_target(state, kId)->life() == kFirstLife);
    CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
  }

  TEST_CASE("what was acknowledged of a leaving life is not undone by a late copy") {
    const SteeringState leaving =
        after({announced(announcement(kSecondLife, 1)),
               announced(announcement(kSecondLife, 2, TargetPhase::kDraining)),
               announced(announcement(kFirstLife, 90))});
    CHECK(find_target(leaving, kId)->phase == TargetPhase::kDraining);
    const SteeringState gone =
        after({announced(announcement(kSecondLife, 1)), ended(kSecondLife),
               announced(announcement(kSecondLife, 9)), announced(announcement(kFirstLife, 90))});
    CHECK(find_target(gone, kId)->phase == TargetPhase::kEnded);
    CHECK(find_target(gone, kId)->life() == kSecondLife);
  }

  TEST_CASE("of a target that doesn't tell its start, counts alone decide") {
    const TargetLife unknown{kId, 0};
    SteeringState state = after({announced(announcement(unknown, 9))});
    apply(state, announced(announcement(unknown, 1, TargetPhase::kDraining)));
    CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
    apply(state, announced(announcement(unknown, 10, TargetPhase::kDraining)));
    CHECK(find_target(state, kId)->phase == TargetPhase::kDraining);
    apply(state, announced(announcement(kFirstLife, 1)));
    CHECK(find_target(state, kId)->phase == TargetPhase::kReady);
  }
}

}  // namespace gorsevalve
