#include <doctest/doctest.h>

#include "core/control/registration_monitor.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr Endpoint kAddress{10, 8080};
constexpr milliseconds kHeartbeatInterval{1200};

RegisteredTarget target_at(TargetId id, const Endpoint& address,
                           TargetPhase phase = TargetPhase::kReady) {
  RegisteredTarget target;
  target.id = id;
  target.token = static_cast<FlowToken>(100 + id);
  target.pool = id % 2 == 0 ? "beta" : "alpha";
  target.address = address;
  target.phase = phase;
  return target;
}

/// A leader that observes targets.
struct Leader {
  Leader() {
    state.settings.pools = {{"alpha", 9}, {"beta", 9}};
    monitor.on_elected(kStart);
  }

  /// Targets in `heard` announce themselves at each heartbeat interval, while the leader checks
  /// timeouts twice a second. Returns the targets that were reported as replaced.
  std::vector<TargetId> run(Duration time, const std::vector<TargetId>& heard) {
    std::vector<TargetId> replaced;
    Instant next_heartbeat = now;
    for (const Instant end = now + time; now < end; now += milliseconds(500)) {
      if (now >= next_heartbeat) {
        next_heartbeat += kHeartbeatInterval;
        for (const TargetId id : heard) {
          hear(id);
        }
      }
      for (const auto& incarnation : monitor.check_timeouts(state, now).replaced) {
        replaced.push_back(incarnation.id);
        state.targets.at(incarnation.id).phase = TargetPhase::kReplaced;
      }
    }
    return replaced;
  }
  void hear(TargetId id) { monitor.on_announcement({id, 0}, now); }

  RegistrationMonitor monitor{RegistrationTiming{}};
  SteeringState state;
  Instant now = kStart;
};

}  // namespace

