/// Randomized workload of the core: balancers subscribe to three replicas during continuous changes
/// and target health updates, with reset or blackholed connections, paused replicas and isolated
/// balancers. Checks that each balancer that is not isolated applies a change within the time
/// bound.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "control_cluster.h"
#include "fault_detection.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using namespace control_cluster;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kRunTime = std::chrono::seconds(40);
/// Maximum time until a change is applied.
constexpr Duration kMaxUpdateDelay = std::chrono::seconds(3);
/// Unanswered time after which a connection is closed, as in FrameNetwork.
constexpr Duration kConnectionTimeout = milliseconds(1500);
constexpr std::uint32_t kReplicas = 3;
constexpr std::uint32_t kBalancers = 4;
constexpr std::uint32_t kFirstBalancer = 100;

struct WorkloadFaults {
  ControlFaults control;
  ControlClientFaults client;
};

/// A connection between a balancer and a replica. A new connection works unless the balancer is
/// isolated.
struct Link {
  bool is_open = false;
  bool drops_to_replica = false;
  bool drops_to_balancer = false;
  /// When each end sent its first message without a later message from the other end.
  std::optional<Instant> replica_unanswered_since;
  std::optional<Instant> balancer_unanswered_since;
};

bool is_timed_out(const std::optional<Instant>& unanswered_since, Instant now) {
  return unanswered_since && now - *unanswered_since > kConnectionTimeout;
}

class Workload;

/// A balancer with one connection per replica.
class SimulatedBalancer : public ControlClientOutput {
 public:
  SimulatedBalancer(Workload& workload, std::uint32_t number, const ControlClientFaults& faults);

  void on_tick(Instant now);
  /// Receives a message from a replica. Returns false when the message is known to be dropped.
  bool receive(std::uint32_t replica, const NodeMessage& message, Instant now);
  void deliver(Instant now);

  void send_control(const Endpoint& replica, const NodeMessage& message) override;
  void on_fleet(const FleetState& /*fleet*/, Instant /*now*/) override {}
  void on_lease(Instant /*until*/) override {}
  void on_removed(Instant /*now*/) override {}
  void on_replica_timed_out(const Endpoint& replica) override { links[replica.address] = {}; }
  std::vector<TargetStatistics> take_observations() override;

  [[nodiscard]] Revision revision() const { return client_.fleet().revision; }

  std::array<Link, kReplicas + 1> links;
  bool is_outbound_blocked = false;
  bool is_inbound_blocked = false;
  /// End of the latest isolation; the maximum during an isolation.
  Instant disturbed_at;

 private:
  Workload& workload_;
  Endpoint address_;
  ControlClient client_;
  std::vector<std::pair<std::uint32_t, NodeMessage>> arriving_;
};

class Workload {
 public:
  Workload(std::uint64_t seed, const WorkloadFaults& faults) : random(seed) {
    for (std::uint32_t i = 1; i <= kReplicas; ++i) {
      cluster.node(i).set_faults(faults.control);
      cluster.output(i).to_balancer = [this, i](const Endpoint& to, const NodeMessage& message) {
        return balancers_[to.address - kFirstBalancer]->receive(i, message, cluster.now());
      };
    }
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      balancers_.push_back(std::make_unique<SimulatedBalancer>(*this, i, faults.client));
    }
  }

  /// Runs the workload; returns the first violation, or an empty string.
  std::string run() {
    const Instant end = cluster.now() + kRunTime;
    while (cluster.now() < end && violation_.empty()) {
      propose_change();
      inject_fault();
      for (auto& balancer : balancers_) {
        balancer->on_tick(cluster.now());
      }
      cluster.run(kStep);
      for (auto& balancer : balancers_) {
        balancer->deliver(cluster.now());
      }
      check_update_delay();
    }
    return violation_;
  }

  std::uint64_t below(std::uint64_t bound) { return random() % bound; }

  Cluster cluster;
  std::mt19937_64 random;

 private:
  void propose_change() {
    const std::uint32_t leader = cluster.leader();
    if (leader == 0) {
      return;
    }
    const FleetState& fleet = cluster.node(leader).state().fleet();
    if (fleet.revision > latest_revision_) {
      latest_revision_ = fleet.revision;
      committed_[latest_revision_] = cluster.now();
    }
    if (below(10) == 0) {
      register_target(cluster.node(leader), 1000 + ++changes_, cluster.now());
    }
  }

  void inject_fault() {
    if (cluster.now() >= frozen_until_) {
      cluster.frozen = 0;
    }
    for (auto& balancer : balancers_) {
      if (cluster.now() >= isolated_until_ &&
          (balancer->is_outbound_blocked || balancer->is_inbound_blocked)) {
        balancer->is_outbound_blocked = false;
        balancer->is_inbound_blocked = false;
        balancer->disturbed_at = cluster.now();
      }
    }
    if (below(75) != 0) {
      return;
    }
    switch (below(5)) {
      case 0:
        freeze_replica();
        break;
      case 1:
        isolate_balancer();
        break;
      case 2:
        reset_connections();
        break;
      default:
        blackhole_connections();
        break;
    }
  }

  void freeze_replica() {
    if (cluster.frozen == 0) {
      cluster.frozen = static_cast<std::uint32_t>(1 + below(kReplicas));
      frozen_until_ = cluster.now() + milliseconds(200 + below(3000));
    }
  }

  void isolate_balancer() {
    SimulatedBalancer& balancer = *balancers_[below(kBalancers)];
    const std::uint64_t directions = 1 + below(3);
    balancer.is_outbound_blocked = (directions & 1U) != 0;
    balancer.is_inbound_blocked = (directions & 2U) != 0;
    balancer.disturbed_at = Instant::max();
    isolated_until_ = cluster.now() + milliseconds(500 + below(4000));
  }

  void reset_connections() {
    const std::uint64_t replica = 1 + below(kReplicas);
    for (auto& balancer : balancers_) {
      balancer->links[replica] = {};
    }
  }

  void blackhole_connections() {
    const std::uint64_t directions = 1 + below(3);
    for (auto& balancer : balancers_) {
      for (auto& link : balancer->links) {
        const bool is_selected = link.is_open && below(2) == 0;
        link.drops_to_replica = link.drops_to_replica || (is_selected && (directions & 1U) != 0);
        link.drops_to_balancer = link.drops_to_balancer || (is_selected && (directions & 2U) != 0);
      }
    }
  }

  void check_update_delay() {
    for (std::uint32_t i = 0; i < kBalancers; ++i) {
      const SimulatedBalancer& balancer = *balancers_[i];
      const auto missing = committed_.upper_bound(balancer.revision());
      if (missing == committed_.end() || balancer.disturbed_at == Instant::max()) {
        continue;
      }
      const Duration behind = cluster.now() - std::max(missing->second, balancer.disturbed_at);
      if (behind > kMaxUpdateDelay) {
        violation_ = "balancer " + std::to_string(i) + " has not applied revision " +
                     std::to_string(missing->first) + " for " + std::to_string(behind.count()) +
                     " us";
      }
    }
  }

  std::vector<std::unique_ptr<SimulatedBalancer>> balancers_;
  /// Time at which each revision was first seen as committed.
  std::map<Revision, Instant> committed_;
  Revision latest_revision_ = 0;
  TargetId changes_ = 0;
  Instant frozen_until_;
  Instant isolated_until_;
  std::string violation_;
};

