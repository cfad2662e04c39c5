#include "core/steering/handshake_times.h"

#include <algorithm>
#include <cmath>

namespace gorsevalve {
namespace {

/// Gains of the mean and of the deviation, and the factor of the deviation in the timeout (RFC
/// 6298).
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviationFactor = 4;

}  // namespace

void HandshakeTimes::on_established(const std::string& zone, Duration took) {
  const auto sample_us = static_cast<double>(took.count());
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return;
  }
  Estimate& estimate = found->second;
  if (estimate.mean_us <= 0) {
    estimate = {sample_us, sample_us / 2};
    return;
  }
  const double error_us = sample_us - estimate.mean_us;
  estimate.deviation_us += kDeviationGain * (std::abs(error_us) - estimate.deviation_us);
  estimate.mean_us += kMeanGain * error_us;
}

Duration HandshakeTimes::overdue_timeout(const std::string& zone) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end() || found->second.mean_us <= 0) {
    return kMaxTimeout;
  }
  const Estimate& estimate = found->second;
  const double timeout_us = estimate.mean_us + kDeviationFactor * estimate.deviation_us;
  return std::clamp(Duration(static_cast<std::int64_t>(timeout_us)), kMinTimeout, kMaxTimeout);
}

}  // namespace gorsevalve
