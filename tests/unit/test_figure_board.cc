#include <doctest/doctest.h>

#include "core/control/figure_board.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};

/// A pool of targets with the tokens 1 to `count`.
SteeringState pool_of(FlowToken count) {
  SteeringState state;
  for (FlowToken token = 1; token <= count; ++token) {
    RegisteredTarget target;
    target.id = token;
    target.token = token;
    target.pool = "alpha";
    state.put(target);
  }
  return state;
}

TargetObservation requests(FlowToken token, std::uint32_t count) { return {token, count}; }

TargetObservation stalled(FlowToken token, std::uint32_t count) { return {token, count, count}; }

TargetObservation openings(FlowToken token, std::uint32_t count, std::uint32_t refused,
                           std::uint32_t unanswered) {
  return {token, 0, 0, count, refused, unanswered};
}

bool is_troubled(FigureBoard& board, const SteeringState& state, FlowToken token, Instant now) {
  for (const auto& figure : board.conclude(state, now)) {
    if (figure.token == token) {
      return figure.is_troubled;
    }
  }
  return false;
}

}  // namespace

TEST_SUITE("figure_board") {
  TEST_CASE("one refusal makes a target troubled for some seconds") {
    FigureBoard board;
    const SteeringState state = pool_of(3);
    CHECK_FALSE(board.has_trouble());
    board.add({openings(2, 5, 1, 0)}, kStart);
    CHECK(board.has_trouble());
    CHECK(is_troubled(board, state, 2, kStart));
    CHECK_FALSE(is_troubled(board, state, 1, kStart));
    CHECK(is_troubled(board, state, 2, kStart + seconds(4)));
    CHECK_FALSE(is_troubled(board, state, 2, kStart + seconds(6)));
  }

  TEST_CASE("probes refused over some time make a target troubled, those of one moment do not") {
    const SteeringState state = pool_of(3);
    const auto troubled_after = [&](const std::vector<int>& refused_at_ms) {
      FigureBoard board;
      for (const int at : refused_at_ms) {
        TargetObservation seen;
        seen.token = 2;
        seen.refusing = 1;
        board.add({seen}, kStart + milliseconds(at));
        CHECK(board.has_trouble());
      }
      return is_troubled(board, state, 2, kStart + milliseconds(refused_at_ms.back() + 1));
    };
    CHECK_FALSE(troubled_after({0, 1, 2}));
    CHECK(troubled_after({0, 250, 500}));
    // A target that is full now and then.
    CHECK_FALSE(troubled_after({0, 1200, 2400}));
  }

  TEST_CASE("a target that one balancer cannot reach is told of, before all others") {
    FigureBoard board;
    const SteeringState state = pool_of(400);
    std::vector<TargetObservation> seen;
    for (FlowToken token = 1; token <= 300; ++token) {
      seen.push_back(openings(token, 1, 1, 0));
    }
    TargetObservation unreachable;
    unreachable.token = 350;
    unreachable.unreachable = 1;
    seen.push_back(unreachable);
    board.add(seen, kStart);
    CHECK(board.has_trouble());
    const auto figures = board.conclude(state, kStart);
    REQUIRE(figures.size() == FigureBoard::kMaxFigures);
    CHECK(figures[0].token == 350);
    CHECK(figures[0].is_unreachable);
    CHECK(figures[0].is_troubled);
    CHECK_FALSE(figures[1].is_unreachable);
    // A follower passes it on.
    board.add({unreachable}, kStart);
    CHECK(board.take_observations(kStart).back().unreachable == 1);
  }

  TEST_CASE("what was seen of a target before it started again does not count") {
    FigureBoard board;
    SteeringState state = pool_of(3);
    board.add({openings(2, 5, 1, 0)}, kStart);
    CHECK(is_troubled(board, state, 2, kStart));
    state.targets.at(2).started_at_ms = 1;
    CHECK_FALSE(is_troubled(board, state, 2, kStart));
    board.add({openings(2, 5, 1, 0)}, kStart);
    CHECK(is_troubled(board, state, 2, kStart));
  }

  TEST_CASE("lost packets blame no target, silence does") {
    FigureBoard board;
    const SteeringState state = pool_of(3);
    board.add({openings(1, 40, 0, 2), openings(2, 3, 0, 3)}, kStart);
    CHECK_FALSE(is_troubled(board, state, 1, kStart));
    CHECK(is_troubled(board, state, 2, kStart));
  }

  TEST_CASE("requests that stall blame a target only where the rest of its pool works") {
    const SteeringState state = pool_of(4);
    FigureBoard one_is_down;
    one_is_down.add({stalled(1, 3), requests(2, 9), requests(3, 9), requests(4, 9)}, kStart);
    CHECK(is_troubled(one_is_down, state, 1, kStart));
    CHECK_FALSE(is_troubled(one_is_down, state, 2, kStart));
    FigureBoard all_are_slow;
    all_are_slow.add({stalled(1, 3), stalled(2, 3), stalled(3, 4), stalled(4, 3)}, kStart);
    for (FlowToken token = 1; token <= 4; ++token) {
      CHECK_FALSE(is_troubled(all_are_slow, state, token, kStart));
    }
  }

  TEST_CASE("pressures compare requests with the mean of the pool; the usual ones are not told") {
    FigureBoard board;
    SteeringState state = pool_of(4);
    state.targets.at(4).phase = TargetPhase::kDraining;
    board.add({requests(1, 30), requests(2, 20), requests(3, 10), requests(4, 90)}, kStart);
    const auto figures = board.conclude(state, kStart);
    REQUIRE(figures.size() == 2);
    CHECK(figures[0] == TargetFigure{1, 150, false});
    CHECK(figures[1] == TargetFigure{3, 50, false});
    // What was seen loses half of its weight in 10 s; the shares stay.
    board.add({requests(1, 5), requests(2, 10), requests(3, 15)}, kStart + seconds(10));
    CHECK(board.conclude(state, kStart + seconds(10)).empty());
  }

  TEST_CASE("of too many figures, troubles and the largest differences are told") {
    FigureBoard board;
    const SteeringState state = pool_of(300);
    std::vector<TargetObservation> seen;
    for (FlowToken token = 1; token <= 300; ++token) {
      seen.push_back(requests(token, token % 2 == 0 ? 20 : 40));
    }
    seen.push_back(openings(300, 1, 1, 0));
    seen.push_back(requests(7, 60));
    board.add(seen, kStart);
    const auto figures = board.conclude(state, kStart);
    REQUIRE(figures.size() == FigureBoard::kMaxFigures);
    CHECK(figures[0].token == 300);
    CHECK(figures[1].token == 7);
  }

  TEST_CASE("a follower adds up what its balancers saw, and tells it once") {
    FigureBoard board;
    board.add({requests(2, 3), openings(1, 2, 1, 0)}, kStart);
    board.add({requests(2, 4)}, kStart + milliseconds(500));
    const auto seen = board.take_observations(kStart + milliseconds(600));
    REQUIRE(seen.size() == 2);
    CHECK(seen[0] == openings(1, 2, 1, 0));
    CHECK(seen[1] == requests(2, 7));
    CHECK_FALSE(board.has_trouble());
    CHECK(board.take_observations(kStart + milliseconds(700)).empty());
  }
}

}  // namespace gorsevalve
