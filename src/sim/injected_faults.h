/// Faults that are put into the core on purpose, to show that the checkers can fail: each must be
/// caught by one of its scenarios.
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
  /// Scenarios in which it should show.
  std::vector<std::string_view> scenarios;
};

/// Where a fault was caught.
struct FaultDetection {
  std::string_view scenario;
  std::uint64_t seed = 0;
  Violation violation;
};

std::span<const InjectedFault> injected_faults();

/// Runs a fault's scenarios with seeds from 1 on until a checker sees it; nothing when none does
/// within `seed_addresses` seeds of each.
std::optional<FaultDetection> detect_fault(const InjectedFault& fault, std::uint64_t seeds);

}  // namespace gorsevalve
