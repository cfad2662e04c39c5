#include "core/control/target_health_aggregator.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <string>

namespace gorsevalve {
namespace {

/// Half-life of the decayed counters. Requests decay slowly, to include flows that rarely send one;
/// failures decay quickly, to follow targets that fail and recover.
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

int severity(const TargetHealth& figure) {
  return (figure.is_unreachable ? 2000 : 0) + (figure.is_unhealthy ? 1000 : 0) +
         std::abs(int{figure.load_percent} - int{TargetHealth::kMeanLoadPercent});
}

/// Total of a counter over the targets of a pool.
struct PoolTotal {
  double sum = 0;
  double targets = 0;

  [[nodiscard]] double mean() const { return targets == 0 ? 0 : sum / targets; }
};

}  // namespace

void TargetHealthAggregator::decay(DecayedCounters& sums, Instant now) {
  const auto passed = static_cast<double>((now - sums.updated_at).count());
  sums.updated_at = now;
  const double trouble_left = std::exp2(-passed / kFailureHalfLifeUs);
  sums.requests *= std::exp2(-passed / kRequestHalfLifeUs);
  sums.stalled_requests *= trouble_left;
  sums.new_flows *= trouble_left;
  sums.unanswered_flows *= trouble_left;
}

bool TargetHealthAggregator::record_refused_probes(DecayedCounters& sums, Instant now) {
  if (!sums.refusals_since || now - sums.last_refusal_at > kMaxRefusalGap) {
    sums.refusals_since = now;
  }
  sums.last_refusal_at = now;
  return now - *sums.refusals_since >= kMinRefusalDuration;
}

void TargetHealthAggregator::add(const std::vector<TargetObservation>& observations, Instant now) {
  for (const auto& seen : observations) {
    DecayedCounters& sums = counters_[seen.token];
    decay(sums, now);
    sums.requests += seen.requests;
    sums.stalled_requests += seen.stalled_requests;
    sums.new_flows += seen.new_flows;
    sums.unanswered_flows += seen.unanswered_flows;
    // One reset is sufficient evidence, but unanswered packets may have been lost in the network.
    const bool is_silent = sums.unanswered_flows >= kUnansweredThreshold &&
                           sums.unanswered_flows >= kUnansweredRatio * sums.new_flows;
    const bool is_refusing = seen.refused_probes > 0 && record_refused_probes(sums, now);
    if (seen.refused_flows > 0 || is_refusing || (seen.unanswered_flows > 0 && is_silent)) {
      sums.unhealthy_until = now + kUnhealthyDuration;
    }
    if (seen.unreachable > 0) {
      sums.unhealthy_until = now + kUnhealthyDuration;
      sums.unreachable_until = now + kUnhealthyDuration;
    }
    const std::uint32_t troubles = seen.refused_flows + seen.unanswered_flows +
                                   seen.stalled_requests + seen.unreachable + seen.refused_probes;
    has_failures_ = has_failures_ || troubles > 0;
    TargetObservation& fresh = unreported_[seen.token];
    fresh.token = seen.token;
    fresh.requests += seen.requests;
    fresh.stalled_requests += seen.stalled_requests;
    fresh.new_flows += seen.new_flows;
    fresh.refused_flows += seen.refused_flows;
    fresh.unanswered_flows += seen.unanswered_flows;
    fresh.unreachable += seen.unreachable;
    fresh.refused_probes += seen.refused_probes;
  }
}

std::vector<TargetObservation> TargetHealthAggregator::take_observations(Instant now) {
  std::vector<TargetObservation> result;
  result.reserve(unreported_.size());
  for (const auto& [token, seen] : unreported_) {
    result.push_back(seen);
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
    DecayedCounters& sums = found->second;
    const double least = std::max(kStalledThreshold, kStalledMeanRatio * pools[target.pool].mean());
    if (sums.stalled_requests >= least) {
      sums.unhealthy_until = now + kUnhealthyDuration;
    }
  }
}

void TargetHealthAggregator::drop_earlier_incarnations(const SteeringState& state) {
  for (const auto& [id, target] : state.targets) {
    const auto found = counters_.find(target.token);
    if (found == counters_.end()) {
      continue;
    }
    const TargetStart seen = found->second.started_at_ms.value_or(target.started_at_ms);
    if (seen == target.started_at_ms) {
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
  absl::flat_hash_map<FlowToken, DecayedCounters> known;
  for (const auto& [id, target] : state.targets) {
    const auto found = counters_.find(target.token);
    if (found == counters_.end() || target.phase == TargetPhase::kEnded) {
      continue;
    }
    decay(found->second, now);
    known.insert(*found);
    if (target.phase == TargetPhase::kReady) {
      pools[target.pool].sum += found->second.requests;
      pools[target.pool].targets += 1;
    }
  }
  counters_ = std::move(known);
  std::vector<TargetHealth> figures;
  for (const auto& [id, target] : state.targets) {
    const auto found = counters_.find(target.token);
    const double mean = pools[target.pool].mean();
    if (found == counters_.end() || target.phase != TargetPhase::kReady) {
      continue;
    }
    TargetHealth figure;
    figure.token = target.token;
    figure.is_unhealthy = now < found->second.unhealthy_until;
    figure.is_unreachable = now < found->second.unreachable_until;
    if (mean >= kMinRequestsPerTarget) {
      const double percent = TargetHealth::kMeanLoadPercent * found->second.requests / mean;
      figure.load_percent = static_cast<std::uint8_t>(std::min(percent, kMaxLoadPercent));
    }
    if (severity(figure) > kLoadTolerancePercent) {
      figures.push_back(figure);
    }
  }
  if (figures.size() > kMaxTargets) {
    std::stable_sort(figures.begin(), figures.end(),
                     [](const auto& a, const auto& b) { return severity(a) > severity(b); });
    figures.resize(kMaxTargets);
  }
  return figures;
}

void TargetHealthAggregator::clear() {
  counters_.clear();
  unreported_.clear();
  has_failures_ = false;
}

}  // namespace gorsevalve
