#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "allocation_counter.h"
#include "codec/archive.h"
#include "control_cluster.h"
#include "core/control/balancer_ranking.h"
#include "core/steering/flow_steering.h"
#include "core/steering/warm_up_budget.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr TargetId kCold = 7;
constexpr Endpoint kFrontend{0xC6120001, 443};

ColdTarget cold_target(double flows_per_s, Duration warm_up) {
  return {kCold, 1007, flows_per_s, kStart + warm_up};
}

/// Flows that a balancer places at the cold target when one comes each 10 ms.
std::vector<Instant> placed(WarmUpBudget& budget, Instant from, Instant to) {
  std::vector<Instant> result;
  for (Instant now = from; now < to; now += milliseconds(10)) {
    if (budget.admission(kCold, now) == WarmUpAdmission::kOwnTurn) {
      budget.on_placed(kCold, now);
      result.push_back(now);
    }
  }
  return result;
}

/// Flows that all balancers of a fleet place in ten seconds.
std::size_t placed_by_all(std::uint32_t count, double flows_per_s) {
  std::size_t sum = 0;
  for (std::uint32_t number = 0; number < count; ++number) {
    WarmUpBudget budget;
    budget.set_rank({number, count}, kStart);
    budget.add(cold_target(flows_per_s, seconds(20)), kStart);
    sum += placed(budget, kStart, kStart + seconds(10)).size();
  }
  return sum;
}

SteeringState pool_of(std::vector<RegisteredTarget> targets, std::uint32_t cold_flows_per_1000_s) {
  SteeringState state;
  state.settings.version = 1;
  state.settings.idle_timeout_ms = 60000;
  Pool pool{"alpha", 9};
  pool.cold_flows_per_1000_s = cold_flows_per_1000_s;
  state.settings.pools = {pool};
  state.settings.frontends.push_back({"f", kFrontend, {{"alpha", 1}}, {}, 1000, 100});
  for (auto& target : targets) {
    state.put(std::move(target));
  }
  return state;
}

RegisteredTarget target(TargetId id, std::uint32_t warm_up_ms) {
  RegisteredTarget one;
  one.id = id;
  one.token = static_cast<FlowToken>(1000 + id);
  one.pool = "alpha";
  one.address = {10, static_cast<std::uint16_t>(8000 + id)};
  one.warm_up_ms = warm_up_ms;
  return one;
}

SteeringDelta upsert(const RegisteredTarget& one) {
  SteeringDelta delta;
  delta.upserted_targets.push_back(one);
  return delta;
}

struct Fixture {
  FlowSteering steering{7};
  Instant now = kStart;
  std::uint32_t callers = 0;

  explicit Fixture(const SteeringState& state) {
    steering.adopt(state, now);
    steering.confirm(now);
  }
  SteeringDecision open() {
    ClientPacket packet;
    packet.flow = {{0x64400000 + ++callers, 1}, kFrontend};
    packet.opens = true;
    return steering.on_packet(packet, now);
  }
  /// Flows at each target when one comes each 10 ms.
  std::map<TargetId, int> open_for(Duration time) {
    std::map<TargetId, int> flows;
    for (const Instant end = now + time; now < end; now += milliseconds(10)) {
      const SteeringDecision decision = open();
      ++flows[decision.target == nullptr ? 0 : decision.target->id];
    }
    return flows;
  }
};

}  // namespace

