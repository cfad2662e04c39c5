#include "sim/scenario.h"

#include <algorithm>
#include <vector>

#include "sim/scenario_actions.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Expectations kPlanned{true, true, false, true, true};
/// Planned changes on a network without packet loss: no request may fail.
constexpr Expectations kPlannedLossless{true, true, true, true, true};
/// Failures: flows may break, but all invariants hold.
constexpr Expectations kUnplanned{false, false, false, false, true};
/// As kUnplanned; partitioned processes may also miss changes.
constexpr Expectations kPartitioned{false, false, false, false, false};

void disable_loss(WorldConfig& config) { config.network.loss = 0; }

std::vector<Scenario> planned_scenarios() {
  return {
      {"steady", "no changes", disable_loss, [](World&) {}, kPlannedLossless},
      {"balancer_joins", "two balancers join", disable_loss,
       [](World& world) { schedule(world, planned_join, 2); }, kPlannedLossless},
      {"balancer_leaves", "a balancer leaves permanently", disable_loss,
       [](World& world) { schedule(world, planned_leave, 1); }, kPlannedLossless},
      {"rolling_restart", "all balancers restart one after the other",
       [](WorldConfig& config) {
         disable_loss(config);
         config.load_duration = seconds(50);
       },
       [](World& world) { world.at(seconds(2), [&world] { restart_balancers_from(world, 0); }); },
       kPlannedLossless},
      {"target_added", "targets are added and warm up", disable_loss,
       [](World& world) { schedule(world, add_target, 2); }, kPlannedLossless},
      {"target_drained", "a target drains", disable_loss,
       [](World& world) { schedule(world, planned_drain, 2); }, kPlannedLossless},
      {"many_feeds", "1,500 observations on 15 targets: balance of flows",
       [](WorldConfig& config) {
         disable_loss(config);
         config.clients = {1500, 10, 20, 0};
         config.notification_interval = seconds(5);
       },
       [](World&) {}, kPlannedLossless},
      {"many_feeds_drain", "as many_feeds, while targets drain and join, and balancers restart",
       [](WorldConfig& config) {
         disable_loss(config);
         config.clients = {1500, 10, 20, 10};
         config.notification_interval = seconds(5);
         config.load_duration = seconds(60);
       },
       [](World& world) {
         schedule(world, planned_drain, 1);
         schedule(world, add_target, 1);
         schedule(world, planned_restart, 1);
         schedule(world, change_weight, 2);
       },
       kPlannedLossless},
      {"downloads_in_changes", "block-wise downloads while the targets of their service change",
       [](WorldConfig& config) {
         disable_loss(config);
         config.clients = {4, 4, 4, 8};
         config.service_time = milliseconds(15);
         config.think_time = milliseconds(20);
       },
       [](World& world) {
         schedule(world, add_target_to_second_service, 3);
         schedule(world, drain_second_service, 1);
         schedule(world, change_weight, 4);
         schedule(world, planned_restart, 1);
       },
       kPlannedLossless},
      {"target_removed",
       "a target is removed without a drain; its observations move",
       [](WorldConfig& /*config*/) {},
       [](World& world) {
         world.at(random_load_time(world), [&world] { remove_target(world, 3); });
       },
       {true, false, false, true, true}},
      {"settings_changed", "weights change and services are added", disable_loss,
       [](World& world) {
         schedule(world, change_weight, 4);
         schedule(world, add_service, 2);
       },
       kPlannedLossless},
      {"planned_together", "restart, drain, join and settings changes at the same time",
       disable_loss,
       [](World& world) {
         schedule(world, planned_restart, 2);
         schedule(world, planned_drain, 1);
         schedule(world, planned_join, 1);
         schedule(world, change_weight, 2);
         schedule(world, add_target, 1);
       },
       kPlannedLossless},
      {"planned_lossy", "as planned_together without new targets, with packet loss",
       [](WorldConfig& config) { config.network.loss = 0.01; },
       [](World& world) {
         schedule(world, planned_restart, 2);
         schedule(world, planned_drain, 1);
         schedule(world, planned_join, 1);
         schedule(world, change_weight, 2);
       },
       kPlanned},
  };
}

