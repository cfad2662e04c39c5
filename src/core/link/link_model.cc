#include "core/link/link_model.h"

#include <algorithm>
#include <cmath>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;

/// Half-life of the utilization estimate: long enough to average over several packets of a slow
/// link, short enough to reflect a transfer of 160 ms.
constexpr Duration kHalfLife = milliseconds(200);
constexpr double kMicrosecondsPerSecond = 1e6;
/// Steady-state decaying sum at 1 byte per second: kHalfLife in seconds divided by ln 2.
constexpr double kDecayedSumPerRate = 0.2 / 0.6931471805599453;
/// Send backlog above which the link is congested: a third of the minimum reply timeout of probes
/// (60 ms), since probes and their replies are queued behind other data.
constexpr Duration kCongestionThreshold = milliseconds(20);

double seconds_between(Instant from, Instant to) {
  return static_cast<double>(std::max((to - from).count(), Duration::rep{0})) /
         kMicrosecondsPerSecond;
}

double elapsed_half_lives(Instant from, Instant to) {
  return seconds_between(from, to) * kMicrosecondsPerSecond /
         static_cast<double>(kHalfLife.count());
}

}  // namespace

void LinkModel::Direction::add(std::size_t bytes, Instant now, double rate) {
  if (rate <= 0) {
    return;
  }
  queued_bytes_ = std::max(queued_bytes_ - rate * seconds_between(updated_at_, now), 0.0);
  decayed_bytes_ *= std::exp2(-elapsed_half_lives(updated_at_, now));
  updated_at_ = now;
  queued_bytes_ += static_cast<double>(bytes);
  decayed_bytes_ += static_cast<double>(bytes);
}

Duration LinkModel::Direction::backlog(Instant now, double rate) const {
  if (rate <= 0) {
    return Duration::zero();
  }
  const double remaining = std::max(queued_bytes_ - rate * seconds_between(updated_at_, now), 0.0);
  return Duration(static_cast<Duration::rep>(remaining / rate * kMicrosecondsPerSecond));
}

Instant LinkModel::Direction::backlog_end(double rate) const {
  return rate <= 0 ? updated_at_
                   : updated_at_ + Duration(static_cast<Duration::rep>(queued_bytes_ / rate *
                                                                       kMicrosecondsPerSecond));
}

double LinkModel::Direction::utilization(Instant now, double rate) const {
  if (rate <= 0) {
    return 0;
  }
  return decayed_bytes_ * std::exp2(-elapsed_half_lives(updated_at_, now)) /
         (rate * kDecayedSumPerRate);
}

bool LinkModel::is_congested(Instant now) const { return send_backlog(now) > kCongestionThreshold; }

}  // namespace gorsevalve
