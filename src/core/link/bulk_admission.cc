#include "core/link/bulk_admission.h"

#include <algorithm>

namespace gorsevalve {
namespace {

/// A flow that brought nothing for this long is not counted any more: senders repeat each 1.6 s at
/// the latest.
constexpr Duration kIdleTimeout = std::chrono::seconds(2);
/// A flow that has brought what is usual may bring this much more, in octets: a window.
constexpr double kMinRemainingBytes = 16 * 1200;
/// Share of a new size in the usual one.
constexpr double kAverageWeight = 0.05;
/// Part of the link that bulk flows may count on; the rest is for short requests, which are never
/// refused.
constexpr double kBulkShare = 0.75;
/// What is open may take one part of this many of the time for which callers wait: sizes differ, so
/// what takes a time on average takes twice that for many. A bound by the latency objective would
/// serve more in time, but refuse uploads that would land, and on slow links all but one; their
/// callers have no other way.
constexpr int kTimeoutDivisor = 2;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

double BulkAdmission::expected_remaining_bytes(const OpenFlow& flow) const {
  return std::max(average_flow_size_ - flow.received_bytes, kMinRemainingBytes);
}

Duration BulkAdmission::transmission_time(double more) const {
  if (!link_.is_rate_known()) {
    return Duration::zero();
  }
  double octets = more;
  for (const auto& [key, flow] : flows_) {
    octets += expected_remaining_bytes(flow);
  }
  const double seconds = octets / (link_.rate() * kBulkShare);
  return Duration(static_cast<Duration::rep>(seconds * kMicrosecondsPerSecond));
}

bool BulkAdmission::try_admit(const SteeredFlow& flow, Duration timeout, Instant now) {
  if (!link_.is_rate_known() || flows_.contains(flow)) {
    return true;
  }
  const bool ends_in_vain =
      !flows_.empty() && transmission_time(average_flow_size_) > timeout / kTimeoutDivisor;
  if (ends_in_vain || flows_.size() >= kMaxFlows) {
    ++rejected_;
    return false;
  }
  ++admitted_;
  flows_[flow] = {0, now};
  return true;
}

void BulkAdmission::on_data(const SteeredFlow& flow, std::size_t octets, Instant now) {
  const auto found = flows_.find(flow);
  if (found != flows_.end()) {
    found->second.received_bytes += static_cast<double>(octets);
    found->second.last_data_at = now;
  }
}

void BulkAdmission::on_flow_end(const SteeredFlow& flow, bool is_whole) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    return;
  }
  if (is_whole && found->second.received_bytes > 0) {
    average_flow_size_ += kAverageWeight * (found->second.received_bytes - average_flow_size_);
  }
  flows_.erase(found);
}

void BulkAdmission::on_tick(Instant now) {
  absl::erase_if(flows_,
                 [&](const auto& one) { return now - one.second.last_data_at >= kIdleTimeout; });
}

}  // namespace gorsevalve
