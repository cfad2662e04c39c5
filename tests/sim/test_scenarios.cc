/// Every scenario over a fixed list of seeds, the determinism of runs, and the deliberate faults.
#include <doctest/doctest.h>

#include "sim/injected_faults.h"
#include "sim/scenario.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kSeeds = 3;

void check_scenarios(const std::function<bool(std::size_t)>& wanted) {
  const auto all = scenarios();
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (!wanted(i)) {
      continue;
    }
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RunOptions options;
      options.seed = seed;
      const RunResult result = run_scenario(all[i], options);
      for (const auto& violation : result.violations) {
        FAIL_CHECK("scenario=" << all[i].name << " seed=" << seed << " "
                               << to_string(violation.invariant) << ": " << violation.detail);
      }
      CHECK(result.client_stats.responses > 0);
    }
  }
}

}  // namespace

TEST_SUITE("scenarios_even") {
  TEST_CASE("scenarios with even numbers hold") {
    check_scenarios([](std::size_t i) { return i % 2 == 0; });
  }
}

TEST_SUITE("scenarios_odd") {
  TEST_CASE("scenarios with odd numbers hold") {
    check_scenarios([](std::size_t i) { return i % 2 == 1; });
  }
}

TEST_SUITE("determinism") {
  TEST_CASE("a seed gives one trace, and seeds differ") {
    for (const auto name : {"everything", "disk_lost", "overload"}) {
      RunOptions options;
      options.seed = 5;
      const RunResult first = run_scenario(*find_scenario(name), options);
      const RunResult second = run_scenario(*find_scenario(name), options);
      CHECK(first.trace_hash == second.trace_hash);
      CHECK(first.events == second.events);
      options.seed = 6;
      CHECK(run_scenario(*find_scenario(name), options).trace_hash != first.trace_hash);
    }
  }
}

TEST_SUITE("faults") {
  TEST_CASE("each deliberate fault is caught by one of its scenarios") {
    // A vote without a look at the log shows at seed 30 only since restarted leaders, who have the
    // whole log, are mostly elected again at once; test_replica has the direct test.
    constexpr std::uint64_t kFaultSeeds = 60;
    for (const auto& fault : injected_faults()) {
      const auto caught = detect_fault(fault, kFaultSeeds);
      CHECK_MESSAGE(caught.has_value(), fault.name);
    }
  }
}

}  // namespace gorsevalve