SimulatedBalancer::SimulatedBalancer(Workload& workload, std::uint32_t number,
                                     const ControlClientFaults& faults)
    : disturbed_at(kStart),
      workload_(workload),
      address_{kFirstBalancer + number, 6000},
      client_({"b", "z", address_, 42 + number, MemberState::kObserver},
              {{1, 7000}, {2, 7000}, {3, 7000}}, {}, *this) {
  client_.set_timing({milliseconds(500), milliseconds(800), milliseconds(100)});
  client_.set_faults(faults);
}

void SimulatedBalancer::on_tick(Instant now) { client_.on_tick(0, now); }

void SimulatedBalancer::send_control(const Endpoint& replica, const NodeMessage& message) {
  const Instant now = workload_.cluster.now();
  Link& link = links[replica.address];
  if (!link.is_open || is_timed_out(link.balancer_unanswered_since, now)) {
    link = {};
    link.is_open = true;
  }
  link.balancer_unanswered_since = link.balancer_unanswered_since.value_or(now);
  if (is_outbound_blocked || link.drops_to_replica || replica.address == workload_.cluster.frozen) {
    return;
  }
  link.replica_unanswered_since.reset();
  workload_.cluster.node(replica.address).on_node_message(address_, message, now);
}

bool SimulatedBalancer::receive(std::uint32_t replica, const NodeMessage& message, Instant now) {
  Link& link = links[replica];
  if (is_timed_out(link.replica_unanswered_since, now)) {
    link = {};
  }
  if (!link.is_open) {
    return false;
  }
  link.replica_unanswered_since = link.replica_unanswered_since.value_or(now);
  if (!is_inbound_blocked && !link.drops_to_balancer) {
    arriving_.emplace_back(replica, message);
  }
  return true;
}

void SimulatedBalancer::deliver(Instant now) {
  for (const auto& [replica, message] : std::exchange(arriving_, {})) {
    links[replica].balancer_unanswered_since.reset();
    client_.on_message({replica, 7000}, message, now);
  }
}

std::vector<TargetStatistics> SimulatedBalancer::take_observations() {
  const auto& targets = client_.fleet().steering.targets;
  if (targets.empty() || workload_.below(2) == 0) {
    return {};
  }
  const auto position = static_cast<std::ptrdiff_t>(workload_.below(targets.size()));
  return {{std::next(targets.begin(), position)->second.token, 0, 0, 1, 1, 0}};
}

}  // namespace

TEST_SUITE("following_workload") {
  TEST_CASE("every balancer that is not isolated applies each change in time, over many seeds") {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      const std::string violation = Workload(seed, {}).run();
      CHECK_MESSAGE(violation.empty(), "seed ", seed, ": ", violation);
    }
  }

  TEST_CASE("the two injected faults together are detected") {
    // The other end compensates for each fault alone.
    WorkloadFaults faults;
    faults.control.assume_sends_delivered = true;
    faults.client.trust_any_message = true;
    CHECK(is_fault_detected<Workload>(faults));
  }
}

}  // namespace gorsevalve
