#include "core/link/bulk_admission.h"

#include <algorithm>

namespace gorsevalve {
namespace {

/// A flow without data for this long is removed; clients retransmit at least every 1.6 s.
constexpr Duration kIdleTimeout = std::chrono::seconds(2);
/// Lower bound of the bytes that an open flow is still expected to send: one window of 16 packets.
constexpr double kMinRemainingBytes = 16 * 1200;
/// Weight of a new flow size in the moving average.
constexpr double kAverageWeight = 0.05;
/// Share of the link rate that bulk flows may use; the rest is for short requests, which are never
/// rejected.
constexpr double kBulkShare = 0.75;
/// A new flow is rejected when the link would need more than the client timeout divided by this for
/// all open flows. The margin covers flows that are larger than average. The latency objective as
/// the bound would also reject uploads that can still finish before the timeout, on slow links all
/// but one, and their clients have no other way.
constexpr int kTimeoutDivisor = 2;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

double BulkAdmission::expected_remaining_bytes(const OpenFlow& flow) const {
  return std::max(average_flow_size_ - flow.received_bytes, kMinRemainingBytes);
}

Duration BulkAdmission::transmission_time(double additional_bytes) const {
  if (!link_.is_rate_known()) {
    return Duration::zero();
  }
  double bytes = additional_bytes;
  for (const auto& [key, flow] : flows_) {
    bytes += expected_remaining_bytes(flow);
  }
  const double seconds = bytes / (link_.rate() * kBulkShare);
  return Duration(static_cast<Duration::rep>(seconds * kMicrosecondsPerSecond));
}

bool BulkAdmission::try_admit(const SteeredFlow& flow, Duration timeout, Instant now) {
  if (!link_.is_rate_known() || flows_.contains(flow)) {
    return true;
  }
  const bool misses_timeout =
      !flows_.empty() && transmission_time(average_flow_size_) > timeout / kTimeoutDivisor;
  if (misses_timeout || flows_.size() >= kMaxFlows) {
    ++rejected_;
    return false;
  }
  ++admitted_;
  flows_[flow] = {0, now};
  return true;
}

void BulkAdmission::on_data(const SteeredFlow& flow, std::size_t bytes, Instant now) {
  const auto found = flows_.find(flow);
  if (found != flows_.end()) {
    found->second.received_bytes += static_cast<double>(bytes);
    found->second.last_data_at = now;
  }
}

void BulkAdmission::on_flow_end(const SteeredFlow& flow, bool is_complete) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    return;
  }
  if (is_complete && found->second.received_bytes > 0) {
    average_flow_size_ += kAverageWeight * (found->second.received_bytes - average_flow_size_);
  }
  flows_.erase(found);
}

void BulkAdmission::on_tick(Instant now) {
  absl::erase_if(
      flows_, [&](const auto& entry) { return now - entry.second.last_data_at >= kIdleTimeout; });
}

}  // namespace gorsevalve
