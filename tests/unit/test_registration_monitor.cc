#include <doctest/doctest.h>

#include "core/control/registration_monitor.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const RegistrationTiming kTiming{milliseconds(4000), seconds(40), seconds(120)};

SteeringState with_target(TargetPhase phase) {
  SteeringState state;
  RegisteredTarget target;
  target.id = 5;
  target.phase = phase;
  state.put(target);
  return state;
}

}  // namespace

TEST_SUITE("registration_monitor") {
  TEST_CASE("a target becomes silent after the timeout, not after one late heartbeat") {
    RegistrationMonitor monitor(kTiming);
    monitor.on_elected(kStart);
    monitor.on_announcement({5, 0}, kStart + seconds(1));
    const SteeringState state = with_target(TargetPhase::kReady);
    CHECK(monitor.check_timeouts(state, kStart + milliseconds(4900)).empty());
    CHECK(monitor.check_timeouts(state, kStart + milliseconds(5100)).silent.size() == 1);
  }

  TEST_CASE("a new leader gives every target a full timeout") {
    RegistrationMonitor monitor(kTiming);
    monitor.on_elected(kStart);
    monitor.on_announcement({5, 0}, kStart);
    monitor.on_elected(kStart + seconds(30));
    const SteeringState state = with_target(TargetPhase::kReady);
    CHECK(monitor.check_timeouts(state, kStart + seconds(33)).empty());
    CHECK(monitor.check_timeouts(state, kStart + seconds(35)).silent.size() == 1);
  }

  TEST_CASE(
      "announcements of an earlier incarnation do not keep a later one alive on any replica") {
    RegistrationMonitor monitor(kTiming);
    monitor.on_elected(kStart);
    SteeringState state = with_target(TargetPhase::kReady);
    state.targets.at(5).started_at_ms = 200;
    monitor.on_announcement({5, 200}, kStart + seconds(1));
    // A follower that lags behind still receives the earlier incarnation.
    monitor.on_follower_report({5, 100}, kStart + seconds(4));
    CHECK(monitor.check_timeouts(state, kStart + milliseconds(5100)).silent.size() == 1);
    monitor.on_follower_report({5, 200}, kStart + seconds(4));
    CHECK(monitor.check_timeouts(state, kStart + milliseconds(5100)).empty());
  }

  TEST_CASE("the end of a later incarnation is kept as long as the end of the first") {
    RegistrationMonitor monitor(kTiming);
    monitor.on_elected(kStart);
    SteeringState state = with_target(TargetPhase::kEnded);
    state.targets.at(5).started_at_ms = 100;
    CHECK(monitor.check_timeouts(state, kStart).empty());
    state.targets.at(5).started_at_ms = 200;
    CHECK(monitor.check_timeouts(state, kStart + seconds(100)).empty());
    CHECK(monitor.check_timeouts(state, kStart + seconds(130)).empty());
    const auto phase_changes = monitor.check_timeouts(state, kStart + seconds(221));
    REQUIRE(phase_changes.removed.size() == 1);
    CHECK(phase_changes.removed[0] == TargetIncarnation{5, 200});
  }

  TEST_CASE("a silent target ends and an ended target is removed after their timeouts") {
    RegistrationMonitor monitor(kTiming);
    monitor.on_elected(kStart);
    const SteeringState silent = with_target(TargetPhase::kSilent);
    CHECK(monitor.check_timeouts(silent, kStart + seconds(39)).empty());
    CHECK(monitor.check_timeouts(silent, kStart + seconds(41)).ended.size() == 1);
    const SteeringState ended = with_target(TargetPhase::kEnded);
    CHECK(monitor.check_timeouts(ended, kStart + seconds(42)).empty());
    CHECK(monitor.check_timeouts(ended, kStart + seconds(161)).empty());
    CHECK(monitor.check_timeouts(ended, kStart + seconds(163)).removed.size() == 1);
  }
}

}  // namespace gorsevalve
