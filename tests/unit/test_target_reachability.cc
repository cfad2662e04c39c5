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

/// How a target reacts to probes.
enum class Behaviour { kAccepts, kRefuses, kSilent };

/// Targets that answer probes after a round trip, driven by the steps of a balancer's event loop.
class ProbedTargets {
 public:
  explicit ProbedTargets(Duration round_trip = milliseconds(1)) : round_trip_(round_trip) {}

  /// Runs the event loop for `time` and returns the detected targets.
  std::vector<UnreachableTarget> run(Duration time) {
    std::vector<UnreachableTarget> all;
    for (const Instant end = now + time; now < end; now += milliseconds(5)) {
      deliver_answers();
      if (now >= next_step_) {
        next_step_ = now + TargetReachability::kStepInterval;
        send_probes();
        const auto detected = reachability.detect_unreachable(now);
        all.insert(all.end(), detected.begin(), detected.end());
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
  TEST_CASE("silence counts if a reference target answers in the same time") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    const auto detected = targets.run(milliseconds(300));
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].target == kSuspected);
    CHECK(detected[0].reason == UnreachableReason::kSilent);
    CHECK(detected[0].probes == 3);
    // Clients wait for this in addition to their retransmission timeout of 200 ms.
    CHECK(detected[0].detection_time <= milliseconds(150));
    CHECK(targets.reachability.is_unreachable(kSuspected));
    CHECK_FALSE(targets.reachability.is_unreachable(kReference));
  }