TEST_SUITE("address_holders") {
  TEST_CASE("the only target that is heard for a heartbeat timeout holds the address") {
    // Guards against packets for a crashed target that go on after another target got its address.
    Leader leader;
    leader.state.put(target_at(1, kAddress));
    leader.run(seconds(3), {1});
    leader.now += milliseconds(2500);
    leader.state.put(target_at(2, kAddress));
    CHECK(leader.run(seconds(3), {2}).empty());
    CHECK(leader.run(seconds(3), {2}) == std::vector<TargetId>{1});
    CHECK(leader.run(seconds(20), {2}).empty());
  }

  TEST_CASE("a delayed heartbeat of a crashed target does not take the address") {
    // Guards against taking the living holder for gone since the other one registered later.
    Leader leader;
    leader.state.put(target_at(1, kAddress));
    leader.run(seconds(10), {1});
    leader.state.put(target_at(2, kAddress));
    leader.hear(2);
    CHECK(leader.run(seconds(3), {1}).empty());
    CHECK(leader.run(seconds(6), {1}) == std::vector<TargetId>{2});
  }

  TEST_CASE("a target that announced its end and serves on is not replaced by one heartbeat") {
    Leader leader;
    leader.state.put(target_at(1, kAddress));
    leader.run(seconds(10), {1});
    leader.state.put(target_at(1, kAddress, TargetPhase::kEnded));
    leader.now += seconds(6);
    leader.state.put(target_at(2, kAddress));
    leader.hear(2);
    CHECK(leader.run(seconds(30), {}).empty());
  }

  TEST_CASE("heartbeats that arrive far apart do not take the address") {
    // Guards against a target that is cut off from the leader while delayed heartbeats of a crashed
    // one arrive.
    Leader leader;
    leader.state.put(target_at(1, kAddress));
    leader.state.put(target_at(2, kAddress));
    leader.run(seconds(2), {1});
    for (int delayed = 0; delayed < 3; ++delayed) {
      leader.hear(2);
      CHECK(leader.run(seconds(5), {}).empty());
    }
  }

  TEST_CASE("targets that are both heard keep the address undecided") {
    Leader leader;
    leader.state.put(target_at(1, kAddress));
    leader.state.put(target_at(2, kAddress));
    CHECK(leader.run(seconds(60), {1, 2}).empty());
    CHECK(leader.run(seconds(6), {2}) == std::vector<TargetId>{1});
  }

  TEST_CASE("a target of a pool that is not configured replaces no other") {
    // Guards against another writer that announces the address of a target.
    Leader leader;
    leader.state.put(target_at(1, kAddress, TargetPhase::kEnded));
    leader.state.put(target_at(2, kAddress));
    leader.state.targets.at(2).pool = "unknown";
    CHECK(leader.run(seconds(30), {2}).empty());
    leader.state.settings.pools.push_back({"unknown", 9});
    CHECK(leader.run(seconds(6), {2}) == std::vector<TargetId>{1});
  }

  TEST_CASE("a new leader observes for the whole time again") {
    Leader leader;
    leader.state.put(target_at(1, kAddress, TargetPhase::kEnded));
    leader.state.put(target_at(2, kAddress));
    CHECK(leader.run(seconds(3), {2}).empty());
    leader.monitor.on_elected(leader.now);
    CHECK(leader.run(seconds(3), {2}).empty());
    CHECK(leader.run(seconds(3), {2}) == std::vector<TargetId>{1});
  }

  TEST_CASE("of three targets at an address the one that is heard remains") {
    Leader leader;
    leader.state.put(target_at(1, kAddress, TargetPhase::kEnded));
    leader.state.put(target_at(2, kAddress, TargetPhase::kSilent));
    leader.state.put(target_at(3, kAddress));
    leader.state.put(target_at(4, {11, 8080}));
    CHECK(leader.run(seconds(6), {3, 4}) == std::vector<TargetId>{1, 2});
  }

  TEST_CASE("a replaced target is removed after the time for which ended ones are kept") {
    Leader leader;
    leader.state.put(target_at(1, kAddress, TargetPhase::kReplaced));
    CHECK(leader.monitor.check_timeouts(leader.state, kStart).removed.empty());
    CHECK(leader.monitor.check_timeouts(leader.state, kStart + seconds(121)).removed.size() == 1);
  }

  TEST_CASE("a target is replaced once a balancer saw a flow opening at another one") {
    // Guards against letting clients of a target that crashed wait for as long as heartbeats need
    // to show it, although a balancer knows already.
    Leader leader;
    leader.state.put(target_at(1, kAddress));
    leader.state.put(target_at(2, kAddress));
    leader.hear(1);
    leader.now += seconds(1);
    leader.hear(2);
    TargetStatistics observed;
    observed.token = leader.state.targets.at(1).token;
    observed.replaced = 0;
    SUBCASE("the one that was heard last stays") {
      leader.now += milliseconds(10);
      leader.hear(1);
      leader.monitor.on_observations({observed}, leader.state);
      CHECK(leader.run(milliseconds(500), {}).empty());
    }
    SUBCASE("another incarnation stays") {
      observed.replaced = 77;
      leader.monitor.on_observations({observed}, leader.state);
      CHECK(leader.run(milliseconds(500), {}).empty());
    }
    SUBCASE("a new leader needs a new observation") {
      leader.monitor.on_observations({observed}, leader.state);
      leader.monitor.on_elected(leader.now);
      leader.hear(2);
      CHECK(leader.run(milliseconds(500), {}).empty());
    }
    SUBCASE("it is replaced at the next check") {
      leader.monitor.on_observations({observed}, leader.state);
      CHECK(leader.run(milliseconds(500), {}) == std::vector<TargetId>{1});
    }
    SUBCASE("at an address of its own it stays") {
      leader.state.targets.at(2).address.port += 1;
      leader.monitor.on_observations({observed}, leader.state);
      CHECK(leader.run(milliseconds(500), {}).empty());
    }
  }
}

}  // namespace gorsevalve
