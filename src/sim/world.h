/// A complete simulated deployment: control replicas, balancers, targets, clients, fabric and
/// operators. Runs are deterministic for a given seed.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "sim/invariant_checker.h"
#include "sim/sim_balancer.h"
#include "sim/sim_clients.h"
#include "sim/sim_control.h"
#include "sim/sim_fabric.h"
#include "sim/sim_operator.h"
#include "sim/sim_target.h"

namespace gorsevalve {

/// Injected faults of all components.
struct SimFaults {
  BalancerFaults balancer;
  ReplicaFaults replica;
  ControlFaults control;
  ControlClientFaults client;
};

struct ClientCounts {
  int observations = 10;
  int updates = 10;
  int lookups = 8;
  int downloads = 5;
};

struct WorldConfig {
  std::uint64_t seed = 1;
  bool prints_trace = false;
  AffinityScheme scheme = AffinityScheme::kPartitionOwners;
  SimFaults faults;
  int zones = 3;
  int balancers_per_zone = 2;
  int control_replicas = 3;
  /// Targets of the first and of the second service.
  int first_targets = 15;
  int second_targets = 4;
  std::uint32_t partitions = 64;
  std::uint32_t queue_limit = 32;
  NetworkConfig network;
  ClientCounts clients;
  /// Time a client waits between two requests.
  Duration think_time = std::chrono::milliseconds(150);
  Duration service_time = std::chrono::milliseconds(2);
  Duration notification_interval = std::chrono::milliseconds(500);
  bool misleading_reports = false;
  /// Duration of the load phase, in which clients start new requests.
  Duration load_duration = std::chrono::seconds(20);
};

/// Checks of a scenario in addition to the invariants that hold in every run.
struct Expectations {
  bool no_broken_flow = true;
  bool no_observation_move = true;
  /// Every request gets a response: no timeout and no verdict.
  bool no_request_failure = false;
  bool applied_in_time = true;
  /// A drained target gets no new work after 3 s; false when partitioned zones may miss the drain.
  bool drains_in_time = true;
};

/// Measurements and violations of a run.
struct RunResult {
  std::vector<Violation> violations;
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
  ClientStats client_stats;
  /// Per service: maximum over mean of the requests run per target, weighted.
  std::vector<double> request_imbalance;
  /// The same for the observations open at the first service when the load phase ends.
  double observation_imbalance = 0;
  /// Number of flow records of all balancers when the load phase ends.
  std::size_t flow_records = 0;
  /// Longest time from the acceptance of a revision until a balancer applied it.
  Duration max_apply_time{};
  std::uint64_t datagrams = 0;
  std::uint64_t relayed = 0;
  std::array<std::uint64_t, kFailureReasonCount> failures_by_reason{};
  /// Mean bytes per second that a balancer sent to peers and to control replicas.
  double peer_bytes_per_second = 0;
  double node_bytes_per_second = 0;
};

class World : private SimReceiver {
 public:
  explicit World(const WorldConfig& config);
  ~World() override;

  /// Starts all processes; returns when the first settings are applied and handovers complete.
  void start();
  /// Runs the load phase with the actions scheduled by `at`. Then heals the network, waits until
  /// the system is quiescent, and checks the invariants and `expectations`.
  RunResult run(const Expectations& expectations);

  /// Schedules an action at `time` after the start of the load phase.
  void at(Duration time, std::function<void()> action);

  // Actions of scenarios.
  void kill_balancer(std::size_t i, Duration down_for);
  void restart_balancer(std::size_t i, std::function<void()> then = {});
  void add_balancer();
  void remove_balancer(std::size_t i);
  void kill_control(std::size_t i, Duration down_for, bool wipe = false);
  /// Partitions a replica from the others; balancers and operators still reach it.
  void isolate_control(std::size_t i, Duration time);
  void isolate_zone(int zone, Duration time);
  void heal();
  /// Queues an edit of the settings at the first operator.
  void change_settings(SimOperator::Edit edit) {
    operators_.front()->enqueue_edit(std::move(edit));
  }
  SimOperator& add_operator(double loss);
  /// Drains a target; it may get no new work later than 3 s after acceptance.
  void drain_target(std::size_t service, std::size_t target);
  /// Starts a target that is not yet in the settings.
  Target spare_target(std::size_t service);

  [[nodiscard]] SimRandom& random() { return random_; }
  [[nodiscard]] EventQueue& events() { return events_; }
  [[nodiscard]] SimNetwork& network() { return network_; }
  [[nodiscard]] std::vector<std::unique_ptr<SimBalancer>>& balancers() { return balancers_; }
  [[nodiscard]] std::vector<std::unique_ptr<SimControl>>& controls() { return controls_; }
  [[nodiscard]] std::map<Endpoint, std::unique_ptr<SimTarget>>& targets() { return targets_; }
  [[nodiscard]] std::optional<std::size_t> leader() const;
  /// True when every control replica is up and a voter, so the loss of one disk is tolerable.
  [[nodiscard]] bool all_controls_vote() const;
  [[nodiscard]] const WorldConfig& config() const { return config_; }
  void note(const std::string& text) { trace_.note(events_.now(), text); }

 private:
  void deliver(const Endpoint& to, const SimMessage& message) override;
  [[nodiscard]] SimContext context();
  void make_controls();
  void make_settings();
  void make_target(const Target& target);
  void make_clients();
  SimBalancer& make_balancer(int zone);
  void monitor_leases();
  [[nodiscard]] bool is_handover_complete() const;
  /// Describes why the processes have not converged; empty when they have.
  [[nodiscard]] std::string describe_divergence() const;
  bool run_until(const std::function<bool()>& condition, Duration limit);

  void check_updates(const ClientStats& stats);
  void check_clients(const ClientStats& stats, const Expectations& expectations);
  void check_apply_times(const Expectations& expectations, RunResult& result);
  void check_history();
  void measure(RunResult& result);
  /// Weighted maximum over mean of a load of the targets of a service, without targets that were
  /// drained or added during the run.
  [[nodiscard]] double imbalance(const Service& service,
                                 const std::function<double(const SimTarget&)>& load) const;
  void count_failures(RunResult& result) const;

  WorldConfig config_;
  EventQueue events_;
  SimRandom random_;
  Trace trace_;
  InvariantChecker checker_;
  SimNetwork network_;
  SimFabric fabric_;
  Settings settings_;
  std::vector<std::unique_ptr<SimControl>> controls_;
  std::vector<std::unique_ptr<SimBalancer>> balancers_;
  std::map<Endpoint, std::unique_ptr<SimTarget>> targets_;
  SimClients clients_;
  std::vector<std::unique_ptr<SimOperator>> operators_;
  std::vector<std::pair<Duration, std::function<void()>>> actions_;
  /// Indices of permanently removed balancers.
  std::set<std::size_t> removed_balancers_;
  std::set<Endpoint> excluded_targets_;
  /// Drained targets and the time at which the drain was first applied by a control replica.
  std::map<Endpoint, Instant> drained_since_;
  std::uint32_t spare_target_count_ = 0;
  Instant load_start_;
};

}  // namespace gorsevalve
