/// gorsevalve-sim: runs the production core in a simulated deployment on a virtual clock.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <mutex>
#include <thread>

#include "programs/program.h"
#include "sim/injected_faults.h"
#include "sim/scenario.h"

ABSL_FLAG(std::string, scenario, "all", "name of the scenario, or all");
ABSL_FLAG(std::uint64_t, first_seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds");
ABSL_FLAG(std::uint64_t, seed, 0, "seed to replay");
ABSL_FLAG(bool, trace, false, "print the trace of each run");
ABSL_FLAG(std::int32_t, jobs, 1, "number of seeds to run in parallel");
ABSL_FLAG(std::string, scheme, "owners", "flow affinity scheme: owners, maglev or copy");

namespace gorsevalve {
namespace {

/// Results summed over the seeds of one scenario.
struct Summary {
  std::uint64_t runs = 0;
  std::uint64_t failed = 0;
  std::uint64_t violations = 0;
  ClientStats client_stats;
  /// Imbalance at the first service: of requests run and of open observations.
  std::vector<double> request_imbalance;
  std::vector<double> observation_imbalance;
  std::size_t flow_records = 0;
  Duration max_apply_time{};
  std::uint64_t datagrams = 0;
  std::uint64_t relayed = 0;
  double peer_bytes = 0;
  double node_bytes = 0;
};

void add(Summary& summary, const RunResult& result) {
  ++summary.runs;
  summary.failed += result.violations.empty() ? 0 : 1;
  summary.violations += result.violations.size();
  summary.client_stats.add(result.client_stats);
  summary.client_stats.updates.clear();
  summary.client_stats.latencies.clear();
  summary.request_imbalance.push_back(result.request_imbalance.front());
  summary.observation_imbalance.push_back(result.observation_imbalance);
  summary.flow_records += result.flow_records;
  summary.max_apply_time = std::max(summary.max_apply_time, result.max_apply_time);
  summary.datagrams += result.datagrams;
  summary.relayed += result.relayed;
  summary.peer_bytes += result.peer_bytes_per_second;
  summary.node_bytes += result.node_bytes_per_second;
}

void print_failure(const Scenario& scenario, std::uint64_t seed, const RunResult& result) {
  const Violation& first = result.violations.front();
  std::printf("FAILED scenario=%s seed=%llu violations=%zu first=%s: %s\n",
              std::string(scenario.name).c_str(), static_cast<unsigned long long>(seed),
              result.violations.size(), std::string(to_string(first.invariant)).c_str(),
              first.detail.c_str());
}

double quantile(std::vector<double> values, double fraction) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void print_summary(const Scenario& scenario, const Summary& summary) {
  const auto runs = static_cast<double>(summary.runs);
  const double relayed_percent =
      summary.datagrams == 0
          ? 0
          : 100.0 * static_cast<double>(summary.relayed) / static_cast<double>(summary.datagrams);
  std::printf(
      "%-26s seeds=%llu failed=%llu requests=%llu answers=%llu broken=%llu feed_moves=%llu "
      "not_run=%llu may_have_run=%llu timeouts=%llu force_max_ms=%lld relayed=%.0f%% "
      "peer_Bps=%.0f node_Bps=%.0f imbalance_p50=%.2f imbalance_p99=%.2f feed_imbalance_p50=%.2f "
      "feed_imbalance_p99=%.2f flows_held=%.0f\n",
      std::string(scenario.name).c_str(), static_cast<unsigned long long>(summary.runs),
      static_cast<unsigned long long>(summary.failed),
      static_cast<unsigned long long>(summary.client_stats.requests),
      static_cast<unsigned long long>(summary.client_stats.responses),
      static_cast<unsigned long long>(summary.client_stats.broken_flows),
      static_cast<unsigned long long>(summary.client_stats.observation_moves),
      static_cast<unsigned long long>(summary.client_stats.verdicts_not_run),
      static_cast<unsigned long long>(summary.client_stats.verdicts_may_have_run),
      static_cast<unsigned long long>(summary.client_stats.timeouts),
      static_cast<long long>(summary.max_apply_time.count() / 1000), relayed_percent,
      summary.peer_bytes / runs, summary.node_bytes / runs,
      quantile(summary.request_imbalance, 0.5), quantile(summary.request_imbalance, 0.99),
      quantile(summary.observation_imbalance, 0.5), quantile(summary.observation_imbalance, 0.99),
      static_cast<double>(summary.flow_records) / runs);
  std::fflush(stdout);
}

AffinityScheme read_scheme() {
  const std::string name = absl::GetFlag(FLAGS_scheme);
  if (name == "maglev") {
    return AffinityScheme::kMaglevLocal;
  }
  if (name == "copy") {
    return AffinityScheme::kReplicateToAll;
  }
  if (name != "owners") {
    std::exit(fail("--scheme must be owners, maglev or copy", kExitUsage));
  }
  return AffinityScheme::kPartitionOwners;
}

/// Calls `work` for each number below `count`, on --jobs threads.
void run_on_threads(std::uint64_t count, const std::function<void(std::uint64_t)>& work) {
  std::atomic<std::uint64_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(absl::GetFlag(FLAGS_jobs)));
  for (int i = 0; i < absl::GetFlag(FLAGS_jobs); ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t number = next++; number < count; number = next++) {
        work(number);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

/// Runs a scenario with a range of seeds on --jobs threads; runs are independent.
Summary run_seeds(const Scenario& scenario, std::uint64_t first, std::uint64_t count) {
  RunOptions options;
  options.prints_trace = absl::GetFlag(FLAGS_trace);
  options.scheme = read_scheme();
  std::mutex mutex;
  Summary summary;
  run_on_threads(count, [&](std::uint64_t number) {
    RunOptions seed_options = options;
    seed_options.seed = first + number;
    const RunResult result = run_scenario(scenario, seed_options);
    const std::lock_guard lock(mutex);
    add(summary, result);
    if (!result.violations.empty()) {
      print_failure(scenario, seed_options.seed, result);
    }
  });
  return summary;
}

int run_all(std::uint64_t first, std::uint64_t count) {
  const std::string scenario_name = absl::GetFlag(FLAGS_scenario);
  if (scenario_name != "all" && find_scenario(scenario_name) == nullptr) {
    return fail("--scenario=" + scenario_name + ": unknown scenario; see gorsevalve-sim list",
                kExitUsage);
  }
  std::uint64_t runs = 0;
  std::uint64_t failed = 0;
  std::uint64_t violations = 0;
  for (const auto& scenario : scenarios()) {
    if (scenario_name != "all" && scenario_name != scenario.name) {
      continue;
    }
    const Summary summary = run_seeds(scenario, first, count);
    print_summary(scenario, summary);
    runs += summary.runs;
    failed += summary.failed;
    violations += summary.violations;
  }
  std::printf("summary: runs=%llu failed=%llu violations=%llu first_seed=%llu seeds=%llu\n",
              static_cast<unsigned long long>(runs), static_cast<unsigned long long>(failed),
              static_cast<unsigned long long>(violations), static_cast<unsigned long long>(first),
              static_cast<unsigned long long>(count));
  return failed == 0 ? kExitOk : kExitFailure;
}

int list() {
  for (const auto& scenario : scenarios()) {
    std::printf("%-26s %s\n", std::string(scenario.name).c_str(),
                std::string(scenario.description).c_str());
  }
  return kExitOk;
}

int replay() {
  const std::string name = absl::GetFlag(FLAGS_scenario);
  const Scenario* scenario = find_scenario(name);
  if (scenario == nullptr) {
    return fail("--scenario=" + name + ": not the name of a scenario; see gorsevalve-sim list",
                kExitUsage);
  }
  RunOptions options;
  options.seed = absl::GetFlag(FLAGS_seed);
  options.prints_trace = absl::GetFlag(FLAGS_trace);
  options.scheme = read_scheme();
  const RunResult result = run_scenario(*scenario, options);
  for (const auto& violation : result.violations) {
    std::printf("VIOLATION %s: %s\n", std::string(to_string(violation.invariant)).c_str(),
                violation.detail.c_str());
  }
  for (std::size_t i = 0; i < kFailureReasonCount; ++i) {
    std::printf("failed requests, %s: %llu\n",
                std::string(to_string(static_cast<FailureReason>(i))).c_str(),
                static_cast<unsigned long long>(result.failures_by_reason[i]));
  }
  std::printf("seed=%llu events=%llu trace_hash=%016llx violations=%zu\n",
              static_cast<unsigned long long>(options.seed),
              static_cast<unsigned long long>(result.events),
              static_cast<unsigned long long>(result.trace_hash), result.violations.size());
  return result.violations.empty() ? kExitOk : kExitFailure;
}

/// Prints, for each injected fault, the scenario and seed that detect it.
int show_faults() {
  const std::uint64_t seeds = absl::GetFlag(FLAGS_seeds);
  const auto faults = injected_faults();
  std::vector<std::optional<FaultDetection>> detections(faults.size());
  run_on_threads(faults.size(), [&](std::uint64_t number) {
    detections[number] = detect_fault(faults[number], seeds);
  });
  int missed = 0;
  for (std::size_t i = 0; i < faults.size(); ++i) {
    const std::string name(faults[i].name);
    if (!detections[i]) {
      ++missed;
      std::printf("%-30s NOT CAUGHT within %llu seeds\n", name.c_str(),
                  static_cast<unsigned long long>(seeds));
      continue;
    }
    std::printf("%-30s caught: scenario=%s seed=%llu %s: %s\n", name.c_str(),
                std::string(detections[i]->scenario).c_str(),
                static_cast<unsigned long long>(detections[i]->seed),
                std::string(to_string(detections[i]->violation.invariant)).c_str(),
                detections[i]->violation.detail.c_str());
  }
  return missed == 0 ? kExitOk : kExitFailure;
}

int run(const std::vector<char*>& arguments) {
  const std::string command = arguments.size() > 1 ? arguments[1] : "";
  if (command == "run") {
    return run_all(absl::GetFlag(FLAGS_first_seed), absl::GetFlag(FLAGS_seeds));
  }
  if (command == "list") {
    return list();
  }
  if (command == "replay") {
    return replay();
  }
  if (command == "faults") {
    return show_faults();
  }
  return fail("usage: gorsevalve-sim run|list|replay|faults [flags]", kExitUsage);
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "gorsevalve-sim run --scenario=NAME|all --first_seed=N --seeds=K [--jobs=J]\n"
      "gorsevalve-sim list\n"
      "gorsevalve-sim replay --scenario=NAME --seed=N [--trace]\n"
      "gorsevalve-sim faults --seeds=K [--jobs=J]");
  return gorsevalve::run(absl::ParseCommandLine(argc, argv));
}