TEST_SUITE("warm_up_budget") {
  TEST_CASE("the turns of all balancers together are four fifths of the rate") {
    CHECK(placed_by_all(1, 5) == 40);
    CHECK(placed_by_all(2, 5) == 40);
    // The last turn may begin after the last flow.
    CHECK(placed_by_all(80, 5) >= 39);
    CHECK(placed_by_all(80, 5) <= 40);
    CHECK(placed_by_all(750, 5) >= 39);
    CHECK(placed_by_all(750, 5) <= 40);
    CHECK(placed_by_all(80, 0.5) >= 3);
    CHECK(placed_by_all(80, 0.5) <= 4);
  }

  TEST_CASE("turns that nobody used are not saved up") {
    WarmUpBudget budget;
    budget.set_rank({0, 1}, kStart);
    budget.add(cold_target(1, seconds(20)), kStart);
    CHECK(placed(budget, kStart + seconds(10), kStart + seconds(11)).size() <= 2);
  }

  TEST_CASE("without a place, or with an old one, a cold target takes nothing from here") {
    WarmUpBudget budget;
    budget.add(cold_target(100, seconds(100)), kStart);
    CHECK(placed(budget, kStart, kStart + seconds(5)).empty());
    budget.set_rank({0, 1}, kStart + seconds(5));
    CHECK(!placed(budget, kStart + seconds(5), kStart + seconds(6)).empty());
    budget.set_rank({0, 0}, kStart + seconds(30));
    CHECK(!placed(budget, kStart + seconds(30), kStart + seconds(31)).empty());
    CHECK(placed(budget, kStart + seconds(36), kStart + seconds(40)).empty());
  }

  TEST_CASE("places that cannot be true change nothing or little, and are counted") {
    WarmUpBudget budget;
    budget.add(cold_target(10, seconds(100)), kStart);
    budget.set_rank({3, 80}, kStart);
    budget.set_rank({80, 80}, kStart);
    budget.set_rank({0, 4000000000U}, kStart);
    CHECK(budget.rank() == BalancerRank{3, 80});
    CHECK(budget.counters().implausible_ranks == 2);
    // A count that falls to less than half is believed by half until lost balancers are forgotten.
    budget.set_rank({0, 1}, kStart + seconds(1));
    CHECK(budget.rank() == BalancerRank{0, 40});
    budget.set_rank({0, 1}, kStart + seconds(2));
    CHECK(budget.rank() == BalancerRank{0, 40});
    CHECK(budget.counters().implausible_ranks == 4);
    budget.set_rank({0, 1}, kStart + seconds(61));
    CHECK(budget.rank() == BalancerRank{0, 1});
  }

  TEST_CASE("one flow a turn, also while numbers change without pause") {
    WarmUpBudget budget;
    budget.add(cold_target(5, seconds(100)), kStart);
    std::size_t flows = 0;
    for (int step = 0; step < 1000; ++step) {
      const Instant now = kStart + milliseconds(10) * step;
      budget.set_rank({static_cast<std::uint32_t>(step * 31 % 80), 80}, now);
      flows += placed(budget, now, now + milliseconds(10)).size();
    }
    // A round of 80 takes 20 s, and half of one passes at least between two flows.
    CHECK(flows <= 1);
  }

  TEST_CASE("a target that is warm or forgotten costs nothing") {
    WarmUpBudget budget;
    budget.set_rank({0, 1}, kStart);
    budget.add(cold_target(100, seconds(2)), kStart);
    CHECK(budget.admission(kCold + 1, kStart) == WarmUpAdmission::kUnrestricted);
    const auto flows =
        static_cast<std::uint32_t>(placed(budget, kStart, kStart + seconds(2)).size());
    CHECK(flows > 100);
    CHECK(budget.admission(kCold, kStart + seconds(2)) == WarmUpAdmission::kUnrestricted);
    const auto warmed = budget.take_warmed(kStart + seconds(2));
    REQUIRE(warmed.size() == 1);
    CHECK(warmed[0].id == kCold);
    CHECK(warmed[0].flows == flows);
    CHECK(budget.is_empty());
    budget.add(cold_target(100, seconds(9)), kStart);
    budget.forget(kCold);
    CHECK(budget.is_empty());
  }

  TEST_CASE("a cold target takes its turns, and the rest goes to warm ones") {
    Fixture test(pool_of({target(1, 0), target(2, 0)}, 5000));
    test.steering.set_balancer_rank({0, 2}, test.now);
    test.steering.apply(upsert(target(3, 4000)), test.now);
    CHECK(test.steering.take_newly_cold() == std::vector<TargetId>{3});
    auto flows = test.open_for(seconds(4));
    CHECK(flows[0] == 0);
    CHECK(flows[3] >= 6);
    CHECK(flows[3] <= 8);
    CHECK(test.steering.warm_up().counters().placed == static_cast<std::uint64_t>(flows[3]));
    CHECK(test.steering.warm_up().counters().passed_over > 300);
    CHECK(test.steering.warm_up().counters().refused == 0);
    test.steering.on_tick(test.now);
    REQUIRE(test.steering.take_warmed(test.now).size() == 1);
    flows = test.open_for(seconds(4));
    CHECK(flows[3] > 100);
  }

  TEST_CASE("without a bound nothing changes") {
    Fixture test(pool_of({target(1, 0)}, 0));
    test.steering.apply(upsert(target(2, 4000)), test.now);
    CHECK(test.steering.warm_up().is_empty());
    CHECK(test.open_for(seconds(1))[2] > 20);
  }

  TEST_CASE("where all are cold, flows beyond the budget are refused at once") {
    Fixture test(pool_of({}, 10000));
    test.steering.set_balancer_rank({0, 1}, test.now);
    test.steering.apply(upsert(target(1, 4000)), test.now);
    auto flows = test.open_for(seconds(2));
    CHECK(flows[1] >= 15);
    CHECK(flows[1] <= 16);
    CHECK(test.steering.warm_up().counters().refused == static_cast<std::uint64_t>(flows[0]));
    CHECK(test.open().action == SteeringAction::kReset);
    // A target that cannot be reached is no better.
    test.now += seconds(3);
    flows = test.open_for(milliseconds(100));
    CHECK(flows[0] == 0);
  }

  TEST_CASE("the other pools of a frontend take what a cold pool may not") {
    SteeringState state = pool_of({}, 1000);
    state.settings.pools.push_back({"beta", 9});
    state.settings.frontends[0].pools = {{"alpha", 9}, {"beta", 1}};
    RegisteredTarget other = target(1, 0);
    other.pool = "beta";
    state.targets.clear();
    state.put(other);
    Fixture test(state);
    test.steering.set_balancer_rank({0, 1}, test.now);
    test.steering.apply(upsert(target(2, 4000)), test.now);
    auto flows = test.open_for(seconds(2));
    CHECK(flows[0] == 0);
    CHECK(flows[1] >= 197);
    CHECK(test.steering.warm_up().counters().refused == 0);
  }

  TEST_CASE("a starting balancer serves from targets whose age it does not know, warm ones first") {
    Fixture all_found(pool_of({target(1, 4000), target(2, 4000)}, 1000));
    CHECK(all_found.open_for(seconds(1))[0] == 0);
    Fixture some_warm(pool_of({target(1, 4000), target(2, 0)}, 1000));
    CHECK(some_warm.open_for(seconds(1))[2] == 100);
    // A silent target is worse than one that may be cold.
    RegisteredTarget silent = target(2, 0);
    silent.phase = TargetPhase::kSilent;
    Fixture some_silent(pool_of({target(1, 4000), silent}, 1000));
    CHECK(some_silent.open_for(seconds(1))[1] == 100);
  }

  TEST_CASE("a copy that meets another target counts there") {
    Fixture test(pool_of({target(1, 0)}, 1000));
    test.steering.set_balancer_rank({0, 1}, test.now);
    test.steering.apply(upsert(target(2, 9000)), test.now);
    test.now += milliseconds(1300);
    while (test.steering.warm_up().admission(2, test.now) != WarmUpAdmission::kOtherTurn) {
      test.now += milliseconds(10);
    }
    ClientPacket packet;
    packet.flow = {{0x64500000, 1}, kFrontend};
    packet.opens = true;
    REQUIRE(test.steering.on_packet(packet, test.now).target->id == 1);
    while (test.steering.warm_up().admission(2, test.now) != WarmUpAdmission::kOwnTurn) {
      test.now += milliseconds(10);
    }
    packet.retransmissions = 2;
    const SteeringDecision again = test.steering.on_packet(packet, test.now);
    REQUIRE(again.target->id == 2);
    CHECK(test.steering.warm_up().counters().placed == 1);
    CHECK(test.steering.warm_up().admission(2, test.now) == WarmUpAdmission::kOtherTurn);
  }

  TEST_CASE("new settings change the rate of targets that are cold, or lift the bound") {
    const SteeringState state = pool_of({target(1, 0)}, 1000);
    Fixture test(state);
    test.steering.apply(upsert(target(2, 60000)), test.now);
    CHECK(test.steering.warm_up().contains(2));
    SteeringDelta lifted;
    lifted.has_settings = true;
    lifted.version = 2;
    lifted.idle_timeout_ms = 60000;
    lifted.pools = {{"alpha", 9}};
    test.steering.apply(lifted, test.now);
    CHECK(test.steering.warm_up().is_empty());
  }

  TEST_CASE("placing at warm targets allocates nothing for a budget") {
    WarmUpBudget budget;
    budget.set_rank({0, 1}, kStart);
    budget.add(cold_target(5, seconds(20)), kStart);
    const std::uint64_t before = allocation_count();
    std::uint32_t free = 0;
    for (TargetId id = 100; id < 1100; ++id) {
      free += budget.admission(id, kStart) == WarmUpAdmission::kUnrestricted ? 1 : 0;
      budget.on_placed(id, kStart);
    }
    CHECK(free == 1000);
    CHECK(allocation_count() == before);
  }

  TEST_CASE("the leader numbers all balancers, those of its followers too") {
    BalancerRanking leader;
    BalancerRanking follower;
    follower.on_heartbeat({1, 1}, kStart);
    follower.on_heartbeat({2, 1}, kStart);
    leader.on_elected(kStart);
    leader.on_heartbeat({3, 1}, kStart);
    leader.on_reported(follower.local_balancers(kStart), kStart);
    // At first a new leader has not heard all.
    leader.assign_ranks(kStart + seconds(1));
    CHECK(leader.rank_of({3, 1}, kStart + seconds(1)).count == 0);
    const Instant later = kStart + seconds(4);
    leader.assign_ranks(later);
    follower.on_ranks_received(leader.ranks_of(follower.local_balancers(kStart), later), later);
    std::vector<std::uint32_t> numbers;
    for (const auto& place : {leader.rank_of({3, 1}, later), follower.rank_of({1, 1}, later),
                              follower.rank_of({2, 1}, later)}) {
      CHECK(place.count == 3);
      numbers.push_back(place.index);
    }
    std::sort(numbers.begin(), numbers.end());
    CHECK(numbers == std::vector<std::uint32_t>{0, 1, 2});
    // A follower that hears of no leader tells nothing after a while.
    CHECK(follower.rank_of({1, 1}, later + seconds(11)).count == 0);
  }

  TEST_CASE("answers to heartbeats tell the places, at the leader and at its followers") {
    control_cluster::Cluster cluster;
    cluster.run(seconds(3));
    REQUIRE(cluster.leader() != 0);
    std::vector<BalancerRank> told(3);
    for (int turn = 0; turn < 6; ++turn) {
      for (std::uint32_t i = 1; i <= 3; ++i) {
        NodeHeartbeat heartbeat;
        heartbeat.member.address = {100 + i, 6000};
        heartbeat.member.state = MemberState::kObserver;
        cluster.node(i).on_node_message({100 + i, 6000}, heartbeat, cluster.now());
        for (const auto& [to, message] : cluster.output(i).to_nodes) {
          const auto* reply = std::get_if<HeartbeatReply>(&message);
          if (reply != nullptr && to == Endpoint{100 + i, 6000}) {
            told[i - 1] = reply->rank;
          }
        }
      }
      cluster.run(seconds(1));
    }
    std::vector<std::uint32_t> numbers;
    for (const auto& place : told) {
      CHECK(place.count == 3);
      numbers.push_back(place.index);
    }
    std::sort(numbers.begin(), numbers.end());
    CHECK(numbers == std::vector<std::uint32_t>{0, 1, 2});
    // Twice a second, of the 3 KB/s that a balancer may take for control.
    HeartbeatReply without;
    HeartbeatReply with;
    with.rank = {749, 750};
    CHECK(encode_archive(with).size() - encode_archive(without).size() <= 8);
  }

  TEST_CASE("lost balancers keep their numbers for a while, a new leader begins anew") {
    BalancerRanking leader;
    leader.on_elected(kStart);
    leader.on_reported({{1, 1}, {2, 1}}, kStart);
    leader.on_reported({{1, 1}}, kStart + seconds(50));
    leader.assign_ranks(kStart + seconds(50));
    CHECK(leader.rank_of({1, 1}, kStart + seconds(50)).count == 2);
    leader.assign_ranks(kStart + seconds(70));
    CHECK(leader.rank_of({1, 1}, kStart + seconds(70)).count == 1);
    leader.on_elected(kStart + seconds(71));
    leader.assign_ranks(kStart + seconds(72));
    CHECK(leader.rank_of({1, 1}, kStart + seconds(72)).count == 0);
  }
}

}  // namespace gorsevalve
