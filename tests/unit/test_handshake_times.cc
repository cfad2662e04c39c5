#include <doctest/doctest.h>

#include <string>

#include "core/steering/handshake_times.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

const std::string kNear = "zone-a";
const std::string kFar = "zone-b";

}  // namespace

TEST_SUITE("handshake_times") {
  TEST_CASE("without samples the timeout is half of the retransmission timeout") {
    const HandshakeTimes times;
    CHECK(times.overdue_timeout(kNear) == HandshakeTimes::kMaxTimeout);
  }

  TEST_CASE("the timeout exceeds the zone's handshake time, from 1 to 60 ms") {
    for (const auto round_trip : {1, 4, 12, 24, 60}) {
      HandshakeTimes times;
      times.add_zone(kNear);
      times.add_zone(kFar);
      for (int i = 0; i < 50; ++i) {
        times.on_established(kNear, milliseconds(round_trip + i % 3));
        times.on_established(kFar, milliseconds(1));
      }
      CHECK(times.overdue_timeout(kNear) > milliseconds(round_trip + 2));
      CHECK(times.overdue_timeout(kNear) <=
            std::max<Duration>(HandshakeTimes::kMinTimeout, milliseconds(round_trip + 10)));
      CHECK(times.overdue_timeout(kFar) == HandshakeTimes::kMinTimeout);
    }
  }

  TEST_CASE("the timeout follows slower handshakes up to half of the retransmission timeout") {
    HandshakeTimes times;
    times.add_zone(kNear);
    times.add_zone(kFar);
    for (int i = 0; i < 50; ++i) {
      times.on_established(kNear, milliseconds(4));
    }
    for (int i = 0; i < 20; ++i) {
      times.on_established(kNear, milliseconds(40));
    }
    CHECK(times.overdue_timeout(kNear) > milliseconds(40));
    for (int i = 0; i < 50; ++i) {
      times.on_established(kNear, milliseconds(500));
    }
    CHECK(times.overdue_timeout(kNear) == HandshakeTimes::kMaxTimeout);
  }
}

}  // namespace gorsevalve
