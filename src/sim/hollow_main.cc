/// gorsevalve-hollow: measures the control plane with many hollow balancers in one process.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <sys/resource.h>

#include <cstdio>

#include "programs/program.h"
#include "sim/hollow_fleet.h"

ABSL_FLAG(std::int32_t, nodes, 750, "hollow balancers");
ABSL_FLAG(std::int32_t, control, 6, "control replicas");
ABSL_FLAG(std::int32_t, services, 2200, "services");
ABSL_FLAG(std::int32_t, targets, 4200, "targets over all services");
ABSL_FLAG(std::int32_t, changes, 10, "settings changes that are measured");
ABSL_FLAG(std::int32_t, change_interval_s, 10, "seconds between two changes");
ABSL_FLAG(std::int32_t, partitions, 4096, "ownership partitions");
ABSL_FLAG(bool, derive_tables, false, "each node derives its tables, as a balancer does");
ABSL_FLAG(std::uint64_t, seed, 1, "seed");

namespace gorsevalve {
namespace {

double milliseconds(Duration time) { return static_cast<double>(time.count()) / 1000; }

int run() {
  HollowFleetConfig config;
  config.seed = absl::GetFlag(FLAGS_seed);
  config.nodes = absl::GetFlag(FLAGS_nodes);
  config.control_replicas = absl::GetFlag(FLAGS_control);
  config.services = absl::GetFlag(FLAGS_services);
  config.targets = absl::GetFlag(FLAGS_targets);
  config.partitions = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_partitions));
  config.changes = absl::GetFlag(FLAGS_changes);
  config.change_interval = std::chrono::seconds(absl::GetFlag(FLAGS_change_interval_s));
  config.derives_tables = absl::GetFlag(FLAGS_derive_tables);
  if (config.nodes < 1 || config.services < 1 || config.targets < config.services ||
      config.changes < 1) {
    return fail("needs nodes, services, changes >= 1 and targets >= services", kExitUsage);
  }
  const HollowFleetResult result = run_hollow_fleet(config);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf("nodes=%d control=%d services=%d targets=%d fleet_octets=%zu\n", config.nodes,
              config.control_replicas, config.services, config.targets, result.fleet_octets);
  std::printf("join_s=%.1f force_ms: median=%.1f max=%.1f differing_nodes=%d\n",
              milliseconds(result.join_time) / 1000,
              milliseconds(result.force_times[result.force_times.size() / 2]),
              milliseconds(result.force_times.back()), result.differing_nodes);
  std::printf("octets a second and node: idle=%.0f with_changes=%.0f; busiest replica idle=%.0f\n",
              result.idle_octets_per_second, result.busy_octets_per_second,
              result.replica_octets_per_second);
  std::printf(
      "processor time, us: node idle a second=%.1f, node a change=%.0f, "
      "all replicas idle a second=%.0f\n",
      result.idle_microseconds_per_second, result.change_microseconds,
      result.replica_idle_microseconds_per_second);
  std::printf("resident memory of the whole process, MB: %ld\n", usage.ru_maxrss / 1024);
  return result.differing_nodes == 0 ? kExitOk : kExitFailure;
}

}  // namespace
}  // namespace gorsevalve

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("gorsevalve-hollow: the control plane at scale in one process.");
  absl::ParseCommandLine(argc, argv);
  return gorsevalve::run();
}