std::vector<Scenario> balancer_failures() {
  const auto default_config = [](WorldConfig&) {};
  return {
      {"balancer_killed", "a balancer crashes and restarts", default_config,
       [](World& world) { schedule(world, kill_balancer, 1); }, kUnplanned},
      {"two_balancers_killed", "two balancers crash at once, possibly owner and backup",
       default_config,
       [](World& world) {
         world.at(random_load_time(world), [&world] {
           kill_balancer(world);
           kill_balancer(world);
         });
       },
       kUnplanned},
      {"balancers_killed_often", "balancers crash repeatedly", default_config,
       [](World& world) { schedule(world, kill_balancer, 6); }, kUnplanned},
      {"balancer_frozen", "balancers pause and resume with outdated ownership", default_config,
       [](World& world) { schedule(world, pause_balancer, 2); }, kUnplanned},
      {"balancer_isolated", "a balancer is partitioned from the control replicas", default_config,
       [](World& world) { schedule(world, isolate_balancer, 1); }, kPartitioned},
      {"isolated_and_lossy", "as balancer_isolated, with packet loss and client retransmissions",
       [](WorldConfig& config) {
         config.network.loss = 0.05;
         config.clients = {4, 40, 0, 0};
       },
       [](World& world) { schedule(world, isolate_balancer, 2); }, kPartitioned},
      {"zone_cut", "a zone is partitioned and recovers", default_config,
       [](World& world) { schedule(world, isolate_zone, 1); }, kPartitioned},
      {"target_killed", "targets crash, restart and warm up", default_config,
       [](World& world) { schedule(world, kill_target, 2); }, kUnplanned},
      {"lossy_network", "10% packet loss", default_config,
       [](World& world) { schedule(world, add_packet_loss, 2); }, kUnplanned},
      {"overload", "load exceeds the capacity of the targets",
       [](WorldConfig& config) {
         config.clients = {20, 60, 60, 20};
         config.service_time = milliseconds(60);
         config.think_time = milliseconds(20);
         config.queue_limit = 4;
         config.first_targets = 4;
         config.second_targets = 2;
       },
       [](World&) {}, kUnplanned},
      {"misleading_reports", "health endpoints report no load",
       [](WorldConfig& config) { config.misleading_reports = true; },
       [](World& world) { schedule(world, planned_drain, 1); }, kPlanned},
      {"failures_in_changes", "planned changes during balancer failures", default_config,
       [](World& world) {
         schedule(world, planned_restart, 2);
         schedule(world, kill_balancer, 2);
         schedule(world, pause_balancer, 1);
         schedule(world, change_weight, 2);
         schedule(world, planned_drain, 1);
       },
       kUnplanned},
  };
}

