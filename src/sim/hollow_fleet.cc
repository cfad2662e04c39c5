#include "sim/hollow_fleet.h"

#include <algorithm>
#include <ctime>

#include "codec/archive.h"
#include "core/balancer/fleet_view.h"

namespace gorsevalve {
namespace {

constexpr Duration kNodeTick = std::chrono::milliseconds(100);
constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr Duration kIdleTime = std::chrono::seconds(20);
constexpr Duration kJoinLimit = std::chrono::seconds(600);
constexpr Duration kForceLimit = std::chrono::seconds(30);

constexpr std::uint32_t address_of(std::uint32_t group, std::uint32_t number) {
  return (10U << 24U) | (group << 16U) | number;
}

/// Processor time of this thread, in microseconds.
double processor_time() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// Adds the processor time of a scope to a sum.
class ProcessorTimer {
 public:
  explicit ProcessorTimer(double& sum) : sum_(sum), start_(processor_time()) {}
  ~ProcessorTimer() { sum_ += processor_time() - start_; }
  ProcessorTimer(const ProcessorTimer&) = delete;
  ProcessorTimer& operator=(const ProcessorTimer&) = delete;

 private:
  double& sum_;
  double start_;
};

/// A balancer without traffic: handovers are done as soon as a membership is known.
class HollowNode : public SimProcess, private ControlClientOutput {
 public:
  HollowNode(SimContext context, Member self, std::vector<Endpoint> replicas, bool derives_tables)
      : SimProcess(context),
        self_(std::move(self)),
        client_(self_, std::move(replicas), {}, static_cast<ControlClientOutput&>(*this)),
        derives_tables_(derives_tables) {}

  void start() {
    come_up();
    run_every(kNodeTick, [this] {
      const ProcessorTimer timer(processor_time_);
      client_.on_tick(client_.fleet().members_revision, now());
    });
  }

  [[nodiscard]] const FleetState& fleet() const { return client_.fleet(); }
  [[nodiscard]] Instant changed_at() const { return changed_at_; }
  [[nodiscard]] double processor_time_used() const { return processor_time_; }
  [[nodiscard]] std::uint64_t octets_received() const { return octets_received_; }

 private:
  void handle(const SimMessage& message) override {
    const auto& body = std::get<NodeMessage>(message.body);
    octets_received_ +=
        std::visit([](const auto& one) { return encode_archive(one).size(); }, body);
    const ProcessorTimer timer(processor_time_);
    client_.on_message(message.from, body, now());
  }
  void send_control(const Endpoint& replica, const NodeMessage& message) override {
    context().network.send_node(self_.address, replica, message);
  }
  void on_fleet(const FleetState& fleet, Instant now) override {
    changed_at_ = now;
    if (derives_tables_) {
      const FleetView view(fleet);
      context().trace.note(now, std::to_string(view.members_revision()));
    }
  }
  void on_lease(Instant /*until*/) override {}
  void on_expelled(Instant /*now*/) override { client_.rejoin(context().random.next()); }

  Member self_;
  ControlClient client_;
  bool derives_tables_;
  Instant changed_at_;
  double processor_time_ = 0;
  std::uint64_t octets_received_ = 0;
};

class HollowFleet : private SimReceiver {
 public:
  explicit HollowFleet(const HollowFleetConfig& config)
      : config_(config),
        random_(config.seed),
        trace_(false),
        checks_(events_, trace_),
        network_(events_, random_, trace_, *this, NetworkConfig{}),
        operator_(context(), "operator", controls_) {}

