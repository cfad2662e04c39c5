/// Actions that scenarios run on a simulated deployment.
#include <algorithm>

#include "sim/world.h"

namespace gorsevalve {
namespace {

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

Target* find_target(Settings& settings, const Endpoint& address) {
  for (auto& service : settings.services) {
    for (auto& target : service.targets) {
      if (target.address == address) {
        return &target;
      }
    }
  }
  return nullptr;
}

}  // namespace

void World::kill_balancer(std::size_t i, Duration down_for) {
  SimBalancer& balancer = *balancers_[i];
  if (!balancer.is_up()) {
    return;
  }
  note("kill " + balancer.config().name);
  balancer.kill();
  fabric_.announce(balancer.config().address, false);
  events_.after(down_for, [this, &balancer] {
    note("start " + balancer.config().name);
    balancer.start();
    fabric_.announce(balancer.config().address, true);
  });
}

void World::restart_balancer(std::size_t i, std::function<void()> then) {
  SimBalancer& balancer = *balancers_[i];
  if (!balancer.is_up()) {
    return;
  }
  note("leave " + balancer.config().name);
  fabric_.announce(balancer.config().address, false);
  balancer.begin_shutdown([this, &balancer, then = std::move(then)] {
    note("restart " + balancer.config().name);
    balancer.start();
    fabric_.announce(balancer.config().address, true);
    if (then) {
      then();
    }
  });
}

void World::add_balancer() {
  const int zone = static_cast<int>(balancers_.size()) % config_.zones;
  SimBalancer& balancer = make_balancer(zone);
  note("add " + balancer.config().name);
  balancer.start();
  fabric_.announce(balancer.config().address, true);
}

void World::remove_balancer(std::size_t i) {
  SimBalancer& balancer = *balancers_[i];
  if (!balancer.is_up()) {
    return;
  }
  note("remove " + balancer.config().name);
  removed_balancers_.insert(i);
  fabric_.announce(balancer.config().address, false);
  balancer.begin_shutdown([] {});
}

void World::kill_control(std::size_t i, Duration down_for, bool wipe) {
  SimControl& control = *controls_[i];
  if (!control.is_up()) {
    return;
  }
  note((wipe ? "kill and wipe " : "kill ") + control.config().name);
  control.kill();
  if (wipe) {
    control.wipe();
  }
  events_.after(down_for, [this, &control] {
    note("start " + control.config().name);
    control.disk().clear_faults();
    control.start();
  });
}

void World::isolate_control(std::size_t i, Duration time) {
  note("isolate " + controls_[i]->config().name);
  for (std::size_t other = 0; other < controls_.size(); ++other) {
    if (other != i) {
      network_.block(controls_[i]->config().address, controls_[other]->config().address);
    }
  }
  events_.after(time, [this] { heal(); });
}

void World::isolate_zone(int zone, Duration time) {
  note("cut zone " + std::to_string(zone));
  network_.isolate_zone(zone);
  events_.after(time, [this] { heal(); });
}

void World::heal() {
  note("heal");
  network_.heal();
}

SimOperator& World::add_operator(double loss) {
  const std::string name = "operator" + std::to_string(operators_.size() + 1);
  operators_.push_back(std::make_unique<SimOperator>(context(), name, controls_));
  operators_.back()->set_loss(loss);
  return *operators_.back();
}

void World::drain_target(std::size_t service, std::size_t target) {
  const Endpoint address = settings_.services[service].targets[target].address;
  note("drain " + to_string(address));
  excluded_targets_.insert(address);
  change_settings([address](Settings& settings) {
    if (Target* found = find_target(settings, address)) {
      found->draining = true;
    }
  });
  events_.every(kDrainCheckInterval, [this, address] {
    const bool draining = std::any_of(controls_.begin(), controls_.end(), [&](const auto& control) {
      if (!control->is_up()) {
        return false;
      }
      Settings settings = control->node().state().fleet().settings;
      const Target* found = find_target(settings, address);
      return found != nullptr && found->draining;
    });
    if (draining) {
      drained_since_.emplace(address, events_.now());
    }
    return !draining;
  });
}

Target World::spare_target(std::size_t service) {
  const auto& targets = settings_.services[service].targets;
  Target target = targets.front();
  ++spare_target_count_;
  target.name = "spare-" + std::to_string(spare_target_count_);
  target.address.address = targets.back().address.address + 100 + spare_target_count_;
  make_target(target);
  targets_[target.address]->start();
  excluded_targets_.insert(target.address);
  return target;
}

}  // namespace gorsevalve
