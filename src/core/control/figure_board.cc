#include "core/control/figure_board.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <string>

namespace gorsevalve {
namespace {

/// Time in which what was seen loses half of its weight: long enough to count flows that ask now
/// and then, short enough to follow targets that come and go.
constexpr double kRequestHalfLifeUs = 10e6;
constexpr double kTroubleHalfLifeUs = 2e6;
/// A target is silent when this many openings were left unanswered lately, and this share of all.
constexpr double kSilentCount = 1.5;
constexpr double kSilentShare = 0.4;
/// A target is stalled when this many requests got no answer lately, and this multiple of the mean
/// of its pool: where all are slow, none is to blame.
constexpr double kStalledCount = 1.8;
constexpr double kStalledOverMean = 1.9;
/// How long a target stays troubled after the last evidence: longer than a flapping target stays
/// up.
constexpr Duration kTroubledFor = std::chrono::seconds(5);
/// A target whose probes are refused over this time is not full for a moment.
constexpr Duration kRefusingFor = std::chrono::milliseconds(400);
/// Refusals that are further apart than this are of two moments.
constexpr Duration kRefusingPause = std::chrono::seconds(1);
/// Sums that nothing was added to for this long are dropped.
constexpr Duration kForgottenAfter = std::chrono::seconds(60);
/// Pressures within this many percent of the usual one are not told.
constexpr int kUsualRange = 3;
/// A pool needs this many requests in the sums before pressures mean anything.
constexpr double kLeastRequestsPerTarget = 8;
constexpr double kMaxPressure = 250;

int deviation(const TargetFigure& figure) {
  return (figure.is_unreachable ? 2000 : 0) + (figure.is_troubled ? 1000 : 0) +
         std::abs(int{figure.pressure} - int{TargetFigure::kUsualPressure});
}

/// A figure over the targets of a pool.
struct PoolSum {
  double sum = 0;
  double targets = 0;

