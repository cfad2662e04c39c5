#include "sim/scenario.h"

#include <algorithm>
#include <vector>

#include "sim/scenario_actions.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Expectations kPlanned{true, true, false, true, true};
/// Planned changes on a network that loses nothing: not one request may be cut.
constexpr Expectations kPlannedLossless{true, true, true, true, true};
/// Something broke: flows may break, what was promised must still be true.
constexpr Expectations kUnplanned{false, false, false, false, true};
/// As before, and some processes cannot hear of changes.
constexpr Expectations kPartitioned{false, false, false, false, false};

void disable_loss(WorldConfig& config) { config.network.loss = 0; }

std::vector<Scenario> planned_scenarios() {
  return {
      {"steady", "nothing changes", disable_loss, [](World&) {}, kPlannedLossless},
      {"balancer_joins", "two balancers join", disable_loss,
       [](World& world) { schedule(world, planned_join, 2); }, kPlannedLossless},
      {"balancer_leaves", "a balancer leaves for good", disable_loss,
       [](World& world) { schedule(world, planned_leave, 1); }, kPlannedLossless},
      {"rolling_restart", "all balancers restart one after the other",
       [](WorldConfig& config) {
         disable_loss(config);
         config.load_duration = seconds(50);
       },
       [](World& world) { world.at(seconds(2), [&world] { restart_balancers_from(world, 0); }); },
       kPlannedLossless},
      {"target_added", "targets come in cold", disable_loss,
       [](World& world) { schedule(world, add_target, 2); }, kPlannedLossless},
      {"target_drained", "a target drains", disable_loss,
       [](World& world) { schedule(world, planned_drain, 2); }, kPlannedLossless},
      {"many_feeds", "1,500 feeds over 15 targets: the balance of flows",
       [](WorldConfig& config) {
         disable_loss(config);
         config.clients = {1500, 10, 20, 0};
         config.notification_interval = seconds(5);
       },
       [](World&) {}, kPlannedLossless},
      {"many_feeds_drain", "the same while targets drain and come in, and balancers restart",
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
      {"downloads_in_changes", "block-wise downloads while their service's targets change",
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
       "a target is taken out without a drain; its feeds move",
       [](WorldConfig& /*config*/) {},
       [](World& world) {
         world.at(random_load_time(world), [&world] { remove_target(world, 3); });
       },
       {true, false, false, true, true}},
      {"settings_changed", "weights change and services come in", disable_loss,
       [](World& world) {
         schedule(world, change_weight, 4);
         schedule(world, add_service, 2);
       },
       kPlannedLossless},
      {"planned_together", "restart, drain, join and settings at once", disable_loss,
       [](World& world) {
         schedule(world, planned_restart, 2);
         schedule(world, planned_drain, 1);
         schedule(world, planned_join, 1);
         schedule(world, change_weight, 2);
         schedule(world, add_target, 1);
       },
       kPlannedLossless},
      {"planned_lossy", "the same on a network that loses datagrams",
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
  const auto plain = [](WorldConfig&) {};
  return {
      {"balancer_killed", "a balancer dies and comes back", plain,
       [](World& world) { schedule(world, kill_balancer, 1); }, kUnplanned},
      {"two_balancers_killed", "two balancers die at once, perhaps owner and backup", plain,
       [](World& world) {
         world.at(random_load_time(world), [&world] {
           kill_balancer(world);
           kill_balancer(world);
         });
       },
       kUnplanned},
      {"balancers_killed_often", "balancers die again and again", plain,
       [](World& world) { schedule(world, kill_balancer, 6); }, kUnplanned},
      {"balancer_frozen", "balancers freeze and wake believing that they still own", plain,
       [](World& world) { schedule(world, pause_balancer, 2); }, kUnplanned},
      {"balancer_isolated", "a balancer loses the control replicas in silence", plain,
       [](World& world) { schedule(world, isolate_balancer, 1); }, kPartitioned},
      {"isolated_and_lossy", "as before, and callers send again since datagrams are lost",
       [](WorldConfig& config) {
         config.network.loss = 0.05;
         config.clients = {4, 40, 0, 0};
       },
       [](World& world) { schedule(world, isolate_balancer, 2); }, kPartitioned},
      {"zone_cut", "a zone is cut off and comes back", plain,
       [](World& world) { schedule(world, isolate_zone, 1); }, kPartitioned},
      {"target_killed", "targets die and come back cold", plain,
       [](World& world) { schedule(world, kill_target, 2); }, kUnplanned},
      {"lossy_network", "a tenth of all datagrams is lost", plain,
       [](World& world) { schedule(world, add_packet_loss, 2); }, kUnplanned},
      {"overload", "more load than the targets carry",
       [](WorldConfig& config) {
         config.clients = {20, 60, 60, 20};
         config.service_time = milliseconds(60);
         config.think_time = milliseconds(20);
         config.queue_limit = 4;
         config.first_targets = 4;
         config.second_targets = 2;
       },
       [](World&) {}, kUnplanned},
      {"misleading_reports", "health endpoints show no load",
       [](WorldConfig& config) { config.misleading_reports = true; },
       [](World& world) { schedule(world, planned_drain, 1); }, kPlanned},
      {"failures_in_changes", "planned changes and failures of balancers together", plain,
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
  const auto plain = [](WorldConfig&) {};
  return {
      {"leader_isolated", "the leader is cut off in silence while operators race", plain,
       [](World& world) {
         schedule(world, isolate_leader, 2);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"leader_half_cut", "the leader and one other replica do not hear each other", plain,
       [](World& world) {
         schedule(world, block_leader_from_follower, 3);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"leader_frozen", "the leader freezes and wakes as leader", plain,
       [](World& world) {
         schedule(world, pause_leader, 2);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"racing_operators",
       "three operators race, requests and answers are lost",
       plain,
       [](World& world) { race_operators(world, 3, 4); },
       {false, false, false, true, true}},
  };
}

std::vector<Scenario> replica_failures() {
  const auto plain = [](WorldConfig&) {};
  const auto five = [](WorldConfig& config) { config.control_replicas = 5; };
  return {
      {"controls_killed", "control replicas lose power again and again", plain,
       [](World& world) {
         schedule(world, kill_control, 6);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"all_controls_restarted", "all control replicas lose power at once", plain,
       [](World& world) {
         world.at(random_load_time(world), [&world] {
           for (std::size_t i = 0; i < world.controls().size(); ++i) {
             world.kill_control(i, world.random().between(seconds(1), seconds(3)));
           }
         });
         race_operators(world, 2, 2);
       },
       kUnplanned},
      {"disk_lost", "a control replica comes back with an empty disk", plain,
       [](World& world) {
         schedule(world, wipe_control_disk, 1);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"second_lost_after_repair", "a second replica is lost right after the first was replaced",
       plain,
       [](World& world) {
         world.at(seconds(3), [&world] {
           world.kill_control(0, seconds(1), true);
           const Duration soon = world.random().between(seconds(1), seconds(4));
           world.events().after(soon, [&world] { world.kill_control(1, seconds(2)); });
         });
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"disk_fails", "writes and syncs of control replicas fail", plain,
       [](World& world) {
         schedule(world, fail_disk, 2);
         race_operators(world, 2, 3);
       },
       kUnplanned},
      {"region_cut", "two of three zones lose the third; five replicas", five,
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
      {"regions_cut", "a region of two zones is cut off from one of three for 85 s",
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
      {"regions_cut_for_an_hour", "the same for an hour, with little load",
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
      {"everything", "all failures and changes at any moment",
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
