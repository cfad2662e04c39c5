#include <doctest/doctest.h>

#include <string>

#include "core/steering/opening_times.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

const std::string kNear = "zone-a";
const std::string kFar = "zone-b";

}  // namespace

TEST_SUITE("opening_times") {
  TEST_CASE("before the first answer of a zone, half of the time to a copy counts") {
    const OpeningTimes times;
    CHECK(times.overdue_after(kNear) == OpeningTimes::kMost);
  }

  TEST_CASE("an opening is overdue above what is usual in its target's zone, from 1 to 60 ms") {
    for (const auto round_trip : {1, 4, 12, 24, 60}) {
      OpeningTimes times;
      times.add_zone(kNear);
      times.add_zone(kFar);
      for (int i = 0; i < 50; ++i) {
        times.on_opened(kNear, milliseconds(round_trip + i % 3));
        times.on_opened(kFar, milliseconds(1));
      }
      CHECK(times.overdue_after(kNear) > milliseconds(round_trip + 2));
      CHECK(times.overdue_after(kNear) <=
            std::max<Duration>(OpeningTimes::kLeast, milliseconds(round_trip + 10)));
      CHECK(times.overdue_after(kFar) == OpeningTimes::kLeast);
    }
  }

  TEST_CASE("where openings slow down, the bound follows, up to half of the time to a copy") {
    OpeningTimes times;
    times.add_zone(kNear);
    times.add_zone(kFar);
    for (int i = 0; i < 50; ++i) {
      times.on_opened(kNear, milliseconds(4));
    }
    for (int i = 0; i < 20; ++i) {
      times.on_opened(kNear, milliseconds(40));
    }
    CHECK(times.overdue_after(kNear) > milliseconds(40));
    for (int i = 0; i < 50; ++i) {
      times.on_opened(kNear, milliseconds(500));
    }
    CHECK(times.overdue_after(kNear) == OpeningTimes::kMost);
  }
}

}  // namespace gorsevalve
