/// Whether a seeded workload shows a deliberate fault.
#pragma once

#include <cstdint>

namespace gorsevalve {

/// True when one of some seeds of the workload shows the fault.
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
