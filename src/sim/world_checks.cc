/// Checks and measurements at the end of a simulated run.
#include <algorithm>

#include "sim/world.h"

namespace gorsevalve {
namespace {

constexpr Duration kDrainLimit = std::chrono::seconds(3);
constexpr Duration kForceLimit = std::chrono::seconds(6);

std::string count_text(std::uint64_t count, const std::string& what) {
  return std::to_string(count) + " " + what;
}

}  // namespace

void World::check_updates(const ClientStats& stats) {
  std::map<std::string, std::uint32_t> executions;
  for (const auto& [address, target] : targets_) {
    for (const auto& [id, count] : target->executions()) {
      executions[id] += count;
    }
  }
  for (const auto& [id, count] : executions) {
    if (count > 1) {
      checks_.violate(Invariant::kDoubledExecution,
                      id + " ran " + std::to_string(count) + " times");
    }
  }
  for (const auto& [id, fate] : stats.updates) {
    const auto found = executions.find(id);
    const std::uint32_t count = found == executions.end() ? 0 : found->second;
    if (fate == UpdateOutcome::kNotRun && count != 0) {
      checks_.violate(Invariant::kFalseNotRun, id + " ran");
    }
    if (fate == UpdateOutcome::kDone && count == 0) {
      checks_.violate(Invariant::kFalseDone, id + " did not run");
    }
  }
}

void World::check_callers(const ClientStats& stats, const Expectations& expectations) {
  const auto must_be_zero = [&](Invariant invariant, std::uint64_t count, const std::string& what) {
    if (count > 0) {
      checks_.violate(invariant, count_text(count, what));
    }
  };
  must_be_zero(Invariant::kWrongAnswer, stats.wrong_responses, "wrong answers");
  must_be_zero(Invariant::kVerdictWithoutTime, stats.verdicts_without_max_age,
               "verdicts without a time to come back");
  if (expectations.no_broken_flow) {
    must_be_zero(Invariant::kBrokenFlow, stats.broken_flows, "broken flows");
  }
  if (expectations.no_feed_move) {
    must_be_zero(Invariant::kFeedMoved, stats.observation_moves, "feeds changed their target");
  }
  if (expectations.no_request_cut) {
    must_be_zero(Invariant::kRequestCut, stats.timeouts, "requests without answer");
    must_be_zero(Invariant::kRequestCut, stats.verdicts_may_have_run, "verdicts: may have run");
    must_be_zero(Invariant::kRequestCut, stats.verdicts_not_run, "verdicts: not run");
  }
  for (const auto& [address, target] : targets_) {
    must_be_zero(Invariant::kForeignDatagram, target->foreign_datagrams(),
                 "datagrams of another service at " + to_string(address));
  }
  for (const auto& [address, since] : drained_) {
    const Instant last = targets_.at(address)->model().last_new_work();
    if (expectations.drains_in_time && last > since + kDrainLimit) {
      checks_.violate(Invariant::kLateNewWork, to_string(address));
    }
  }
}

void World::check_force(const Expectations& expectations, RunResult& result) {
  for (const auto& one : operators_) {
    for (const auto& [revision, accepted_at] : one->accepted()) {
      for (std::size_t i = 0; i < balancers_.size(); ++i) {
        const auto& forced = balancers_[i]->forced_at();
        const auto first = forced.lower_bound(revision);
        const bool was_up = !forced.empty() && forced.begin()->second <= accepted_at;
        if (!was_up || removed_.contains(i) || first == forced.end()) {
          continue;
        }
        result.longest_force = std::max(result.longest_force, first->second - accepted_at);
      }
    }
  }
  if (expectations.forced_in_time && result.longest_force > kForceLimit) {
    checks_.violate(Invariant::kSlowForce,
                    std::to_string(result.longest_force.count() / 1000) + " ms");
  }
}

void World::check_history() {
  const auto leading = leader();
  if (leading) {
    checks_.check_history(controls_[*leading]->node().state().history());
  }
}

double World::imbalance(const Service& service,
                        const std::function<double(const SimTarget&)>& load) const {
  double sum = 0;
  double most = 0;
  double weights = 0;
  for (const auto& target : service.targets) {
    if (!unloaded_targets_.contains(target.address)) {
      const double value = load(*targets_.at(target.address));
      sum += value;
      weights += target.weight;
      most = std::max(most, value / target.weight);
    }
  }
  return sum > 0 ? most / (sum / weights) : 0;
}

void World::count_verdicts(RunResult& result) const {
  for (const auto& balancer : balancers_) {
    const BalancerCounters counters = balancer->total_counters();
    for (std::size_t i = 0; i < kFailureReasonCount; ++i) {
      result.given_up[i] += counters.given_up[i];
    }
  }
}

void World::measure(RunResult& result) {
  for (const auto& service : settings_.services) {
    result.imbalance.push_back(imbalance(service, [](const SimTarget& target) {
      return static_cast<double>(target.requests_run());
    }));
  }
  result.feed_imbalance = imbalance(settings_.services[0], [](const SimTarget& target) {
    return static_cast<double>(target.model().open_observations());
  });
  const double seconds = std::chrono::duration<double>(events_.now() - load_start_).count();
  double peer = 0;
  double node = 0;
  for (const auto& balancer : balancers_) {
    const BalancerCounters counters = balancer->total_counters();
    result.datagrams += counters.datagrams_in;
    result.relayed += counters.datagrams_relayed;
    result.flows_held += balancer->is_up() ? balancer->node()->flow_count() : 0;
    const auto meter = network_.meters().find(balancer->config().address);
    if (meter != network_.meters().end()) {
      peer += static_cast<double>(meter->second[static_cast<std::size_t>(TrafficKind::kPeer)]);
      node += static_cast<double>(meter->second[static_cast<std::size_t>(TrafficKind::kNode)]);
    }
  }
  const auto nodes = static_cast<double>(balancers_.size());
  result.peer_octets_per_second = peer / seconds / nodes;
  result.node_octets_per_second = node / seconds / nodes;
}

}  // namespace gorsevalve
