/// Faults injected into the core to test the invariant checkers: at least one scenario of each
/// fault must detect it.
#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "sim/scenario.h"

namespace gorsevalve {

struct InjectedFault {
  std::string_view name;
  std::function<void(SimFaults&)> enable;
  /// Scenarios that are expected to detect the fault.
  std::vector<std::string_view> scenarios;
};

/// First run that detected a fault.
struct FaultDetection {
  std::string_view scenario;
  std::uint64_t seed = 0;
  Violation violation;
};

std::span<const InjectedFault> injected_faults();

/// Runs the scenarios of a fault with seeds 1 to `seeds` until a run reports a violation; returns
/// nullopt when no run does.
std::optional<FaultDetection> detect_fault(const InjectedFault& fault, std::uint64_t seeds);

}  // namespace gorsevalve