  HollowFleetResult run() {
    make_controls();
    make_nodes();
    HollowFleetResult result;
    operator_.change([this](Settings& settings) { settings = make_settings(); });
    const Instant start = events_.now();
    run_until([this] { return all_have(controls_leader_revision()); }, kJoinLimit);
    result.join_time = events_.now() - start;
    measure_idle(result);
    measure_changes(result);
    result.fleet_octets = encode_archive(nodes_.front()->fleet()).size();
    const std::uint64_t digest = fleet_digest(nodes_.front()->fleet());
    result.differing_nodes =
        static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
          return fleet_digest(node->fleet()) != digest;
        }));
    return result;
  }

 private:
  SimContext context() { return {events_, random_, trace_, network_, checks_}; }

  void make_controls() {
    std::vector<Endpoint> addresses;
    for (int i = 1; i <= config_.control_replicas; ++i) {
      addresses.push_back({address_of(200, static_cast<std::uint32_t>(i)), 7000});
    }
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      network_.place(addresses[i], static_cast<int>(i) % config_.zones);
      SimControlConfig control;
      control.name = "control-" + std::to_string(i);
      control.address = addresses[i];
      control.replicas = addresses;
      control.partitions = config_.partitions;
      controls_.push_back(std::make_unique<SimControl>(context(), control));
      by_address_[addresses[i]] = controls_.back().get();
      controls_.back()->initialize();
      controls_.back()->start();
    }
    replicas_ = addresses;
  }

  void make_nodes() {
    for (int i = 1; i <= config_.nodes; ++i) {
      Member self;
      self.name = "node-" + std::to_string(i);
      self.zone = "zone-" + std::to_string(i % config_.zones);
      self.address = {address_of(201, static_cast<std::uint32_t>(i)), 6000};
      self.incarnation = random_.next();
      network_.place(self.address, i % config_.zones);
      nodes_.push_back(
          std::make_unique<HollowNode>(context(), self, replicas_, config_.derives_tables));
      by_address_[self.address] = nodes_.back().get();
      HollowNode* node = nodes_.back().get();
      events_.after(random_.between(Duration::zero(), std::chrono::seconds(10)),
                    [node] { node->start(); });
    }
  }

  Settings make_settings() {
    Settings settings;
    settings.deployment = "hollow";
    std::uint32_t target = 0;
    for (int i = 1; i <= config_.services; ++i) {
      Service service;
      service.name = "service-" + std::to_string(i);
      service.address = {address_of(1, static_cast<std::uint32_t>(i)), 5683};
      const int count =
          config_.targets / config_.services + (i <= config_.targets % config_.services ? 1 : 0);
      for (int t = 0; t < count; ++t) {
        Target one;
        one.name = "target-" + std::to_string(++target);
        one.address = {address_of(10, target), 5683};
        one.zone = "zone-" + std::to_string(t % config_.zones);
        service.targets.push_back(one);
      }
      settings.services.push_back(service);
    }
    return settings;
  }

  void run_until(const std::function<bool()>& condition, Duration limit) {
    const Instant end = events_.now() + limit;
    while (!condition() && events_.now() < end) {
      events_.run_until(events_.now() + kStep);
    }
  }

  /// Revision of the leader when all nodes are members; else one that nobody has.
  [[nodiscard]] Revision controls_leader_revision() const {
    for (const auto& control : controls_) {
      if (control->acts_as_leader()) {
        const FleetState& fleet = control->node().state().fleet();
        const bool all = fleet.members.size() == nodes_.size() && fleet.settings_revision > 0;
        return all ? fleet.revision : ~Revision{0};
      }
    }
    return ~Revision{0};
  }

  [[nodiscard]] bool all_have(Revision revision) const {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [&](const auto& node) { return node->fleet().revision >= revision; });
  }

  /// Octets that all nodes sent and received so far.
  [[nodiscard]] double node_octets() const {
    double sum = 0;
    for (const auto& node : nodes_) {
      sum += static_cast<double>(node->octets_received());
    }
    for (const auto& [address, meter] : network_.meters()) {
      const auto process = by_address_.find(address);
      const bool is_node =
          process != by_address_.end() &&
          std::find(replicas_.begin(), replicas_.end(), address) == replicas_.end();
      if (is_node) {
        sum += static_cast<double>(meter[static_cast<std::size_t>(TrafficKind::kNode)]);
      }
    }
    return sum;
  }

  [[nodiscard]] double busiest_replica() const {
    double most = 0;
    for (const auto& replica : replicas_) {
      const auto meter = network_.meters().find(replica);
      if (meter != network_.meters().end()) {
        most = std::max(most, static_cast<double>(meter->second[3] + meter->second[4]));
      }
    }
    return most;
  }

  [[nodiscard]] double node_processor_time() const {
    double sum = 0;
    for (const auto& node : nodes_) {
      sum += node->processor_time_used();
    }
    return sum;
  }

  void measure_idle(HollowFleetResult& result) {
    const double octets = node_octets();
    const double time = node_processor_time();
    const double control_time = control_time_;
    const double replica = busiest_replica();
    events_.run_until(events_.now() + kIdleTime);
    const double seconds = std::chrono::duration<double>(kIdleTime).count();
    const auto nodes = static_cast<double>(nodes_.size());
    result.idle_octets_per_second = (node_octets() - octets) / seconds / nodes;
    result.idle_microseconds_per_second = (node_processor_time() - time) / seconds / nodes;
    result.replica_octets_per_second = (busiest_replica() - replica) / seconds;
    result.replica_idle_microseconds_per_second = (control_time_ - control_time) / seconds;
  }

  void measure_changes(HollowFleetResult& result) {
    const double octets = node_octets();
    const double time = node_processor_time();
    const Instant start = events_.now();
    for (int i = 0; i < config_.changes; ++i) {
      const Instant begun = events_.now();
      const std::size_t before = operator_.accepted().size();
      const std::size_t service = random_.below(static_cast<std::size_t>(config_.services));
      operator_.change([service](Settings& settings) {
        auto& weight = settings.services[service].targets[0].weight;
        weight = weight == 100 ? 50 : 100;
      });
      run_until([&] { return operator_.accepted().size() > before; }, kForceLimit);
      const Revision revision = operator_.accepted().rbegin()->first;
      run_until([&] { return all_have(revision); }, kForceLimit);
      Instant last = begun;
      for (const auto& node : nodes_) {
        last = std::max(last, node->changed_at());
      }
      result.force_times.push_back(last - begun);
      events_.run_until(std::max(events_.now(), begun + config_.change_interval));
    }
    std::sort(result.force_times.begin(), result.force_times.end());
    const double seconds = std::chrono::duration<double>(events_.now() - start).count();
    const auto nodes = static_cast<double>(nodes_.size());
    result.busy_octets_per_second = (node_octets() - octets) / seconds / nodes;
    result.change_microseconds =
        ((node_processor_time() - time) / nodes - result.idle_microseconds_per_second * seconds) /
        config_.changes;
  }

  void deliver(const Endpoint& to, const SimMessage& message) override {
    const auto found = by_address_.find(to);
    if (found == by_address_.end()) {
      return;
    }
    const bool is_replica = std::find(replicas_.begin(), replicas_.end(), to) != replicas_.end();
    double ignored = 0;
    const ProcessorTimer timer(is_replica ? control_time_ : ignored);
    found->second->receive(message);
  }

  HollowFleetConfig config_;
  EventQueue events_;
  SimRandom random_;
  Trace trace_;
  Checks checks_;
  SimNetwork network_;
  std::vector<std::unique_ptr<SimControl>> controls_;
  SimOperator operator_;
  std::vector<Endpoint> replicas_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::map<Endpoint, SimProcess*> by_address_;
  double control_time_ = 0;
};

}  // namespace

HollowFleetResult run_hollow_fleet(const HollowFleetConfig& config) {
  return HollowFleet(config).run();
}

}  // namespace gorsevalve
