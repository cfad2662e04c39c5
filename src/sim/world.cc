#include "sim/world.h"

#include <algorithm>

namespace gorsevalve {
namespace {

constexpr Duration kStartTimeout = std::chrono::seconds(40);
/// Clients start at random times within this interval.
constexpr Duration kClientStartSpread = std::chrono::seconds(2);
constexpr Duration kQuiesceTimeout = std::chrono::seconds(120);
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(20);
constexpr Duration kPollStep = std::chrono::milliseconds(50);
constexpr std::uint16_t kCoapPort = 5683;

constexpr std::uint32_t address_of(std::uint32_t group, std::uint32_t number) {
  return (10U << 24U) | (group << 8U) | number;
}
constexpr std::uint32_t kServiceGroup = 1;
constexpr std::uint32_t kTargetGroup = 10;
constexpr std::uint32_t kControlGroup = 200;
constexpr std::uint32_t kBalancerGroup = 201;
constexpr std::uint32_t kClientGroup = 1U << 8U;

std::string zone_name(int zone) { return "zone-" + std::string(1, static_cast<char>('a' + zone)); }

int zone_number(const std::string& name) { return name.back() - 'a'; }

Target make_target_settings(std::uint32_t service, std::uint32_t number, int zones) {
  Target target;
  target.name = (service == 0 ? "main-" : "archive-") + std::to_string(number);
  target.address = {address_of(kTargetGroup + service, number), kCoapPort};
  target.zone = zone_name(static_cast<int>(number) % zones);
  return target;
}

Service make_service(std::uint32_t number, int targets, const WorldConfig& config) {
  Service service;
  service.name = number == 0 ? "main" : "archive";
  service.address = {address_of(kServiceGroup, number + 1), kCoapPort};
  service.queue_limit = config.queue_limit;
  for (int i = 1; i <= targets; ++i) {
    service.targets.push_back(
        make_target_settings(number, static_cast<std::uint32_t>(i), config.zones));
  }
  return service;
}

}  // namespace

World::World(const WorldConfig& config)
    : config_(config),
      random_(config.seed),
      trace_(config.prints_trace),
      checker_(events_, trace_),
      network_(events_, random_, trace_, *this, config.network),
      fabric_(events_, random_),
      clients_(context(), fabric_) {
  make_settings();
  make_controls();
  for (int i = 0; i < config_.zones * config_.balancers_per_zone; ++i) {
    make_balancer(i % config_.zones);
  }
  operators_.push_back(std::make_unique<SimOperator>(context(), "operator", controls_));
}

World::~World() = default;

SimContext World::context() { return {events_, random_, trace_, network_, checker_}; }

void World::make_settings() {
  settings_.deployment = "simulated";
  settings_.services = {make_service(0, config_.first_targets, config_),
                        make_service(1, config_.second_targets, config_)};
  for (const auto& service : settings_.services) {
    for (const auto& target : service.targets) {
      make_target(target);
    }
  }
}

void World::make_target(const Target& target) {
  TargetModelConfig model;
  model.name = target.name;
  model.address = target.address;
  model.service_time = config_.service_time;
  model.warm_up_service_time = 3 * config_.service_time;
  model.notification_interval = config_.notification_interval;
  model.misleading_report = config_.misleading_reports;
  network_.set_zone(target.address, zone_number(target.zone));
  targets_[target.address] = std::make_unique<SimTarget>(context(), model, fabric_);
}

void World::make_controls() {
  std::vector<Endpoint> addresses;
  for (int i = 1; i <= config_.control_replicas; ++i) {
    addresses.push_back({address_of(kControlGroup, static_cast<std::uint32_t>(i)), 7000});
  }
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    network_.set_zone(addresses[i], static_cast<int>(i) % config_.zones);
    SimControlConfig config;
    config.name = "control-" + std::to_string(i + 1);
    config.address = addresses[i];
    config.replicas = addresses;
    config.partitions = config_.partitions;
    config.replica_faults = config_.faults.replica;
    config.control_faults = config_.faults.control;
    controls_.push_back(std::make_unique<SimControl>(context(), config));
  }
}

