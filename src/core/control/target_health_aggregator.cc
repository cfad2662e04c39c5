#include "core/control/target_health_aggregator.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <string>

namespace gorsevalve {
namespace {

/// Half-life of the decayed counters. Requests decay slowly, so that flows with rare requests still
/// count; failures decay quickly, so that those from before a recovery soon stop counting.
constexpr double kRequestHalfLifeUs = 10e6;
constexpr double kFailureHalfLifeUs = 2e6;
/// A target is unresponsive if this many recent flows, and this share of them, were unanswered.
constexpr double kUnansweredThreshold = 1.5;
constexpr double kUnansweredRatio = 0.4;
/// A target is stalled if this many recent requests stalled and they exceed the mean of its pool by
/// this factor. If the whole pool is slow, no target is marked.
constexpr double kStalledThreshold = 1.8;
constexpr double kStalledMeanRatio = 1.9;
/// How long a target stays unhealthy after the last failure; longer than the up phase of a flapping
/// target.
constexpr Duration kUnhealthyDuration = std::chrono::seconds(5);
/// Probes refused for at least this long indicate a failure instead of a target that is full.
constexpr Duration kMinRefusalDuration = std::chrono::milliseconds(400);
/// Refusals further apart than this do not belong to the same run.
constexpr Duration kMaxRefusalGap = std::chrono::seconds(1);
/// Counters without an observation for this long are removed.
constexpr Duration kCounterExpiry = std::chrono::seconds(60);
/// Loads within this many percent of the mean are not reported.
constexpr int kLoadTolerancePercent = 3;
/// Mean requests per target that a pool needs before its loads are significant.
constexpr double kMinRequestsPerTarget = 8;
constexpr double kMaxLoadPercent = 250;

int severity(const TargetHealth& health) {
  return (health.is_unreachable ? 2000 : 0) + (health.is_unhealthy ? 1000 : 0) +
         std::abs(int{health.load_percent} - int{TargetHealth::kMeanLoadPercent});
}

/// Total of a counter over the targets of a pool.
struct PoolTotal {
  double sum = 0;
  double targets = 0;

