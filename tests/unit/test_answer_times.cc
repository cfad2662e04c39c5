#include <doctest/doctest.h>

#include <string>

#include "core/steering/answer_times.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const std::string kPool = "alpha";

}  // namespace

TEST_SUITE("answer_times") {
  TEST_CASE("without a late answer nothing is known, and pools are kept apart") {
    AnswerTimes times;
    times.add_pool(kPool);
    CHECK(times.promptness(kPool, kStart) == Promptness::kUnknown);
    times.on_answer(kPool, milliseconds(30), kStart);
    CHECK(times.promptness(kPool, kStart) == Promptness::kPrompt);
    CHECK(times.promptness("beta", kStart) == Promptness::kUnknown);
    CHECK(times.promptness(kPool, kStart + seconds(2)) == Promptness::kUnknown);
  }

  TEST_CASE("queues that fill show within half a second, one slow answer does not count") {
    AnswerTimes times;
    times.add_pool(kPool);
    Instant now = kStart;
    for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
      times.on_answer(kPool, milliseconds(30), now);
    }
    times.on_answer(kPool, milliseconds(300), now);
    CHECK(times.promptness(kPool, now) == Promptness::kPrompt);
    for (int i = 0; i < 10; ++i, now += milliseconds(50)) {
      times.on_answer(kPool, milliseconds(200), now);
    }
    CHECK(times.promptness(kPool, now) == Promptness::kSlow);
    for (int i = 0; i < 20; ++i, now += milliseconds(50)) {
      times.on_answer(kPool, milliseconds(30), now);
    }
    CHECK(times.promptness(kPool, now) == Promptness::kPrompt);
  }
}

}  // namespace gorsevalve
