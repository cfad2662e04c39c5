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

/// One value of a metric.
struct MetricSample {
  std::string name;
  std::string help;
  double value = 0;
  bool is_counter = true;
  /// Value of the label "reason"; empty for none. Samples with the same name must be adjacent.
  std::string reason{};
};

/// Makes a counter; adds the prefix "gorsevalve_" and the suffix "_total" to `name`.
MetricSample counter(std::string name, std::string help, std::uint64_t value);

/// Metrics of a balancer.
std::vector<MetricSample> to_samples(const BalancerCounters& counters);

/// Metrics of a balancer that steers by reflected tokens.
std::vector<MetricSample> to_samples(const SteeringTask& task);

/// Metrics of a control replica.
std::vector<MetricSample> to_samples(const ControlTask& task);

/// Renders samples in the Prometheus text format.
std::string render_metrics(const std::vector<MetricSample>& samples);

}  // namespace gorsevalve
