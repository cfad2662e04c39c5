#include "core/steering/response_times.h"

namespace gorsevalve {
namespace {

/// Gain of the smoothed mean: about ten samples arrive while queues fill.
constexpr double kSampleGain = 0.2;
/// Older samples do not reflect current queueing.
constexpr Duration kMaxSampleAge = std::chrono::seconds(2);

}  // namespace

void ResponseTimes::on_response(const std::string& pool, Duration took, Instant now) {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return;
  }
  Estimate& estimate = found->second;
  const auto sample_us = static_cast<double>(took.count());
  const bool is_fresh = now - estimate.at < kMaxSampleAge;
  estimate.mean_us =
      is_fresh ? estimate.mean_us + kSampleGain * (sample_us - estimate.mean_us) : sample_us;
  estimate.at = now;
}

LatencyLevel ResponseTimes::latency_level(const std::string& pool, Instant now) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end() || now - found->second.at >= kMaxSampleAge) {
    return LatencyLevel::kUnknown;
  }
  return found->second.mean_us < kLowLatencyUs ? LatencyLevel::kLow : LatencyLevel::kHigh;
}

}  // namespace gorsevalve