  [[nodiscard]] double mean() const { return targets == 0 ? 0 : sum / targets; }
};

}  // namespace

void TargetHealthAggregator::decay(DecayedCounters& counters, Instant now) {
  const auto elapsed = static_cast<double>((now - counters.updated_at).count());
  counters.updated_at = now;
  const double failure_decay = std::exp2(-elapsed / kFailureHalfLifeUs);
  counters.requests *= std::exp2(-elapsed / kRequestHalfLifeUs);
  counters.stalled_requests *= failure_decay;
  counters.new_flows *= failure_decay;
  counters.unanswered_flows *= failure_decay;
}

bool TargetHealthAggregator::record_refused_probes(DecayedCounters& counters, Instant now) {
  if (!counters.refusals_since || now - counters.last_refusal_at > kMaxRefusalGap) {
    counters.refusals_since = now;
  }
  counters.last_refusal_at = now;
  return now - *counters.refusals_since >= kMinRefusalDuration;
}

void TargetHealthAggregator::add(const std::vector<TargetStatistics>& observations, Instant now) {
  for (const auto& observed : observations) {
    DecayedCounters& counters = counters_[observed.token];
    decay(counters, now);
    counters.requests += observed.requests;
    counters.stalled_requests += observed.stalled_requests;
    counters.new_flows += observed.new_flows;
    counters.unanswered_flows += observed.retransmitted_flows;
    // One reset is sufficient evidence, but unanswered packets may have been lost in the network.
    const bool is_unresponsive = counters.unanswered_flows >= kUnansweredThreshold &&
                                 counters.unanswered_flows >= kUnansweredRatio * counters.new_flows;
    const bool keeps_refusing = observed.refused_probes > 0 && record_refused_probes(counters, now);
    if (observed.refused_flows > 0 || keeps_refusing ||
        (observed.retransmitted_flows > 0 && is_unresponsive)) {
      counters.unhealthy_until = now + kUnhealthyDuration;
    }
    if (observed.unreachable > 0) {
      counters.unhealthy_until = now + kUnhealthyDuration;
      counters.unreachable_until = now + kUnhealthyDuration;
    }
    const std::uint32_t failures = observed.refused_flows + observed.retransmitted_flows +
                                   observed.stalled_requests + observed.unreachable +
                                   observed.refused_probes;
    has_failures_ = has_failures_ || failures > 0;
    TargetStatistics& unreported = unreported_[observed.token];
    unreported.token = observed.token;
    unreported.requests += observed.requests;
    unreported.stalled_requests += observed.stalled_requests;
    unreported.new_flows += observed.new_flows;
    unreported.refused_flows += observed.refused_flows;
    unreported.retransmitted_flows += observed.retransmitted_flows;
    unreported.unreachable += observed.unreachable;
    unreported.refused_probes += observed.refused_probes;
    if (observed.replaced) {
      unreported.replaced = observed.replaced;
    }
  }
}

std::vector<TargetStatistics> TargetHealthAggregator::take_observations(Instant now) {
  std::vector<TargetStatistics> result;
  result.reserve(unreported_.size());
  for (const auto& [token, observed] : unreported_) {
    result.push_back(observed);
  }
  std::sort(result.begin(), result.end(),
            [](const auto& a, const auto& b) { return a.token < b.token; });
  unreported_.clear();
  has_failures_ = false;
  absl::erase_if(counters_,
                 [&](const auto& entry) { return now - entry.second.updated_at > kCounterExpiry; });
  return result;
}

void TargetHealthAggregator::detect_stalled_targets(const SteeringState& state, Instant now) {
  std::map<std::string, PoolTotal> pools;
  for (const auto& [id, target] : state.targets) {
    if (target.phase == TargetPhase::kReady) {
      const auto found = counters_.find(target.token);
      pools[target.pool].sum += found == counters_.end() ? 0 : found->second.stalled_requests;
      pools[target.pool].targets += 1;
    }
  }
  for (const auto& [id, target] : state.targets) {
    const auto found = counters_.find(target.token);
    if (found == counters_.end() || target.phase != TargetPhase::kReady) {
      continue;
    }
    DecayedCounters& counters = found->second;
    const double threshold =
        std::max(kStalledThreshold, kStalledMeanRatio * pools[target.pool].mean());
    if (counters.stalled_requests >= threshold) {
      counters.unhealthy_until = now + kUnhealthyDuration;
    }
  }
}

void TargetHealthAggregator::drop_earlier_incarnations(const SteeringState& state) {
  for (const auto& [id, target] : state.targets) {
    const auto found = counters_.find(target.token);
    if (found == counters_.end()) {
      continue;
    }
    const TargetStart observed = found->second.started_at_ms.value_or(target.started_at_ms);
    if (observed == target.started_at_ms) {
      found->second.started_at_ms = target.started_at_ms;
    } else {
      counters_.erase(found);
    }
  }
}

std::vector<TargetHealth> TargetHealthAggregator::evaluate(const SteeringState& state,
                                                           Instant now) {
  unreported_.clear();
  has_failures_ = false;
  drop_earlier_incarnations(state);
  detect_stalled_targets(state, now);
  std::map<std::string, PoolTotal> pools;
  absl::flat_hash_map<FlowToken, DecayedCounters> current;
  for (const auto& [id, target] : state.targets) {
    const auto found = counters_.find(target.token);
    if (found == counters_.end() || target.has_ended()) {
      continue;
    }
    decay(found->second, now);
    current.insert(*found);
    if (target.phase == TargetPhase::kReady) {
      pools[target.pool].sum += found->second.requests;
      pools[target.pool].targets += 1;
    }
  }
  counters_ = std::move(current);
  std::vector<TargetHealth> reported;
  for (const auto& [id, target] : state.targets) {
    const auto found = counters_.find(target.token);
    const double mean = pools[target.pool].mean();
    if (found == counters_.end() || target.phase != TargetPhase::kReady) {
      continue;
    }
    TargetHealth health;
    health.token = target.token;
    health.is_unhealthy = now < found->second.unhealthy_until;
    health.is_unreachable = now < found->second.unreachable_until;
    if (mean >= kMinRequestsPerTarget) {
      const double percent = TargetHealth::kMeanLoadPercent * found->second.requests / mean;
      health.load_percent = static_cast<std::uint8_t>(std::min(percent, kMaxLoadPercent));
    }
    if (severity(health) > kLoadTolerancePercent) {
      reported.push_back(health);
    }
  }
  if (reported.size() > kMaxTargets) {
    std::stable_sort(reported.begin(), reported.end(),
                     [](const auto& a, const auto& b) { return severity(a) > severity(b); });
    reported.resize(kMaxTargets);
  }
  return reported;
}

void TargetHealthAggregator::clear() {
  counters_.clear();
  unreported_.clear();
  has_failures_ = false;
}

}  // namespace gorsevalve
