#include "sim/scenario_actions.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t random_balancer(World& world) { return world.random().below(world.balancers().size()); }
std::size_t random_control(World& world) { return world.random().below(world.controls().size()); }

void add_target_to(World& world, std::size_t service) {
  const Target target = world.spare_target(service);
  world.change_settings([service, target](Settings& settings) {
    settings.services[service].targets.push_back(target);
  });
}

}  // namespace

Duration random_load_time(World& world) { return world.random().between(seconds(2), seconds(14)); }

void restart_balancers_from(World& world, std::size_t i) {
  if (i < world.balancers().size()) {
    world.restart_balancer(i, [&world, i] {
      world.events().after(seconds(1), [&world, i] { restart_balancers_from(world, i + 1); });
    });
  }
}

void change_weight(World& world) {
  const std::size_t target = world.random().below(4);
  const auto weight = static_cast<std::uint32_t>(50 + world.random().below(100));
  world.change_settings([target, weight](Settings& settings) {
    settings.services[1].targets[target].weight = weight;
  });
}

void add_target(World& world) { add_target_to(world, 0); }
void add_target_to_second_service(World& world) { add_target_to(world, 1); }

void remove_target(World& world, std::size_t target) {
  world.change_settings([target](Settings& settings) {
    auto& targets = settings.services[0].targets;
    targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(target));
  });
}

void add_service(World& world) {
  const Target target = world.spare_target(1);
  world.change_settings([target](Settings& settings) {
    Service service = settings.services[1];
    service.name = "new-" + target.name;
    service.address.address += target.address.address % 50 + 1;
    service.targets = {target};
    settings.services.push_back(service);
  });
}

void planned_restart(World& world) { world.restart_balancer(random_balancer(world)); }
void planned_drain(World& world) { world.drain_target(0, world.random().below(15)); }
void drain_second_service(World& world) { world.drain_target(1, world.random().below(2)); }
void planned_join(World& world) { world.add_balancer(); }
void planned_leave(World& world) { world.remove_balancer(random_balancer(world)); }

void kill_balancer(World& world) {
  world.kill_balancer(random_balancer(world), world.random().between(seconds(1), seconds(8)));
}
void pause_balancer(World& world) {
  SimBalancer& balancer = *world.balancers()[random_balancer(world)];
  world.note("freeze " + balancer.config().name);
  balancer.pause(world.random().between(seconds(1), seconds(14)));
}
void isolate_balancer(World& world) {
  SimBalancer& balancer = *world.balancers()[random_balancer(world)];
  world.note("isolate " + balancer.config().name + " from control");
  for (const auto& control : world.controls()) {
    world.network().block(balancer.config().address, control->config().address);
  }
  world.events().after(world.random().between(seconds(2), seconds(16)), [&world] { world.heal(); });
}
void isolate_zone(World& world) {
  const int zone = static_cast<int>(world.random().below(3));
  world.isolate_zone(zone, world.random().between(seconds(2), seconds(14)));
}
void kill_control(World& world) {
  world.kill_control(random_control(world), world.random().between(seconds(1), seconds(6)));
}
void wipe_control_disk(World& world) {
  // The loss of a majority of the disks is unrecoverable (docs/operators/control.md).
  if (!world.all_controls_vote()) {
    return;
  }
  world.kill_control(random_control(world), world.random().between(seconds(1), seconds(4)), true);
}
void isolate_leader(World& world) {
  if (const auto leader = world.leader()) {
    world.isolate_control(*leader, world.random().between(seconds(2), seconds(10)));
  }
}
void block_leader_from_follower(World& world) {
  const auto leader = world.leader();
  if (!leader) {
    return;
  }
  const std::size_t other = (*leader + 1) % world.controls().size();
  world.note("cut the leader off from one replica");
  world.network().block(world.controls()[*leader]->config().address,
                        world.controls()[other]->config().address);
  world.events().after(world.random().between(seconds(2), seconds(8)), [&world] { world.heal(); });
}
void pause_leader(World& world) {
  if (const auto leader = world.leader()) {
    world.note("freeze leader");
    world.controls()[*leader]->pause(world.random().between(seconds(1), seconds(6)));
  }
}
void fail_disk(World& world) {
  SimControl& control = *world.controls()[random_control(world)];
  world.note("disk of " + control.config().name + " fails");
  control.disk().fail_after(world.random().below(4));
  SimControl* failed = &control;
  world.events().after(seconds(4), [failed] {
    failed->disk().clear_faults();
    if (!failed->is_up()) {
      failed->start();
    }
  });
}
void kill_target(World& world) {
  auto target =
      std::next(world.targets().begin(),
                static_cast<std::ptrdiff_t>(world.random().below(world.targets().size())));
  SimTarget* killed = target->second.get();
  world.note("kill target " + to_string(target->first));
  killed->kill();
  world.events().after(seconds(3), [killed] { killed->start(); });
}
void add_packet_loss(World& world) {
  world.note("lossy network");
  world.network().set_faults(0.1, 0.05);
  world.events().after(seconds(5), [&world] { world.network().set_faults(0.002, 0.002); });
}

void schedule(World& world, Action action, int times) {
  for (int i = 0; i < times; ++i) {
    world.at(random_load_time(world), [&world, action] { action(world); });
  }
}

void race_operators(World& world, int operators, int changes) {
  for (int i = 0; i < operators; ++i) {
    SimOperator* submitter = &world.add_operator(0.3);
    for (int change = 0; change < changes; ++change) {
      world.at(random_load_time(world), [&world, submitter] {
        const auto weight = static_cast<std::uint32_t>(50 + world.random().below(100));
        submitter->enqueue_edit(
            [weight](Settings& settings) { settings.services[0].targets[1].weight = weight; });
      });
    }
  }
}

}  // namespace gorsevalve
