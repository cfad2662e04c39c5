/// Tests whether a seeded workload detects an injected fault.
#pragma once

#include <cstdint>

namespace gorsevalve {

/// True when the workload reports a failure for at least one of its seeds.
template <typename Workload, typename Faults>
bool is_fault_detected(const Faults& faults) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    if (!Workload(seed, faults).run().empty()) {
      return true;
    }
  }
  return false;
}

}  // namespace gorsevalve
