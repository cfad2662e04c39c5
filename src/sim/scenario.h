/// Scenarios of the simulator: a deployment, its changes and failures, and the expectations.
#pragma once

#include <functional>
#include <span>
#include <string_view>

#include "sim/world.h"

namespace gorsevalve {

struct Scenario {
  std::string_view name;
  std::string_view description;
  /// Changes the default configuration of the deployment.
  std::function<void(WorldConfig&)> configure;
  /// Schedules changes and failures during the load phase.
  std::function<void(World&)> script;
  Expectations expectations;
};

/// All scenarios, in a fixed order.
std::span<const Scenario> scenarios();

/// Returns the scenario with this name, or nullptr.
const Scenario* find_scenario(std::string_view name);

/// Options of one run.
struct RunOptions {
  std::uint64_t seed = 1;
  bool prints_trace = false;
  AffinityScheme scheme = AffinityScheme::kPartitionOwners;
  SimFaults faults;
};

RunResult run_scenario(const Scenario& scenario, const RunOptions& options);

}  // namespace gorsevalve