std::vector<Scenario> leader_failures() {
  const auto default_config = [](WorldConfig&) {};
  return {
      {"leader_isolated", "the leader is partitioned while operators submit concurrently",
       default_config,
       [](World& world) {
         schedule(world, isolate_leader, 2);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"leader_half_cut", "partial partition between the leader and one other replica",
       default_config,
       [](World& world) {
         schedule(world, block_leader_from_follower, 3);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"leader_frozen", "the leader pauses and resumes as leader", default_config,
       [](World& world) {
         schedule(world, pause_leader, 2);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"racing_operators",
       "three operators submit concurrently; requests and replies are lost",
       default_config,
       [](World& world) { race_operators(world, 3, 4); },
       {false, false, false, true, true}},
  };
}

std::vector<Scenario> replica_failures() {
  const auto default_config = [](WorldConfig&) {};
  const auto five_replicas = [](WorldConfig& config) { config.control_replicas = 5; };
  return {
      {"controls_killed", "control replicas lose power repeatedly", default_config,
       [](World& world) {
         schedule(world, kill_control, 6);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"all_controls_restarted", "all control replicas lose power at once", default_config,
       [](World& world) {
         world.at(random_load_time(world), [&world] {
           for (std::size_t i = 0; i < world.controls().size(); ++i) {
             world.kill_control(i, world.random().between(seconds(1), seconds(3)));
           }
         });
         race_operators(world, 2, 2);
       },
       kUnplanned},
      {"disk_lost", "a control replica restarts with an empty disk", default_config,
       [](World& world) {
         schedule(world, wipe_control_disk, 1);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"second_lost_after_repair",
       "a second replica crashes soon after the first one lost its disk", default_config,
       [](World& world) {
         world.at(seconds(3), [&world] {
           world.kill_control(0, seconds(1), true);
           const Duration delay = world.random().between(seconds(1), seconds(4));
           world.events().after(delay, [&world] { world.kill_control(1, seconds(2)); });
         });
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"disk_fails", "disk writes and syncs of control replicas fail", default_config,
       [](World& world) {
         schedule(world, fail_disk, 2);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"region_cut", "one of three zones is partitioned; five control replicas", five_replicas,
       [](World& world) {
         world.at(seconds(3), [&world] {
           world.note("cut region");
           world.network().isolate_zones({0});
         });
         world.at(seconds(18), [&world] { world.heal(); });
         race_operators(world, 2, 2);
       },
       kPartitioned},
  };
}

std::vector<Scenario> wide_failures() {
  return {
      {"regions_cut", "two of five zones are partitioned from the other three for 85 s",
       [](WorldConfig& config) {
         config.zones = 5;
         config.balancers_per_zone = 1;
         config.control_replicas = 5;
         config.network.loss = 0.05;
         config.clients = {4, 40, 0, 2};
         config.load_duration = seconds(95);
       },
       [](World& world) {
         world.at(seconds(2), [&world] {
           world.note("cut regions");
           world.network().isolate_zones({0, 1});
         });
         world.at(seconds(87), [&world] { world.heal(); });
         race_operators(world, 2, 2);
       },
       kPartitioned},
      {"regions_cut_for_an_hour", "as regions_cut, for an hour with low load",
       [](WorldConfig& config) {
         config.zones = 5;
         config.balancers_per_zone = 1;
         config.control_replicas = 5;
         config.first_targets = 3;
         config.second_targets = 2;
         config.clients = {3, 6, 0, 1};
         config.think_time = seconds(5);
         config.notification_interval = seconds(10);
         config.load_duration = seconds(3660);
       },
       [](World& world) {
         world.at(seconds(10), [&world] {
           world.note("cut regions");
           world.network().isolate_zones({0, 1});
         });
         world.at(seconds(3610), [&world] { world.heal(); });
         race_operators(world, 2, 2);
       },
       kPartitioned},
      {"everything", "random failures and changes at random times",
       [](WorldConfig& config) { config.load_duration = seconds(40); },
       [](World& world) {
         const std::vector<Action> actions = {
             planned_restart, planned_drain, planned_join,     change_weight,   kill_balancer,
             pause_balancer,  isolate_zone,  isolate_balancer, kill_control,    wipe_control_disk,
             isolate_leader,  pause_leader,  kill_target,      add_packet_loss, add_target};
         for (int i = 0; i < 8; ++i) {
           schedule(world, actions[world.random().below(actions.size())], 1);
         }
         race_operators(world, 2, 3);
       },
       kPartitioned},
  };
}

std::vector<Scenario> all_scenarios() {
  std::vector<Scenario> all = planned_scenarios();
  for (const auto& group :
       {balancer_failures(), leader_failures(), replica_failures(), wide_failures()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

}  // namespace

std::span<const Scenario> scenarios() {
  static const std::vector<Scenario> kAll = all_scenarios();
  return kAll;
}

const Scenario* find_scenario(std::string_view name) {
  const auto all = scenarios();
  const auto found = std::find_if(all.begin(), all.end(),
                                  [&](const Scenario& scenario) { return scenario.name == name; });
  return found == all.end() ? nullptr : &*found;
}

RunResult run_scenario(const Scenario& scenario, const RunOptions& options) {
  WorldConfig config;
  config.seed = options.seed;
  config.prints_trace = options.prints_trace;
  config.scheme = options.scheme;
  config.faults = options.faults;
  scenario.configure(config);
  World world(config);
  world.start();
  scenario.script(world);
  return world.run(scenario.expectations);
}

}  // namespace gorsevalve
