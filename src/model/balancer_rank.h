/// A balancer's place among all balancers that share a budget by turns.
#pragma once

#include <cstdint>

#include "model/endpoint.h"

namespace gorsevalve {

/// Numbers run from 0 to `count` - 1, and no two balancers have the same one while all of them have
/// heard the same leader. A `count` of 0 tells nothing.
struct BalancerRank {
  std::uint32_t index = 0;
  std::uint32_t count = 0;

  friend bool operator==(const BalancerRank&, const BalancerRank&) = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& index& count;
  }
};

/// The place of one balancer, as the leader tells it to the replica that serves the balancer.
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