  TEST_CASE("a balancer that is cut off itself reports no target as unreachable") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kSilent}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(seconds(3)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
  }

  TEST_CASE("without a reference target no target is reported as unreachable") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}};
    targets.reachability.suspect(kSuspected, {}, targets.now);
    CHECK(targets.run(seconds(3)).empty());
  }

  TEST_CASE("a target that accepts a probe is reachable and not probed again for a second") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kAccepts}, {kReference, Behaviour::kAccepts}};
    for (int attempt = 0; attempt < 9; ++attempt) {
      targets.reachability.suspect(kSuspected, {kReference}, targets.now);
      CHECK(targets.run(milliseconds(100)).empty());
    }
    CHECK(targets.probes[kSuspected] == 1);
    targets.run(milliseconds(200));
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    targets.run(milliseconds(100));
    CHECK(targets.probes[kSuspected] == 2);
  }

  TEST_CASE("the answer timeout grows with the round-trip time of reference targets") {
    // A balancer with little CPU time receives all answers late, also those of reference targets.
    ProbedTargets targets(milliseconds(100));
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(400)).empty());
    CHECK(targets.run(milliseconds(300)).size() == 1);
    // A target that answers as late as the reference target is not reported.
    targets.behaviour[3] = Behaviour::kAccepts;
    targets.reachability.suspect(3, {kReference}, targets.now);
    CHECK(targets.run(seconds(2)).empty());
  }

  TEST_CASE("two refusals count if a flow is unacknowledged, a single one does not") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(150)).empty());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart);
    const auto detected = targets.run(milliseconds(50));
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].reason == UnreachableReason::kRefused);
    targets.behaviour[3] = Behaviour::kRefuses;
    targets.reachability.suspect(3, {kReference}, targets.now);
    targets.run(milliseconds(10));
    targets.reachability.on_unacknowledged_flow(3, targets.now);
    targets.behaviour[3] = Behaviour::kAccepts;
    CHECK(targets.run(milliseconds(500)).empty());
  }

  TEST_CASE("progress of any flow ends a suspicion and makes a target reachable again") {
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

  TEST_CASE("an unreachable target recovers after it accepted probes for some seconds") {
    // Guards against taking a dead target for alive because a new target already listens at its
    // address and announces itself slightly later.
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

  TEST_CASE("accepted probes do not count for a target whose address another one took over") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kAccepts}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    targets.reachability.on_replaced(kSuspected, targets.now);
    const auto detected = targets.run(milliseconds(100));
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].reason == UnreachableReason::kReplaced);
    targets.run(seconds(9));
    CHECK(targets.reachability.is_unreachable(kSuspected));
    targets.reachability.remove(kSuspected);
    CHECK_FALSE(targets.reachability.is_unreachable(kSuspected));
  }

  TEST_CASE("probes that cannot be sent prove nothing") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.sends = false;
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(seconds(2)).empty());
  }

  TEST_CASE("the number of suspected targets is limited") {
    ProbedTargets targets;
    for (TargetId id = 10; id < 100; ++id) {
      targets.behaviour[id] = Behaviour::kSilent;
      targets.reachability.suspect(id, {}, targets.now);
    }
    targets.run(milliseconds(200));
    CHECK(targets.probes.size() == TargetReachability::kMaxSuspicions);
  }

  TEST_CASE("silence on a congested link proves nothing; probes restart when the congestion ends") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(500)).empty());
    REQUIRE(targets.reachability.is_probing());
    targets.reachability.set_link_congested(false, targets.now);
    const Instant free_at = targets.now;
    const auto detected = targets.run(milliseconds(150));
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].reason == UnreachableReason::kSilent);
    CHECK(detected[0].probes == 3);
    // As fast as for a suspicion that starts on an uncongested link.
    CHECK(kStart + detected[0].detection_time <= free_at + milliseconds(150));
  }

  TEST_CASE("a suspicion that sees congestion does not count its earlier probes") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(60)).empty());
    CHECK(targets.probes[kSuspected] == 3);
    targets.reachability.set_link_congested(true, targets.now);
    CHECK(targets.run(milliseconds(20)).empty());
    targets.reachability.set_link_congested(false, targets.now);
    // The reference target does not answer within the time that counts.
    targets.behaviour[kReference] = Behaviour::kSilent;
    CHECK(targets.run(seconds(1)).empty());
    CHECK(targets.probes[kSuspected] == 6);
    CHECK_FALSE(targets.reachability.is_probing());
  }

  TEST_CASE("a reference target probed on a congested link proves nothing for a later time") {
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

  TEST_CASE("refusals alone do not make a target with open flows unreachable") {
    // Guards against resetting flows of a target that refuses probes because its connection limit
    // is reached.
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(350)).empty());
    // The second retransmission of the client, 400 ms after the first one.
    REQUIRE(targets.reachability.is_probing());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart);
    CHECK(targets.run(milliseconds(50)).size() == 1);
    // Without an unacknowledged flow the suspicion ends.
    targets.behaviour[3] = Behaviour::kRefuses;
    targets.reachability.suspect(3, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(2000)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
  }

  TEST_CASE("unacknowledged data sent before the path was known to be open proves nothing") {
    // Guards against counting silence from a time when the balancer was cut off, together with
    // later refusals of a full target.
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(200)).empty());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart - milliseconds(100));
    CHECK(targets.run(milliseconds(1500)).empty());
  }

  TEST_CASE("a refusal by a reference target shows that this balancer receives answers") {
    // Guards against missing dead targets where the reference targets are full.
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kRefuses}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(200)).size() == 1);
  }

  TEST_CASE("a refusal also counts on a congested link") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kRefuses}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(150)).empty());
    targets.reachability.on_unacknowledged_flow(kSuspected, kStart);
    const auto detected = targets.run(milliseconds(50));
    REQUIRE(detected.size() == 1);
    CHECK(detected[0].reason == UnreachableReason::kRefused);
  }

  TEST_CASE("a target that answers late on a congested link is reachable") {
    ProbedTargets targets(milliseconds(300));
    targets.behaviour = {{kSuspected, Behaviour::kAccepts}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(400)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
    CHECK_FALSE(targets.reachability.may_suspect(kSuspected, targets.now));
  }

  TEST_CASE("a suspicion on a link that stays congested is dropped to make room for others") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.set_link_congested(true, targets.now);
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    CHECK(targets.run(milliseconds(1500)).empty());
    CHECK_FALSE(targets.reachability.is_probing());
    CHECK(targets.probes[kSuspected] == 3);
  }

  TEST_CASE("a link that alternates between congested and not causes few probes") {
    ProbedTargets targets;
    targets.behaviour = {{kSuspected, Behaviour::kSilent}, {kReference, Behaviour::kAccepts}};
    targets.reachability.suspect(kSuspected, {kReference}, targets.now);
    for (int interval = 0; interval < 40; ++interval) {
      targets.reachability.set_link_congested(interval % 2 == 1, targets.now);
      CHECK(targets.run(milliseconds(30)).empty());
    }
    CHECK_FALSE(targets.reachability.is_probing());
    // One probe per step for a second, plus those sent before the link is congested again.
    CHECK(targets.probes[kSuspected] <= 45);
  }

  TEST_CASE("each injected fault makes the detection report a target") {
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