SimBalancer& World::make_balancer(int zone) {
  const auto number = static_cast<std::uint32_t>(balancers_.size() + 1);
  SimBalancerConfig config;
  config.name = "balancer-" + std::to_string(number);
  config.zone = zone_name(zone);
  config.address = {address_of(kBalancerGroup, number), 6000};
  config.faults = config_.faults.balancer;
  config.client_faults = config_.faults.client;
  config.scheme = config_.scheme;
  for (const auto& control : controls_) {
    config.control.push_back(control->config().address);
  }
  network_.set_zone(config.address, zone);
  balancers_.push_back(std::make_unique<SimBalancer>(
      context(), config, [this](const Endpoint& target) -> std::optional<TargetReport> {
        const auto found = targets_.find(target);
        return found == targets_.end() ? std::nullopt : found->second->report();
      }));
  return *balancers_.back();
}

void World::make_clients() {
  std::uint32_t number = 0;
  const auto add = [&](ClientKind kind, int count, const Endpoint& service) {
    for (int i = 0; i < count; ++i) {
      ClientConfig client_config;
      client_config.kind = kind;
      client_config.name = "caller" + std::to_string(++number);
      client_config.flow = {{address_of(kClientGroup, number), 20000}, service};
      client_config.port_count = kind == ClientKind::kLookup ? 512 : 1;
      client_config.seed = config_.seed * 1000003 + number;
      client_config.start_delay = random_.between(Duration::zero(), kClientStartSpread);
      client_config.work_interval = config_.think_time;
      client_config.notification_interval = config_.notification_interval;
      clients_.add(client_config);
    }
  };
  const Endpoint first = settings_.services[0].address;
  const Endpoint second = settings_.services[1].address;
  add(ClientKind::kObserve, config_.clients.observations, first);
  add(ClientKind::kUpdate, config_.clients.updates, first);
  add(ClientKind::kLookup, config_.clients.lookups, first);
  add(ClientKind::kDownload, config_.clients.downloads, second);
}

bool World::run_until(const std::function<bool()>& condition, Duration limit) {
  const Instant end = events_.now() + limit;
  while (!condition()) {
    if (events_.now() >= end) {
      return false;
    }
    events_.run_until(events_.now() + kPollStep);
  }
  return true;
}

void World::start() {
  for (const auto& [address, target] : targets_) {
    target->start();
  }
  for (const auto& control : controls_) {
    control->initialize();
    control->start();
  }
  for (const auto& balancer : balancers_) {
    balancer->start();
    fabric_.announce(balancer->config().address, true);
  }
  monitor_leases();
  change_settings([this](Settings& settings) { settings = settings_; });
  const bool ready = run_until(
      [this] {
        return operators_.front()->is_idle() && describe_divergence().empty() &&
               is_handover_complete();
      },
      kStartTimeout);
  if (!ready) {
    checker_.report_violation(Invariant::kNotConverged, "start phase: " + describe_divergence());
  }
}

void World::monitor_leases() {
  events_.every(kLeaseCheckInterval, [this] {
    const auto leaders = std::count_if(controls_.begin(), controls_.end(),
                                       [](const auto& control) { return control->holds_lease(); });
    if (leaders > 1) {
      checker_.report_violation(Invariant::kTwoLeaseHolders,
                                std::to_string(leaders) + " replicas hold a leader lease");
    }
    return true;
  });
}

void World::at(Duration time, std::function<void()> action) {
  actions_.emplace_back(time, std::move(action));
}

