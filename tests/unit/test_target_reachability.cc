#include <doctest/doctest.h>

#include <map>

#include "core/steering/target_reachability.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr TargetId kSuspected = 1;
constexpr TargetId kReference = 2;

/// What a target does with probes.
enum class Behaviour { kAccepts, kRefuses, kSilent };

/// Targets that answer probes after a while, and the steps of a balancer's loop.
class ProbedTargets {
 public:
  explicit ProbedTargets(Duration round_trip = milliseconds(1)) : round_trip_(round_trip) {}

  /// Runs the loop for some time; gives what was concluded.
  std::vector<UnreachableTarget> run(Duration time) {
    std::vector<UnreachableTarget> all;
    for (const Instant end = now + time; now < end; now += milliseconds(5)) {
      deliver_answers();
      if (now >= next_step_) {
        next_step_ = now + TargetReachability::kStepInterval;
        send_probes();
        const auto concluded = reachability.detect_unreachable(now);
        all.insert(all.end(), concluded.begin(), concluded.end());
      }
    }
    return all;
  }

  TargetReachability reachability;
  std::map<TargetId, Behaviour> behaviour;
  std::map<TargetId, int> probes;
  bool sends = true;
  Instant now = kStart;

 private:
  struct Answer {
    std::uint64_t number = 0;
    ProbeAnswer answer = ProbeAnswer::kAccepted;
    Instant at;
  };

  void send_probes() {
    for (const auto& probe : reachability.take_probes(now)) {
      ++probes[probe.target];
      const Behaviour target = behaviour[probe.target];
      if (!sends) {
        reachability.on_not_sent(probe.number, now);
      } else if (target != Behaviour::kSilent) {
        const bool accepts = target == Behaviour::kAccepts;
        answers_.push_back({probe.number, accepts ? ProbeAnswer::kAccepted : ProbeAnswer::kRefused,
                            now + round_trip_});
      }
    }
  }

  void deliver_answers() {
    std::erase_if(answers_, [&](const Answer& answer) {
      const bool is_due = answer.at <= now;
      if (is_due) {
        reachability.on_answer(answer.number, answer.answer, now);
      }
      return is_due;
    });
  }

  Duration round_trip_;
  Instant next_step_ = kStart;
  std::vector<Answer> answers_;
};

}  // namespace

