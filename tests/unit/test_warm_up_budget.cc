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

/// Times of the flows that a balancer places at a target that is warming up, with one new flow
/// every 10 ms.
std::vector<Instant> placed(WarmUpBudget& budget, Instant from, Instant to) {
  std::vector<Instant> result;
  for (Instant now = from; now < to; now += milliseconds(10)) {
    if (budget.admission(kCold, now) == WarmUpAdmission::kOwnSlot) {
      budget.on_placed(kCold, now);
      result.push_back(now);
    }
  }
  return result;
}

/// Number of flows that all balancers of a fleet place in ten seconds.
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
  /// Number of flows at each target, with one new flow every 10 ms; rejected flows count as target
  /// 0.
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
  TEST_CASE("the time slots of all balancers together are four fifths of the rate") {
    CHECK(placed_by_all(1, 5) == 40);
    CHECK(placed_by_all(2, 5) == 40);
    // The last time slot may begin after the last flow.
    CHECK(placed_by_all(80, 5) >= 39);
    CHECK(placed_by_all(80, 5) <= 40);
    CHECK(placed_by_all(750, 5) >= 39);
    CHECK(placed_by_all(750, 5) <= 40);
    CHECK(placed_by_all(80, 0.5) >= 3);
    CHECK(placed_by_all(80, 0.5) <= 4);
  }

  TEST_CASE("unused time slots do not accumulate") {
    WarmUpBudget budget;
    budget.set_rank({0, 1}, kStart);
    budget.add(cold_target(1, seconds(20)), kStart);
    CHECK(placed(budget, kStart + seconds(10), kStart + seconds(11)).size() <= 2);
  }

  TEST_CASE("without a recent rank a balancer places no flow at a target that is warming up") {
    WarmUpBudget budget;
    budget.add(cold_target(100, seconds(100)), kStart);
    CHECK(placed(budget, kStart, kStart + seconds(5)).empty());
    budget.set_rank({0, 1}, kStart + seconds(5));
    CHECK(!placed(budget, kStart + seconds(5), kStart + seconds(6)).empty());
    budget.set_rank({0, 0}, kStart + seconds(30));
    CHECK(!placed(budget, kStart + seconds(30), kStart + seconds(31)).empty());
    CHECK(placed(budget, kStart + seconds(36), kStart + seconds(40)).empty());
  }

  TEST_CASE("implausible ranks are ignored or limited, and are counted") {
    WarmUpBudget budget;
    budget.add(cold_target(10, seconds(100)), kStart);
    budget.set_rank({3, 80}, kStart);
    budget.set_rank({80, 80}, kStart);
    budget.set_rank({0, 4000000000U}, kStart);
    CHECK(budget.rank() == BalancerRank{3, 80});
    CHECK(budget.counters().implausible_ranks == 2);
    // A count that drops to less than half is applied only in part until lost balancers have
    // expired.
    budget.set_rank({0, 1}, kStart + seconds(1));
    CHECK(budget.rank() == BalancerRank{0, 40});
    budget.set_rank({0, 1}, kStart + seconds(2));
    CHECK(budget.rank() == BalancerRank{0, 40});
    CHECK(budget.counters().implausible_ranks == 4);
    budget.set_rank({0, 1}, kStart + seconds(61));
    CHECK(budget.rank() == BalancerRank{0, 1});
  }

  TEST_CASE("at most one flow per time slot, also while ranks change continuously") {
    WarmUpBudget budget;
    budget.add(cold_target(5, seconds(100)), kStart);
    std::size_t flows = 0;
    for (int step = 0; step < 1000; ++step) {
      const Instant now = kStart + milliseconds(10) * step;
      budget.set_rank({static_cast<std::uint32_t>(step * 31 % 80), 80}, now);
      flows += placed(budget, now, now + milliseconds(10)).size();
    }
    // A round of 80 balancers takes 20 s, and at least half a round passes between two flows.
    CHECK(flows <= 1);
  }

  TEST_CASE("a target that is warm or was removed is not restricted") {
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
    budget.remove(kCold);
    CHECK(budget.is_empty());
  }

  TEST_CASE(
      "a target that is warming up gets flows in its time slots, and warm targets get the rest") {
    Fixture test(pool_of({target(1, 0), target(2, 0)}, 5000));
    test.steering.set_balancer_rank({0, 2}, test.now);
    test.steering.apply(upsert(target(3, 4000)), test.now);
    CHECK(test.steering.take_newly_cold() == std::vector<TargetId>{3});
    auto flows = test.open_for(seconds(4));
    CHECK(flows[0] == 0);
    CHECK(flows[3] >= 6);
    CHECK(flows[3] <= 8);
    CHECK(test.steering.warm_up().counters().placed == static_cast<std::uint64_t>(flows[3]));
    CHECK(test.steering.warm_up().counters().skipped > 300);
    CHECK(test.steering.warm_up().counters().rejected == 0);
    test.steering.on_tick(test.now);
    REQUIRE(test.steering.take_warmed(test.now).size() == 1);
    flows = test.open_for(seconds(4));
    CHECK(flows[3] > 100);
  }

  TEST_CASE("without a rate limit a target that is warming up is not restricted") {
    Fixture test(pool_of({target(1, 0)}, 0));
    test.steering.apply(upsert(target(2, 4000)), test.now);
    CHECK(test.steering.warm_up().is_empty());
    CHECK(test.open_for(seconds(1))[2] > 20);
  }

  TEST_CASE("if all targets are warming up, flows beyond the budget are rejected at once") {
    Fixture test(pool_of({}, 10000));
    test.steering.set_balancer_rank({0, 1}, test.now);
    test.steering.apply(upsert(target(1, 4000)), test.now);
    auto flows = test.open_for(seconds(2));
    CHECK(flows[1] >= 15);
    CHECK(flows[1] <= 16);
    CHECK(test.steering.warm_up().counters().rejected == static_cast<std::uint64_t>(flows[0]));
    CHECK(test.open().action == SteeringAction::kReset);
    // After the warm-up no flow is rejected.
    test.now += seconds(3);
    flows = test.open_for(milliseconds(100));
    CHECK(flows[0] == 0);
  }

  TEST_CASE("other pools of a frontend get the flows that a pool that is warming up may not take") {
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
    CHECK(test.steering.warm_up().counters().rejected == 0);
  }

  TEST_CASE("a starting balancer prefers warm targets to targets of unknown age") {
    Fixture all_found(pool_of({target(1, 4000), target(2, 4000)}, 1000));
    CHECK(all_found.open_for(seconds(1))[0] == 0);
    Fixture some_warm(pool_of({target(1, 4000), target(2, 0)}, 1000));
    CHECK(some_warm.open_for(seconds(1))[2] == 100);
    // A target whose heartbeats timed out is worse than one that may be warming up.
    RegisteredTarget silent = target(2, 0);
    silent.phase = TargetPhase::kSilent;
    Fixture some_silent(pool_of({target(1, 4000), silent}, 1000));
    CHECK(some_silent.open_for(seconds(1))[1] == 100);
  }

  TEST_CASE("a retransmission that is placed at another target counts there") {
    Fixture test(pool_of({target(1, 0)}, 1000));
    test.steering.set_balancer_rank({0, 1}, test.now);
    test.steering.apply(upsert(target(2, 9000)), test.now);
    test.now += milliseconds(1300);
    while (test.steering.warm_up().admission(2, test.now) != WarmUpAdmission::kOtherSlot) {
      test.now += milliseconds(10);
    }
    ClientPacket packet;
    packet.flow = {{0x64500000, 1}, kFrontend};
    packet.opens = true;
    REQUIRE(test.steering.on_packet(packet, test.now).target->id == 1);
    while (test.steering.warm_up().admission(2, test.now) != WarmUpAdmission::kOwnSlot) {
      test.now += milliseconds(10);
    }
    packet.retransmissions = 2;
    const SteeringDecision again = test.steering.on_packet(packet, test.now);
    REQUIRE(again.target->id == 2);
    CHECK(test.steering.warm_up().counters().placed == 1);
    CHECK(test.steering.warm_up().admission(2, test.now) == WarmUpAdmission::kOtherSlot);
  }

  TEST_CASE("new settings change or remove the rate limit of targets that are warming up") {
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

  TEST_CASE("placing flows at warm targets allocates no memory for a budget") {
    WarmUpBudget budget;
    budget.set_rank({0, 1}, kStart);
    budget.add(cold_target(5, seconds(20)), kStart);
    const std::uint64_t before = allocation_count();
    std::uint32_t unrestricted = 0;
    for (TargetId id = 100; id < 1100; ++id) {
      unrestricted += budget.admission(id, kStart) == WarmUpAdmission::kUnrestricted ? 1 : 0;
      budget.on_placed(id, kStart);
    }
    CHECK(unrestricted == 1000);
    CHECK(allocation_count() == before);
  }

  TEST_CASE("the leader ranks all balancers, including those of its followers") {
    BalancerRanking leader;
    BalancerRanking follower;
    follower.on_heartbeat({1, 1}, kStart);
    follower.on_heartbeat({2, 1}, kStart);
    leader.on_elected(kStart);
    leader.on_heartbeat({3, 1}, kStart);
    leader.on_reported(follower.local_balancers(kStart), kStart);
    // A new leader has not received reports of all balancers at first.
    leader.assign_ranks(kStart + seconds(1));
    CHECK(leader.rank_of({3, 1}, kStart + seconds(1)).count == 0);
    const Instant later = kStart + seconds(4);
    leader.assign_ranks(later);
    follower.on_ranks_received(leader.ranks_of(follower.local_balancers(kStart), later), later);
    std::vector<std::uint32_t> numbers;
    for (const auto& received_rank :
         {leader.rank_of({3, 1}, later), follower.rank_of({1, 1}, later),
          follower.rank_of({2, 1}, later)}) {
      CHECK(received_rank.count == 3);
      numbers.push_back(received_rank.index);
    }
    std::sort(numbers.begin(), numbers.end());
    CHECK(numbers == std::vector<std::uint32_t>{0, 1, 2});
    // A replica without reports from a leader drops its ranks after a while.
    CHECK(follower.rank_of({1, 1}, later + seconds(11)).count == 0);
  }

  TEST_CASE("heartbeat replies carry the ranks, at the leader and at its followers") {
    control_cluster::Cluster cluster;
    cluster.run(seconds(3));
    REQUIRE(cluster.leader() != 0);
    std::vector<BalancerRank> reported_ranks(3);
    for (int round = 0; round < 6; ++round) {
      for (std::uint32_t i = 1; i <= 3; ++i) {
        NodeHeartbeat heartbeat;
        heartbeat.member.address = {100 + i, 6000};
        heartbeat.member.state = MemberState::kObserver;
        cluster.node(i).on_node_message({100 + i, 6000}, heartbeat, cluster.now());
        for (const auto& [to, message] : cluster.output(i).to_nodes) {
          const auto* reply = std::get_if<HeartbeatReply>(&message);
          if (reply != nullptr && to == Endpoint{100 + i, 6000}) {
            reported_ranks[i - 1] = reply->rank;
          }
        }
      }
      cluster.run(seconds(1));
    }
    std::vector<std::uint32_t> numbers;
    for (const auto& received_rank : reported_ranks) {
      CHECK(received_rank.count == 3);
      numbers.push_back(received_rank.index);
    }
    std::sort(numbers.begin(), numbers.end());
    CHECK(numbers == std::vector<std::uint32_t>{0, 1, 2});
    // Sent twice per second, within the 3 KB/s that a balancer may use for control traffic.
    HeartbeatReply without;
    HeartbeatReply with;
    with.rank = {749, 750};
    CHECK(encode_archive(with).size() - encode_archive(without).size() <= 8);
  }

  TEST_CASE("lost balancers keep their ranks for a while, and a new leader starts over") {
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
