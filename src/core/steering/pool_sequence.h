/// Selects the pools of a frontend's successive new flows by weight. Holds no weights, so that
/// a change of the frontend takes effect with the next flow, whatever was selected before.
#pragma once

#include <absl/types/span.h>

#include <cstdint>

#include "core/steering/steering_view.h"

namespace gorsevalve {

/// An additive recurrence with the golden ratio (a Weyl sequence): its points fill the unit
/// interval evenly, so that a pool's share is more exact than with random points. Each point
/// selects the pool in whose part of the interval it lies.
class PoolSequence {
 public:
  /// Balancers with different starts select independently of each other.
  explicit PoolSequence(std::uint64_t start) : position_(start) {}

  /// Index of the selected share, never one of weight 0 unless all are. `shares` must not be empty.
  std::size_t next(absl::Span<const PoolShare> shares);

 private:
  /// Point in the unit interval, in units of 2^-64.
  std::uint64_t position_;
};

}  // namespace gorsevalve
