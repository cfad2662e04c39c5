#include <doctest/doctest.h>

#include "core/steering/target_refusals.h"
#include "core/steering/zone_paths.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
constexpr TargetId kTarget = 7;

/// Takes all due probes, gives each the same answer, and returns their number.
std::size_t answer_all(TargetRefusals& refusals, ProbeAnswer answer, Instant now) {
  const auto probes = refusals.take_probes(now);
  for (const auto& probe : probes) {
    refusals.on_answer(probe.number, answer, now + milliseconds(2));
  }
  return probes.size();
}

}  // namespace

TEST_SUITE("target_refusals") {
  TEST_CASE("an overdue handshake causes one probe, and a refusal diverts new flows at once") {
    TargetRefusals refusals;
    refusals.on_overdue(kTarget, kStart);
    refusals.on_overdue(kTarget, kStart);
    const auto probes = refusals.take_probes(kStart);
    REQUIRE(probes.size() == 1);
    CHECK(probes[0].target == kTarget);
    CHECK(probes[0].number > TargetRefusals::kProbeNumberBase);
    CHECK(probes[0].number < ZonePaths::kProbeNumberBase);
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart));
    refusals.on_answer(probes[0].number, ProbeAnswer::kRefused, kStart + milliseconds(2));
    CHECK(refusals.is_refusing(kTarget, kStart + milliseconds(2)));
    CHECK(refusals.take_refused() == std::vector<TargetId>{kTarget});
    CHECK(refusals.take_refused().empty());
  }

  TEST_CASE("a target that accepts a probe stays in use and is not probed again soon") {
    TargetRefusals refusals;
    refusals.on_overdue(kTarget, kStart);
    CHECK(answer_all(refusals, ProbeAnswer::kAccepted, kStart) == 1);
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart + milliseconds(3)));
    CHECK_FALSE(refusals.is_probing());
    refusals.on_overdue(kTarget, kStart + milliseconds(500));
    CHECK(answer_all(refusals, ProbeAnswer::kAccepted, kStart + milliseconds(500)) == 0);
    refusals.on_overdue(kTarget, kStart + milliseconds(1100));
    CHECK(answer_all(refusals, ProbeAnswer::kAccepted, kStart + milliseconds(1100)) == 1);
  }

  TEST_CASE("an unanswered probe does not mark a target as refusing") {
    TargetRefusals refusals;
    refusals.on_overdue(kTarget, kStart);
    CHECK(refusals.take_probes(kStart).size() == 1);
    CHECK(refusals.take_probes(kStart + milliseconds(300)).empty());
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart + milliseconds(300)));
    CHECK_FALSE(refusals.is_probing());
  }

  TEST_CASE("a target that is gone is avoided without a gap until target health covers it") {
    TargetRefusals refusals;
    refusals.on_overdue(kTarget, kStart);
    std::size_t probes = 0;
    for (Duration passed{0}; passed < milliseconds(900); passed += milliseconds(25)) {
      probes += answer_all(refusals, ProbeAnswer::kRefused, kStart + passed);
      CHECK(refusals.is_refusing(kTarget, kStart + passed + milliseconds(3)));
    }
    CHECK(probes == 3);
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart + milliseconds(1100)));
  }

  TEST_CASE("a full target that accepts a probe again is used again at once") {
    TargetRefusals refusals;
    refusals.on_overdue(kTarget, kStart);
    answer_all(refusals, ProbeAnswer::kRefused, kStart);
    answer_all(refusals, ProbeAnswer::kAccepted, kStart + milliseconds(275));
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart + milliseconds(278)));
  }

  TEST_CASE("a remote report expires, or ends earlier when an opening packet is answered") {
    TargetRefusals refusals;
    refusals.on_remote_refusal(kTarget, kStart);
    CHECK(refusals.is_refusing(kTarget, kStart + milliseconds(499)));
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart + TargetRefusals::kRefusalLifetime));
    CHECK(refusals.take_probes(kStart).empty());
    refusals.on_established(kTarget, kStart - milliseconds(5));
    CHECK(refusals.is_refusing(kTarget, kStart + milliseconds(1)));
    refusals.on_established(kTarget, kStart + milliseconds(5));
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart + milliseconds(6)));
  }

  TEST_CASE("concurrent probes are limited, and a probe that is not sent leaves no state") {
    TargetRefusals refusals;
    for (TargetId id = 1; id <= 1000; ++id) {
      refusals.on_overdue(id, kStart);
    }
    const auto probes = refusals.take_probes(kStart);
    CHECK(probes.size() == TargetRefusals::kMaxProbedTargets);
    for (const auto& probe : probes) {
      refusals.on_not_sent(probe.number);
    }
    CHECK_FALSE(refusals.is_probing());
    refusals.on_overdue(2000, kStart);
    CHECK(refusals.take_probes(kStart).size() == 1);
  }

  TEST_CASE("no state remains of a removed target") {
    TargetRefusals refusals;
    refusals.on_overdue(kTarget, kStart);
    const auto probes = refusals.take_probes(kStart);
    refusals.remove(kTarget);
    refusals.on_answer(probes[0].number, ProbeAnswer::kRefused, kStart);
    CHECK_FALSE(refusals.is_refusing(kTarget, kStart));
    CHECK(refusals.take_refused().empty());
  }
}

}  // namespace gorsevalve
