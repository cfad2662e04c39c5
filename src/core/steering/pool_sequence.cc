#include "core/steering/pool_sequence.h"

#include <absl/numeric/int128.h>

namespace gorsevalve {
namespace {

/// 2^64 divided by the golden ratio, rounded to an odd number.
constexpr std::uint64_t kGoldenRatioStep = 0x9E3779B97F4A7C15ULL;

}  // namespace

std::size_t PoolSequence::next(absl::Span<const PoolShare> shares) {
  std::uint64_t total = 0;
  for (const PoolShare& share : shares) {
    total += share.weight;
  }
  position_ += kGoldenRatioStep;
  std::uint64_t remaining = absl::Uint128High64(absl::uint128(position_) * total);
  std::size_t selected = 0;
  while (selected + 1 < shares.size() && remaining >= shares[selected].weight) {
    remaining -= shares[selected].weight;
    ++selected;
  }
  return selected;
}

}  // namespace gorsevalve
