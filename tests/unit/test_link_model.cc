#include <doctest/doctest.h>

#include "core/link/link_model.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{std::chrono::seconds(1000)};
/// 2 Mbit/s.
constexpr double kRate = 250'000;
/// A packet that takes 5 ms of the usable rate, including framing.
constexpr std::size_t kLargePacket = 1188 - LinkModel::kFramingBytes;

}  // namespace

TEST_SUITE("link_model") {
  TEST_CASE("the backlog drains at the rate of the link") {
    LinkModel link(kRate);
    for (int i = 0; i < 16; ++i) {
      link.on_sent(kLargePacket, kStart);
    }
    CHECK(link.send_backlog(kStart) / milliseconds(1) == 80);
    CHECK(link.send_backlog(kStart + milliseconds(40)) / milliseconds(1) == 40);
    CHECK(link.send_backlog(kStart + milliseconds(100)) == Duration::zero());
    CHECK(link.is_congested(kStart));
  }

  TEST_CASE("utilization follows recent traffic") {
    LinkModel link(kRate);
    Instant now = kStart;
    for (int i = 0; i < 1000; ++i) {
      now += milliseconds(10);
      link.on_received(1188 - LinkModel::kFramingBytes, now);
    }
    CHECK(link.receive_utilization(now) == doctest::Approx(0.5).epsilon(0.03));
    CHECK_FALSE(link.is_congested(now));
    CHECK(link.receive_utilization(now + milliseconds(400)) ==
          doctest::Approx(0.125).epsilon(0.05));
  }

  TEST_CASE("a link of unknown rate is never congested") {
    LinkModel link(0);
    for (int i = 0; i < 1000; ++i) {
      link.on_sent(kLargePacket, kStart);
    }
    CHECK(link.send_backlog(kStart) == Duration::zero());
    CHECK(link.send_utilization(kStart) == 0);
    CHECK_FALSE(link.is_congested(kStart));
  }
}

}  // namespace gorsevalve
