#include "sim/injected_faults.h"

namespace gorsevalve {
namespace {

std::vector<InjectedFault> make_faults() {
  return {
      {"skip_lease_check",
       [](SimFaults& faults) { faults.balancer.skip_lease_check = true; },
       {"regions_cut"}},
      {"skip_record_before_dispatch",
       [](SimFaults& faults) { faults.balancer.skip_record_before_dispatch = true; },
       {"balancers_killed_often", "two_balancers_killed", "everything"}},
      {"skip_incomplete_check",
       [](SimFaults& faults) { faults.balancer.skip_incomplete_check = true; },
       {"two_balancers_killed", "balancers_killed_often", "everything"}},
      {"ignore_seal",
       [](SimFaults& faults) { faults.balancer.ignore_fence = true; },
       {"isolated_and_lossy"}},
      {"ignore_revision_floor",
       [](SimFaults& faults) {
         faults.client.ignore_revision_floor = true;
         faults.control.send_older_revisions = true;
       },
       {"leader_isolated", "controls_killed", "all_controls_restarted", "everything"}},
      {"drop_state_on_handover",
       [](SimFaults& faults) { faults.balancer.drop_state_on_handover = true; },
       {"rolling_restart", "planned_together"}},
      {"vote_without_log_check",
       [](SimFaults& faults) { faults.replica.vote_without_log_check = true; },
       {"controls_killed", "leader_isolated", "region_cut", "everything"}},
      {"vote_while_leader_lives",
       [](SimFaults& faults) { faults.replica.vote_despite_live_leader = true; },
       {"leader_half_cut"}},
      {"commit_without_majority",
       [](SimFaults& faults) { faults.replica.commit_without_majority = true; },
       {"leader_isolated", "region_cut", "everything"}},
      {"ignore_leader_lease",
       [](SimFaults& faults) { faults.replica.ignore_leader_lease = true; },
       {"leader_isolated", "leader_frozen", "region_cut"}},
      {"keep_identity_on_empty_disk",
       [](SimFaults& faults) { faults.replica.keep_identity_on_empty_disk = true; },
       {"second_lost_after_repair", "disk_lost", "everything"}},
      {"accept_before_commit",
       [](SimFaults& faults) { faults.control.accept_before_commit = true; },
       {"racing_operators", "leader_isolated", "everything"}},
  };
}

}  // namespace

std::span<const InjectedFault> injected_faults() {
  static const std::vector<InjectedFault> kFaults = make_faults();
  return kFaults;
}

std::optional<FaultDetection> detect_fault(const InjectedFault& fault, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const auto name : fault.scenarios) {
      RunOptions options;
      options.seed = seed;
      fault.enable(options.faults);
      const RunResult result = run_scenario(*find_scenario(name), options);
      if (!result.violations.empty()) {
        return FaultDetection{name, seed, result.violations.front()};
      }
    }
  }
  return std::nullopt;
}

}  // namespace gorsevalve
