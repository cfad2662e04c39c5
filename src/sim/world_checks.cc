/// Checks and measurements at the end of a simulated run.
#include <algorithm>

#include "sim/world.h"

namespace gorsevalve {
namespace {

constexpr Duration kMaxDrainTime = std::chrono::seconds(3);
constexpr Duration kMaxApplyTime = std::chrono::seconds(6);

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
      checker_.report_violation(Invariant::kDuplicateExecution,
                                id + " ran " + std::to_string(count) + " times");
    }
  }
  for (const auto& [id, outcome] : stats.updates) {
    const auto found = executions.find(id);
    const std::uint32_t count = found == executions.end() ? 0 : found->second;
    if (outcome == UpdateOutcome::kNotRun && count != 0) {
      checker_.report_violation(Invariant::kExecutedDespiteNotRun,
                                id + " ran despite the verdict not run");
    }
    if (outcome == UpdateOutcome::kDone && count == 0) {
      checker_.report_violation(Invariant::kLostUpdate, id + " was acknowledged but did not run");
    }
  }
}

void World::check_clients(const ClientStats& stats, const Expectations& expectations) {
  const auto must_be_zero = [&](Invariant invariant, std::uint64_t count, const std::string& what) {
    if (count > 0) {
      checker_.report_violation(invariant, count_text(count, what));
    }
  };
  must_be_zero(Invariant::kWrongResponse, stats.wrong_responses, "responses to another request");
  must_be_zero(Invariant::kVerdictWithoutRetryDelay, stats.verdicts_without_max_age,
               "verdicts without a retry delay");
  if (expectations.no_broken_flow) {
    must_be_zero(Invariant::kBrokenFlow, stats.broken_flows, "broken flows");
  }
  if (expectations.no_observation_move) {
    must_be_zero(Invariant::kObservationMoved, stats.observation_moves,
                 "observations moved to another target");
  }
  if (expectations.no_request_failure) {
    must_be_zero(Invariant::kRequestFailed, stats.timeouts, "requests without a response");
    must_be_zero(Invariant::kRequestFailed, stats.verdicts_may_have_run, "verdicts: may have run");
    must_be_zero(Invariant::kRequestFailed, stats.verdicts_not_run, "verdicts: not run");
  }
  for (const auto& [address, target] : targets_) {
    must_be_zero(Invariant::kMisroutedDatagram, target->misrouted_datagrams(),
                 "datagrams of another service at " + to_string(address));
  }
  for (const auto& [address, since] : drained_since_) {
    const Instant last = targets_.at(address)->model().last_new_work();
    if (expectations.drains_in_time && last > since + kMaxDrainTime) {
      checker_.report_violation(Invariant::kNewWorkAfterDrain, to_string(address));
    }
  }
}

void World::check_apply_times(const Expectations& expectations, RunResult& result) {
  for (const auto& submitter : operators_) {
    for (const auto& [revision, accepted_at] : submitter->accepted()) {
      for (std::size_t i = 0; i < balancers_.size(); ++i) {
        const auto& applied = balancers_[i]->applied_at();
        const auto first = applied.lower_bound(revision);
        const bool was_up = !applied.empty() && applied.begin()->second <= accepted_at;
        if (!was_up || removed_balancers_.contains(i) || first == applied.end()) {
          continue;
        }
        result.max_apply_time = std::max(result.max_apply_time, first->second - accepted_at);
      }
    }
  }
  if (expectations.applied_in_time && result.max_apply_time > kMaxApplyTime) {
    checker_.report_violation(Invariant::kSlowApply,
                              std::to_string(result.max_apply_time.count() / 1000) + " ms");
  }
}

void World::check_history() {
  const auto leading = leader();
  if (leading) {
    checker_.check_history(controls_[*leading]->node().state().history());
  }
}

double World::imbalance(const Service& service,
                        const std::function<double(const SimTarget&)>& load) const {
  double sum = 0;
  double max_load = 0;
  double weights = 0;
  for (const auto& target : service.targets) {
    if (!excluded_targets_.contains(target.address)) {
      const double value = load(*targets_.at(target.address));
      sum += value;
      weights += target.weight;
      max_load = std::max(max_load, value / target.weight);
    }
  }
  return sum > 0 ? max_load / (sum / weights) : 0;
}

void World::count_failures(RunResult& result) const {
  for (const auto& balancer : balancers_) {
    const BalancerCounters counters = balancer->total_counters();
    for (std::size_t i = 0; i < kFailureReasonCount; ++i) {
      result.failures_by_reason[i] += counters.given_up[i];
    }
  }
}

void World::measure(RunResult& result) {
  for (const auto& service : settings_.services) {
    result.request_imbalance.push_back(imbalance(service, [](const SimTarget& target) {
      return static_cast<double>(target.requests_run());
    }));
  }
  result.observation_imbalance = imbalance(settings_.services[0], [](const SimTarget& target) {
    return static_cast<double>(target.model().open_observations());
  });
  const double seconds = std::chrono::duration<double>(events_.now() - load_start_).count();
  double peer = 0;
  double node = 0;
  for (const auto& balancer : balancers_) {
    const BalancerCounters counters = balancer->total_counters();
    result.datagrams += counters.datagrams_in;
    result.relayed += counters.datagrams_relayed;
    result.flow_records += balancer->is_up() ? balancer->node()->flow_count() : 0;
    const auto meter = network_.traffic().find(balancer->config().address);
    if (meter != network_.traffic().end()) {
      peer += static_cast<double>(meter->second[static_cast<std::size_t>(TrafficKind::kPeer)]);
      node += static_cast<double>(meter->second[static_cast<std::size_t>(TrafficKind::kNode)]);
    }
  }
  const auto nodes = static_cast<double>(balancers_.size());
  result.peer_bytes_per_second = peer / seconds / nodes;
  result.node_bytes_per_second = node / seconds / nodes;
}

}  // namespace gorsevalve
