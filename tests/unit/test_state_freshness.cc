#include <doctest/doctest.h>

#include "core/balancer/state_freshness.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(1000)};

}  // namespace

TEST_SUITE("state_freshness") {
  TEST_CASE("nothing is confirmed before the first reply") {
    StateFreshness freshness;
    freshness.on_applied(7);
    CHECK_FALSE(freshness.confirmed_at());
    CHECK(freshness.pending() == 0);
  }

  TEST_CASE("a reply confirms the state as of the heartbeat, not as of its arrival") {
    StateFreshness freshness;
    freshness.on_applied(7);
    freshness.on_current_reply(kStart, 7);
    CHECK(freshness.confirmed_at() == kStart);
    // A late reply to an earlier heartbeat does not move the time back.
    freshness.on_current_reply(kStart - milliseconds(500), 7);
    CHECK(freshness.confirmed_at() == kStart);
  }

  TEST_CASE("a reply with a newer revision confirms the state once that revision is applied") {
    StateFreshness freshness;
    freshness.on_applied(7);
    freshness.on_current_reply(kStart, 7);
    freshness.on_current_reply(kStart + milliseconds(500), 9);
    freshness.on_current_reply(kStart + milliseconds(1000), 12);
    CHECK(freshness.confirmed_at() == kStart);
    CHECK(freshness.pending() == 9);
    freshness.on_applied(8);
    CHECK(freshness.confirmed_at() == kStart);
    freshness.on_applied(10);
    CHECK(freshness.confirmed_at() == kStart + milliseconds(500));
    CHECK(freshness.pending() == 0);
  }

  TEST_CASE("a dropped state is not confirmed by replies that confirmed it before") {
    StateFreshness freshness;
    freshness.on_applied(7);
    freshness.on_current_reply(kStart, 7);
    freshness.on_applied(0);
    freshness.on_current_reply(kStart + milliseconds(500), 7);
    CHECK(freshness.confirmed_at() == kStart);
    CHECK(freshness.pending() == 7);
  }
}

}  // namespace gorsevalve
