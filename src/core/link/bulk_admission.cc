#include "core/link/bulk_admission.h"

#include <algorithm>

namespace gorsevalve {
namespace {

/// A flow that brought nothing for this long is not counted any more: senders repeat each 1.6 s at
/// the latest.
constexpr Duration kSilentAfter = std::chrono::seconds(2);
/// A flow that has brought what is usual may bring this much more, in octets: a window.
constexpr double kLeastLeft = 16 * 1200;
/// Share of a new size in the usual one.
constexpr double kSmoothing = 0.05;
/// Part of the link that bulk flows may count on; the rest is for short requests, which are never
/// refused.
constexpr double kBulkShare = 0.75;
/// Copies that callers send of an opening.
constexpr std::uint32_t kLastCopy = 2;
/// A caller's last copy comes 600 ms after its first; timers are late at times.
constexpr Duration kKnocksFor = std::chrono::milliseconds(700);
/// What is open may take one part of this many of the latency objective. Refusing at once at 1.4
/// times what a link bears, 49 % of uploads are in time with one half; 25 % with the whole, since
/// all share and all are late; 46 % with a third, and the link idles. At half of what it bears that
/// refuses 3 % for good; with knocking, 40 % are in time and 17 % late, and nobody is refused at
/// half (tests/sim/test_link_workload).
constexpr int kObjectiveParts = 2;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

double BulkAdmission::left_of(const OpenFlow& flow) const {
  return std::max(usual_size_ - flow.passed, kLeastLeft);
}

Duration BulkAdmission::time_for(double more) const {
  if (!link_.is_known()) {
    return Duration::zero();
  }
  double octets = more;
  for (const auto& [key, flow] : flows_) {
    octets += left_of(flow);
  }
  const double seconds = octets / (link_.rate() * kBulkShare);
  return Duration(static_cast<Duration::rep>(seconds * kMicrosecondsPerSecond));
}

void BulkAdmission::admit(const SteeredFlow& flow, Instant now) {
  ++admitted_;
  waiting_.erase(flow);
  flows_[flow] = {0, now};
}

bool BulkAdmission::may_wait(const SteeredFlow& flow, std::uint32_t copies_before,
                             Duration latency_objective, Instant now) {
  if (copies_before >= kLastCopy || waiting_.size() >= kMaxFlows) {
    return false;
  }
  absl::erase_if(waiting_, [&](const auto& one) { return now - one.second > kKnocksFor; });
  const double ahead = static_cast<double>(waiting_.size());
  if (!waiting_.contains(flow) && time_for(usual_size_ * (ahead + 1)) > latency_objective) {
    return false;
  }
  waiting_.try_emplace(flow, now);
  return true;
}

AdmissionVerdict BulkAdmission::judge(const SteeredFlow& flow, std::uint32_t copies_before,
                                      Duration latency_objective, Instant now) {
  if (!link_.is_known() || flows_.contains(flow)) {
    return AdmissionVerdict::kAdmitted;
  }
  const bool has_room =
      flows_.empty() || time_for(usual_size_) <= latency_objective / kObjectiveParts;
  if (has_room && flows_.size() < kMaxFlows) {
    admit(flow, now);
    return AdmissionVerdict::kAdmitted;
  }
  if (may_wait(flow, copies_before, latency_objective, now)) {
    ++kept_waiting_;
    return AdmissionVerdict::kWaits;
  }
  waiting_.erase(flow);
  ++refused_;
  return AdmissionVerdict::kRefused;
}

void BulkAdmission::on_data(const SteeredFlow& flow, std::size_t octets, Instant now) {
  const auto found = flows_.find(flow);
  if (found != flows_.end()) {
    found->second.passed += static_cast<double>(octets);
    found->second.last_data = now;
  }
}

void BulkAdmission::on_end(const SteeredFlow& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    return;
  }
  // A flow that never opened says nothing of sizes.
  if (found->second.passed > 0) {
    usual_size_ += kSmoothing * (found->second.passed - usual_size_);
  }
  flows_.erase(found);
}

void BulkAdmission::on_tick(Instant now) {
  absl::erase_if(flows_,
                 [&](const auto& one) { return now - one.second.last_data >= kSilentAfter; });
}

}  // namespace gorsevalve