TEST_SUITE("target_reachability") {
  TEST_CASE("silence counts when another target answers meanwhile") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    const auto concluded = targets.run(milliseconds(300));
    REQUIRE(concluded.size() == 1);
    CHECK(concluded[0].target == kSuspected);
    CHECK(concluded[0].reason == UnreachableReason::kSilent);
    CHECK(concluded[0].probes == 3);
    // Callers wait for this, on top of the 200 ms after which they repeat data.
    CHECK(concluded[0].detection_time <= milliseconds(150));
    CHECK(targets.reachability.is_unreachable(kSuspected));
    CHECK_FALSE(targets.reachability.is_unreachable(kReference));
  }

  TEST_CASE("a balancer that is cut off itself concludes nothing") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kSilent}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(seconds(3)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
  }

  TEST_CASE("without another target that answered lately nothing is concluded") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}};
    targets.reachability.suspect(kSuspected, {}, targets.now);
    CHECK(targets.run(seconds(3)).empty());
  }

  TEST_CASE("a target that accepts is cleared, and not probed again for a second") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kAccepts}, {kReference, Behaviour::kAccepts}};
    for (int sign = 0; sign < 9; ++sign) {
      targets.reachability.suspect(kSuspected, {kReference}, targets.now);
      CHECK(targets.run(milliseconds(100)).empty());
    }
    CHECK(targets.probes[kSuspected] == 1);
    targets.run(milliseconds(200));
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    targets.run(milliseconds(100));
    CHECK(targets.probes[kSuspected] == 2);
  }

  TEST_CASE("where answers take long, silence takes longer") {
    // A balancer with little processor time hears everything late, the reference's answer too.
    ProbedTargets targets(milliseconds(100));
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(400)).empty());
    CHECK(targets.run(milliseconds(300)).size() == 1);
    // A target that answers as late as the reference is never blamed.
    targets.behaviour[3] = Behaviour::kAccepts;
    targets.reachability.suspect(3, {kReference}, targets.now);
    CHECK(targets.run(seconds(2)).empty());
  }

  TEST_CASE("two refusals count where a flow gets nothing back, one does not") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(150)).empty());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart);
    const auto concluded = targets.run(milliseconds(50));
    REQUIRE(concluded.size() == 1);
    CHECK(concluded[0].reason == UnreachableReason::kRefused);
    targets.behaviour[3] = Behaviour::kRefuses;
    targets.reachability.suspect(3, {kReference}, targets.now);
    targets.run(milliseconds(10));
    targets.reachability.on_unacknowledged_flow(3, targets.now);
    targets.behaviour[3] = Behaviour::kAccepts;
    CHECK(targets.run(milliseconds(500)).empty());
  }

  TEST_CASE("progress of any flow ends a suspicion, and a conclusion") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    targets.run(milliseconds(60));
    targets.reachability.on_progress(kSuspected, targets.now);
    CHECK(targets.run(milliseconds(500)).empty());
    CHECK(targets.reachability.take_restored().empty());
    targets.now += seconds(1);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    REQUIRE(targets.run(milliseconds(500)).size() == 1);
    targets.reachability.on_progress(kSuspected, targets.now);
    CHECK_FALSE(targets.reachability.is_unreachable(kSuspected));
    CHECK(targets.reachability.take_restored() == std::vector<TargetId>{kSuspected});
  }

  TEST_CASE("an unreachable target is back when it accepts for some seconds") {
    // Seen on a day with reused addresses: 2 s after a target died, another one listened at its
    // address, announced itself 0.3 s later, and 63 balancers took the dead one for alive.
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    REQUIRE(targets.run(milliseconds(500)).size() == 1);
    targets.behaviour[kSuspected] = Behaviour::kAccepts;
    targets.run(milliseconds(1700));
    CHECK(targets.reachability.is_unreachable(kSuspected));
    targets.run(seconds(2));
    CHECK_FALSE(targets.reachability.is_unreachable(kSuspected));
  }

  TEST_CASE("what listens at the address of a replaced target says nothing of it") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kAccepts}, {kReference, Behaviour::kAccepts}};
    targets.reachability.on_replaced(kSuspected);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    const auto concluded = targets.run(milliseconds(100));
    REQUIRE(concluded.size() == 1);
    CHECK(concluded[0].reason == UnreachableReason::kReplaced);
    targets.run(seconds(9));
    CHECK(targets.reachability.is_unreachable(kSuspected));
    targets.reachability.forget(kSuspected);
    CHECK_FALSE(targets.reachability.is_unreachable(kSuspected));
  }

  TEST_CASE("probes that cannot be sent prove nothing") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.sends = false;
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(seconds(2)).empty());
  }

  TEST_CASE("few targets are under suspicion at once") {
    ProbedTargets targets;
    for (TargetId id = 10; id < 100; ++id) {
      targets.behaviour[id] = Behaviour::kSilent;
      targets.reachability.suspect(id, {}, targets.now);
    }
    targets.run(milliseconds(200));
    CHECK(targets.probes.size() == TargetReachability::kMaxSuspicions);
  }

  TEST_CASE("silence on a congested link proves nothing, and is looked at again on a free one") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(500)).empty());
    REQUIRE(targets.reachability.is_probing());
    targets.reachability.set_link_congested(false, targets.now);
    const Instant free_at = targets.now;
    const auto concluded = targets.run(milliseconds(150));
    REQUIRE(concluded.size() == 1);
    CHECK(concluded[0].reason == UnreachableReason::kSilent);
    CHECK(concluded[0].probes == 3);
    // No later than with a suspicion that begins when the link is free.
    CHECK(kStart + concluded[0].detection_time <= free_at + milliseconds(150));
  }

  TEST_CASE("a suspicion that meets congestion in the middle counts none of its earlier probes") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(60)).empty());
    CHECK(targets.probes[kSuspected] == 3);
    targets.reachability.set_link_congested(true, targets.now);
    CHECK(targets.run(milliseconds(20)).empty());
    targets.reachability.set_link_congested(false, targets.now);
    // The reference is not heard in the time that counts.
    targets.behaviour[kReference] = Behaviour::kSilent;
    CHECK(targets.run(seconds(1)).empty());
    CHECK(targets.probes[kSuspected] == 6);
    CHECK_FALSE(targets.reachability.is_probing());
  }

  TEST_CASE("a reference that was probed on a congested link says nothing of a later time") {
    ProbedTargets targets(milliseconds(100));
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(60)).empty());
    targets.reachability.set_link_congested(false, targets.now);
    targets.behaviour[kReference] = Behaviour::kSilent;
    CHECK(targets.run(seconds(1)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
  }

  TEST_CASE("refusals alone say nothing of the flows that a target holds") {
    // A target with as many connections as it may have refused the probes of 14 balancers, which
    // reset the flows that it served.
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(350)).empty());
    // The caller sends its data for the third time, 400 ms after the second one.
    REQUIRE(targets.reachability.is_probing());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart);
    CHECK(targets.run(milliseconds(50)).size() == 1);
    // Without such a flow the suspicion ends.
    targets.behaviour[3] = Behaviour::kRefuses;
    targets.reachability.suspect(3, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(2000)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
  }

  TEST_CASE("data that went before the way to a target was seen to be open proves nothing") {
    // Found by the seeded workload: a balancer that had been cut off took the silence of that time,
    // with refusals of a full target afterwards, for a dead one.
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(200)).empty());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart - milliseconds(100));
    CHECK(targets.run(milliseconds(1500)).empty());
  }

  TEST_CASE("a reference that refuses shows that this balancer can hear") {
    // Found by the seeded workload: where targets were full, no dead one was found out.
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kRefuses}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(200)).size() == 1);
  }

  TEST_CASE("a refusal counts on a congested link, too") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(150)).empty());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart);
    const auto concluded = targets.run(milliseconds(50));
    REQUIRE(concluded.size() == 1);
    CHECK(concluded[0].reason == UnreachableReason::kRefused);
  }

  TEST_CASE("a target that answers late on a congested link is cleared") {
    ProbedTargets targets(milliseconds(300));
    targets.behaviour = {{kSuspected, Behaviour::kAccepts}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(400)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
    CHECK_FALSE(targets.reachability.may_suspect(kSuspected, targets.now));
  }

  TEST_CASE("on a link that stays congested a suspicion makes room for others") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(1500)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
    CHECK(targets.probes[kSuspected] == 3);
  }

  TEST_CASE("a link that is free and busy in turns costs few probes") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    for (int turn = 0; turn < 40; ++turn) {
      targets.reachability.set_link_congested(turn % 2 == 1, targets.now);
      CHECK(targets.run(milliseconds(30)).empty());
    }
    CHECK_FALSE(targets.reachability.is_probing());
    // One each step for a second, and until the link is busy again.
    CHECK(targets.probes[kSuspected] <= 45);
  }

  TEST_CASE("deliberate faults show") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kSilent}};
    ReachabilityFaults faults;
    SUBCASE("suspicions are trusted") { faults.trust_suspicions = true; }
    SUBCASE("references are ignored") { faults.ignore_references = true; }
    SUBCASE("refusals are trusted") {
      faults.trust_refusals = true;
      targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    }
    SUBCASE("congestion is ignored") {
      faults.ignore_congestion = true;
      targets.behaviour[kReference] = Behaviour::kAccepts;
      targets.reachability.set_faults(faults);
      targets.reachability.set_link_congested(true, targets.now);
    }
    targets.reachability.set_faults(faults);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(seconds(1)).size() == 1);
  }
}

}  // namespace gorsevalve
