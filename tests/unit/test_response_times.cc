#include <doctest/doctest.h>

#include <string>

#include "core/steering/response_times.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const std::string kPool = "alpha";

}  // namespace

TEST_SUITE("response_times") {
  TEST_CASE("latency is unknown without a recent response, and pools are independent") {
    ResponseTimes times;
    times.add_pool(kPool);
    CHECK(times.latency_level(kPool, kStart) == LatencyLevel::kUnknown);
    times.on_response(kPool, milliseconds(30), kStart);
    CHECK(times.latency_level(kPool, kStart) == LatencyLevel::kLow);
    CHECK(times.latency_level("beta", kStart) == LatencyLevel::kUnknown);
    CHECK(times.latency_level(kPool, kStart + seconds(2)) == LatencyLevel::kUnknown);
  }

  TEST_CASE("queueing is detected within half a second, a single slow response is ignored") {
    ResponseTimes times;
    times.add_pool(kPool);
    Instant now = kStart;
    for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
      times.on_response(kPool, milliseconds(30), now);
    }
    times.on_response(kPool, milliseconds(300), now);
    CHECK(times.latency_level(kPool, now) == LatencyLevel::kLow);
    for (int i = 0; i < 10; ++i, now += milliseconds(50)) {
      times.on_response(kPool, milliseconds(200), now);
    }
    CHECK(times.latency_level(kPool, now) == LatencyLevel::kHigh);
    for (int i = 0; i < 20; ++i, now += milliseconds(50)) {
      times.on_response(kPool, milliseconds(30), now);
    }
    CHECK(times.latency_level(kPool, now) == LatencyLevel::kLow);
  }
}

}  // namespace gorsevalve
