/// Rank of a balancer among all balancers that share a budget.
#pragma once

#include <cstdint>

#include "model/endpoint.h"

namespace gorsevalve {

/// Indexes run from 0 to `count` - 1 and are unique while all balancers have ranks from the
/// same leader. A `count` of 0 means that the rank is unknown.
struct BalancerRank {
  std::uint32_t index = 0;
  std::uint32_t count = 0;

  friend bool operator==(const BalancerRank&, const BalancerRank&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& index& count;
  }
};

/// Rank of one balancer, sent by the leader to the replica that serves the balancer.
struct RankedBalancer {
  Endpoint balancer;
  BalancerRank rank;

  friend bool operator==(const RankedBalancer&, const RankedBalancer&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& balancer& rank;
  }
};

}  // namespace gorsevalve