RunResult World::run(const Expectations& expectations) {
  load_start_ = events_.now();
  network_.clear_traffic();
  make_clients();
  clients_.start();
  for (auto& [time, action] : actions_) {
    events_.after(time, std::move(action));
  }
  events_.run_until(load_start_ + config_.load_duration);
  RunResult result;
  measure(result);
  clients_.stop();
  network_.heal();
  const bool operators_done = run_until(
      [this] {
        return std::all_of(operators_.begin(), operators_.end(),
                           [](const auto& submitter) { return submitter->is_idle(); });
      },
      kQuiesceTimeout);
  if (!operators_done) {
    checker_.report_violation(Invariant::kNotConverged, "a submission has no outcome");
  }
  run_until([this] { return clients_.is_idle(); }, kQuiesceTimeout);
  if (!run_until([this] { return describe_divergence().empty(); }, kQuiesceTimeout)) {
    checker_.report_violation(Invariant::kNotConverged, describe_divergence());
  }
  if (config_.scheme == AffinityScheme::kPartitionOwners &&
      !run_until([this] { return is_handover_complete(); }, kQuiesceTimeout)) {
    checker_.report_violation(Invariant::kHandoverIncomplete, "handovers did not complete");
  }
  result.client_stats = clients_.stats();
  check_updates(result.client_stats);
  check_clients(result.client_stats, expectations);
  check_apply_times(expectations, result);
  check_history();
  count_failures(result);
  result.violations = checker_.violations();
  result.trace_hash = trace_.hash();
  result.events = events_.events_run();
  return result;
}

std::optional<std::size_t> World::leader() const {
  for (std::size_t i = 0; i < controls_.size(); ++i) {
    if (controls_[i]->holds_lease()) {
      return i;
    }
  }
  return std::nullopt;
}

bool World::all_controls_vote() const {
  const auto leader_index = leader();
  if (!leader_index) {
    return false;
  }
  const ReplicaSet& set = controls_[*leader_index]->node().replica().replicas();
  return std::all_of(controls_.begin(), controls_.end(), [&](const auto& control) {
    return control->is_up() && set.is_voter(control->node().replica().id());
  });
}

std::string World::describe_divergence() const {
  const auto leader_index = leader();
  if (!leader_index) {
    return "no replica holds a leader lease";
  }
  const ControlState& state = controls_[*leader_index]->node().state();
  for (const auto& control : controls_) {
    if (!control->is_up() || control->node().state().digest() != state.digest()) {
      return control->config().name + " differs from the leader";
    }
  }
  for (std::size_t i = 0; i < balancers_.size(); ++i) {
    const SimBalancer& balancer = *balancers_[i];
    if (removed_balancers_.contains(i)) {
      continue;
    }
    if (!balancer.is_up() || balancer.is_paused()) {
      return balancer.config().name + " is down";
    }
    if (fleet_digest(balancer.fleet()) != state.digest()) {
      return balancer.config().name + " is at revision " +
             std::to_string(balancer.fleet().revision) + ", the leader at " +
             std::to_string(state.fleet().revision);
    }
  }
  const std::size_t members = state.fleet().members.size();
  const std::size_t expected = balancers_.size() - removed_balancers_.size();
  return members == expected ? ""
                             : std::to_string(members) + " members of " + std::to_string(expected);
}

bool World::is_handover_complete() const {
  const auto leader_index = leader();
  if (!leader_index) {
    return false;
  }
  const ControlNode& node = controls_[*leader_index]->node();
  return MembershipController::is_handover_complete(node.state().fleet(), node.nodes());
}

void World::deliver(const Endpoint& to, const SimMessage& message) {
  for (const auto& balancer : balancers_) {
    if (balancer->config().address == to) {
      balancer->receive(message);
      return;
    }
  }
  const auto target = targets_.find(to);
  if (target != targets_.end()) {
    target->second->receive(message);
    return;
  }
  if (const auto* datagram = std::get_if<Bytes>(&message.body)) {
    if (clients_.receive(to, *datagram)) {
      return;
    }
  }
  for (const auto& control : controls_) {
    if (control->config().address == to) {
      control->receive(message);
      return;
    }
  }
}

}  // namespace gorsevalve
