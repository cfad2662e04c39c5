#include <doctest/doctest.h>

#include "core/balancer/balancer_state.h"
#include "core/balancer/target_table.h"

namespace gorsevalve {
namespace {

constexpr Endpoint kTarget{0x0A000A01, 5683};
constexpr Instant kStart{std::chrono::seconds(1000)};

}  // namespace

TEST_SUITE("target_table") {
  TEST_CASE("a target becomes unhealthy after three failed polls and healthy after one success") {
    TargetTable table;
    const TargetReport failed{kTarget, false, 0, 0};
    CHECK_FALSE(table.on_report(failed, kStart));
    CHECK_FALSE(table.on_report(failed, kStart));
    CHECK(table.at(kTarget).healthy);
    CHECK(table.on_report(failed, kStart));
    CHECK_FALSE(table.at(kTarget).healthy);
    table.on_report({kTarget, true, 0, 0}, kStart);
    CHECK(table.at(kTarget).healthy);
  }

  TEST_CASE("a burst of refusals halves the window once, other responses increase it") {
    TargetTable table;
    table.at(kTarget).window = 8;
    table.on_response(kTarget, true, kStart);
    table.on_response(kTarget, true, kStart + std::chrono::milliseconds(1));
    CHECK(table.at(kTarget).window == doctest::Approx(4));
    for (int i = 0; i < 4; ++i) {
      table.on_response(kTarget, false, kStart);
    }
    CHECK(table.at(kTarget).window > 4.8);
    CHECK(table.at(kTarget).window < 5.0);
  }

  TEST_CASE("the capacity is the window minus the outstanding requests") {
    TargetTable table;
    table.at(kTarget).window = 2.5;
    table.at(kTarget).outstanding = 1;
    CHECK(table.has_capacity(kTarget));
    table.at(kTarget).outstanding = 2;
    CHECK_FALSE(table.has_capacity(kTarget));
  }

  TEST_CASE("the retry budget is a fraction of the requests") {
    RetryBudget budget;
    int taken = 0;
    while (budget.take()) {
      ++taken;
    }
    CHECK(taken == 20);
    for (int i = 0; i < 100; ++i) {
      budget.on_request();
    }
    taken = 0;
    while (budget.take()) {
      ++taken;
    }
    CHECK(taken >= 9);
    CHECK(taken <= 10);
  }
}

}  // namespace gorsevalve
