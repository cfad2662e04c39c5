#include <doctest/doctest.h>

#include <algorithm>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

constexpr std::uint32_t kSlots = 1024;
constexpr std::uint64_t kSalt = 7;

std::vector<RendezvousCandidate> equal_candidates(std::uint64_t count) {
  std::vector<RendezvousCandidate> candidates;
  for (std::uint64_t key = 1; key <= count; ++key) {
    candidates.push_back({key * 1000003, 100});
  }
  return candidates;
}

std::vector<std::uint32_t> counts(const std::vector<std::uint32_t>& table, std::size_t candidates) {
  std::vector<std::uint32_t> result(candidates);
  for (const auto index : table) {
    ++result[index];
  }
  return result;
}

}  // namespace

TEST_SUITE("bounded_rendezvous") {
  TEST_CASE("each candidate gets its share within one slot") {
    const auto candidates = equal_candidates(15);
    const auto shares = counts(assign_slots(candidates, kSlots, kSalt), candidates.size());
    const auto [least, most] = std::minmax_element(shares.begin(), shares.end());
    CHECK(*most - *least <= 1);
  }

  TEST_CASE("shares follow the weights") {
    const std::vector<RendezvousCandidate> candidates = {{11, 100}, {22, 300}, {33, 0}};
    const auto shares = counts(assign_slots(candidates, kSlots, kSalt), candidates.size());
    CHECK(shares == std::vector<std::uint32_t>{256, 768, 0});
  }

  TEST_CASE("the order of the candidates does not matter") {
    auto candidates = equal_candidates(9);
    const auto before = assign_slots(candidates, kSlots, kSalt);
    std::reverse(candidates.begin(), candidates.end());
    const auto after = assign_slots(candidates, kSlots, kSalt);
    for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
      CHECK(before[slot] == candidates.size() - 1 - after[slot]);
    }
  }

  TEST_CASE("removing a candidate moves few slots of the other candidates") {
    auto candidates = equal_candidates(15);
    const auto before = assign_slots(candidates, kSlots, kSalt);
    candidates.back().weight = 0;
    const auto after = assign_slots(candidates, kSlots, kSalt);
    std::uint32_t lost = 0;
    std::uint32_t moved = 0;
    for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
      const bool was_lost = before[slot] == candidates.size() - 1;
      lost += was_lost ? 1 : 0;
      moved += !was_lost && before[slot] != after[slot] ? 1 : 0;
    }
    CHECK(lost == 68);
    CHECK(moved <= 3 * lost);
  }

  TEST_CASE("when no candidate has a positive weight, no slot is assigned") {
    const auto table = assign_slots({{1, 0}}, 4, kSalt);
    CHECK(table == std::vector<std::uint32_t>(4, kUnassigned));
    CHECK(assign_slots({}, 4, kSalt) == table);
  }
}

}  // namespace gorsevalve