  [[nodiscard]] double mean() const { return targets == 0 ? 0 : sum / targets; }
};

}  // namespace

void FigureBoard::decay(Sums& sums, Instant now) {
  const auto passed = static_cast<double>((now - sums.at).count());
  sums.at = now;
  const double trouble_left = std::exp2(-passed / kTroubleHalfLifeUs);
  sums.requests *= std::exp2(-passed / kRequestHalfLifeUs);
  sums.stalled *= trouble_left;
  sums.openings *= trouble_left;
  sums.unanswered *= trouble_left;
}

bool FigureBoard::note_refused_probes(Sums& sums, Instant now) {
  if (!sums.refusing_since || now - sums.refusing_at > kRefusingPause) {
    sums.refusing_since = now;
  }
  sums.refusing_at = now;
  return now - *sums.refusing_since >= kRefusingFor;
}

void FigureBoard::add(const std::vector<TargetObservation>& observations, Instant now) {
  for (const auto& seen : observations) {
    Sums& sums = sums_[seen.token];
    decay(sums, now);
    sums.requests += seen.requests;
    sums.stalled += seen.stalled;
    sums.openings += seen.openings;
    sums.unanswered += seen.unanswered;
    // One refusal tells enough; packets without an answer may have been lost on their way.
    const bool is_silent =
        sums.unanswered >= kSilentCount && sums.unanswered >= kSilentShare * sums.openings;
    const bool is_refusing = seen.refusing > 0 && note_refused_probes(sums, now);
    if (seen.refused > 0 || is_refusing || (seen.unanswered > 0 && is_silent)) {
      sums.troubled_until = now + kTroubledFor;
    }
    if (seen.unreachable > 0) {
      sums.troubled_until = now + kTroubledFor;
      sums.unreachable_until = now + kTroubledFor;
    }
    const std::uint32_t troubles =
        seen.refused + seen.unanswered + seen.stalled + seen.unreachable + seen.refusing;
    has_trouble_ = has_trouble_ || troubles > 0;
    TargetObservation& fresh = fresh_[seen.token];
    fresh.token = seen.token;
    fresh.requests += seen.requests;
    fresh.stalled += seen.stalled;
    fresh.openings += seen.openings;
    fresh.refused += seen.refused;
    fresh.unanswered += seen.unanswered;
    fresh.unreachable += seen.unreachable;
    fresh.refusing += seen.refusing;
  }
}

std::vector<TargetObservation> FigureBoard::take_observations(Instant now) {
  std::vector<TargetObservation> result;
  result.reserve(fresh_.size());
  for (const auto& [token, seen] : fresh_) {
    result.push_back(seen);
  }
  std::sort(result.begin(), result.end(),
            [](const auto& a, const auto& b) { return a.token < b.token; });
  fresh_.clear();
  has_trouble_ = false;
  absl::erase_if(sums_, [&](const auto& entry) { return now - entry.second.at > kForgottenAfter; });
  return result;
}

void FigureBoard::conclude_stalls(const SteeringState& state, Instant now) {
  std::map<std::string, PoolSum> pools;
  for (const auto& [id, target] : state.targets) {
    if (target.phase == TargetPhase::kReady) {
      const auto found = sums_.find(target.token);
      pools[target.pool].sum += found == sums_.end() ? 0 : found->second.stalled;
      pools[target.pool].targets += 1;
    }
  }
  for (const auto& [id, target] : state.targets) {
    const auto found = sums_.find(target.token);
    if (found == sums_.end() || target.phase != TargetPhase::kReady) {
      continue;
    }
    Sums& sums = found->second;
    const double least = std::max(kStalledCount, kStalledOverMean * pools[target.pool].mean());
    if (sums.stalled >= least) {
      sums.troubled_until = now + kTroubledFor;
    }
  }
}

void FigureBoard::forget_earlier_lives(const SteeringState& state) {
  for (const auto& [id, target] : state.targets) {
    const auto found = sums_.find(target.token);
    if (found == sums_.end()) {
      continue;
    }
    const TargetStart seen = found->second.started_at_ms.value_or(target.started_at_ms);
    if (seen == target.started_at_ms) {
      found->second.started_at_ms = target.started_at_ms;
    } else {
      sums_.erase(found);
    }
  }
}

std::vector<TargetFigure> FigureBoard::conclude(const SteeringState& state, Instant now) {
  fresh_.clear();
  has_trouble_ = false;
  forget_earlier_lives(state);
  conclude_stalls(state, now);
  std::map<std::string, PoolSum> pools;
  absl::flat_hash_map<FlowToken, Sums> known;
  for (const auto& [id, target] : state.targets) {
    const auto found = sums_.find(target.token);
    if (found == sums_.end() || target.phase == TargetPhase::kEnded) {
      continue;
    }
    decay(found->second, now);
    known.insert(*found);
    if (target.phase == TargetPhase::kReady) {
      pools[target.pool].sum += found->second.requests;
      pools[target.pool].targets += 1;
    }
  }
  sums_ = std::move(known);
  std::vector<TargetFigure> figures;
  for (const auto& [id, target] : state.targets) {
    const auto found = sums_.find(target.token);
    const double mean = pools[target.pool].mean();
    if (found == sums_.end() || target.phase != TargetPhase::kReady) {
      continue;
    }
    TargetFigure figure;
    figure.token = target.token;
    figure.is_troubled = now < found->second.troubled_until;
    figure.is_unreachable = now < found->second.unreachable_until;
    if (mean >= kLeastRequestsPerTarget) {
      const double percent = TargetFigure::kUsualPressure * found->second.requests / mean;
      figure.pressure = static_cast<std::uint8_t>(std::min(percent, kMaxPressure));
    }
    if (deviation(figure) > kUsualRange) {
      figures.push_back(figure);
    }
  }
  if (figures.size() > kMaxFigures) {
    std::stable_sort(figures.begin(), figures.end(),
                     [](const auto& a, const auto& b) { return deviation(a) > deviation(b); });
    figures.resize(kMaxFigures);
  }
  return figures;
}

void FigureBoard::clear() {
  sums_.clear();
  fresh_.clear();
  has_trouble_ = false;
}

}  // namespace gorsevalve
