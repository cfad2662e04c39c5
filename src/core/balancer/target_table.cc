#include "core/balancer/target_table.h"

#include <algorithm>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMinWindow = 1;
constexpr double kMaxWindow = 256;
constexpr double kWindowDecrease = 0.5;
/// Minimum time between two decreases of the window, so that a burst of refusals counts once.
constexpr Duration kDecreaseInterval = milliseconds(100);
/// A new target gets its full share after this time, starting from kWarmUpMinFactor.
constexpr Duration kWarmUpPeriod = seconds(20);
constexpr double kWarmUpMinFactor = 0.1;
/// Maximum age of a report that is used.
constexpr Duration kReportLifetime = seconds(10);
/// Weight of a report against the balancer's own count.
constexpr double kReportWeight = 0.5;

double warm_up_factor(const TargetState& state, Instant now) {
  if (!state.needs_warm_up) {
    return 1;
  }
  const double age = std::chrono::duration<double>(now - state.first_seen).count();
  const double full = std::chrono::duration<double>(kWarmUpPeriod).count();
  return std::clamp(age / full, kWarmUpMinFactor, 1.0);
}

}  // namespace

std::size_t TargetState::queued_count() const {
  std::size_t count = 0;
  for (const auto& queue : queues) {
    count += queue.size();
  }
  return count;
}

void TargetTable::update_targets(const FleetView& view, Instant now) {
  for (const auto& service : view.state().settings.services) {
    for (const auto& target : service.targets) {
      const auto [found, is_new] = targets_.try_emplace(target.address);
      if (is_new) {
        found->second.first_seen = now;
        found->second.needs_warm_up = has_view_;
        found->second.window = std::max<double>(target.slots, kMinWindow);
      }
    }
  }
  has_view_ = has_view_ || !view.state().settings.services.empty();
}

TargetState& TargetTable::at(const Endpoint& target) { return targets_[target]; }

const TargetState* TargetTable::find(const Endpoint& target) const {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : &found->second;
}

bool TargetTable::on_report(const TargetReport& report, Instant now) {
  TargetState& state = at(report.target);
  if (!report.healthy) {
    ++state.failed_polls;
    const bool went_down = state.healthy && state.failed_polls >= kUnhealthyThreshold;
    state.healthy = state.healthy && !went_down;
    return went_down;
  }
  state.failed_polls = 0;
  state.healthy = true;
  state.report = report;
  state.reported_at = now;
  state.has_report = true;
  return false;
}

void TargetTable::on_response(const Endpoint& target, bool refused, Instant now) {
  TargetState& state = at(target);
  if (!refused) {
    state.window = std::min(state.window + 1 / state.window, kMaxWindow);
    return;
  }
  if (now - state.last_decrease >= kDecreaseInterval) {
    state.window = std::max(state.window * kWindowDecrease, kMinWindow);
    state.last_decrease = now;
  }
}

bool TargetTable::has_capacity(const Endpoint& target) const {
  const TargetState* state = find(target);
  return state == nullptr || static_cast<double>(state->outstanding) + 1 <= state->window;
}

double TargetTable::load(const Target& target, double owned_share, Instant now) const {
  const TargetState* state = find(target.address);
  if (state == nullptr) {
    return 0;
  }
  double load = state->flows + state->outstanding + static_cast<double>(state->queued_count());
  if (state->has_report && now - state->reported_at < kReportLifetime) {
    // The part of the reported total that corresponds to this balancer's share of the partitions.
    const double expected = state->report.connections * owned_share;
    load += kReportWeight * (expected - load);
  }
  const double share = target.weight * warm_up_factor(*state, now);
  return (load + 1) / std::max(share, 1e-9);
}

}  // namespace gorsevalve
