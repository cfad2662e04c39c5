/// Metrics in the Prometheus text format, through prometheus-cpp.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/balancer/balancer_state.h"
#include "tasks/control_task.h"
#include "tasks/steering_task.h"

namespace gorsevalve {

/// One value to export.
struct MetricSample {
  std::string name;
  std::string help;
  double value = 0;
  bool is_counter = true;
  /// Value of the label "reason"; empty for none. Samples of one name follow each other.
  std::string reason{};
};

/// A counter of the product: `name` without the prefix and the ending that all counters have.
MetricSample counter(std::string name, std::string help, std::uint64_t value);

/// The counters of a balancer as samples.
std::vector<MetricSample> to_samples(const BalancerCounters& counters);

/// The figures of a balancer that steers by reflected tokens.
std::vector<MetricSample> to_samples(const SteeringTask& task);

/// The figures of a control replica.
std::vector<MetricSample> to_samples(const ControlTask& task);

/// Renders samples as Prometheus text.
std::string render_metrics(const std::vector<MetricSample>& samples);

}  // namespace gorsevalve
