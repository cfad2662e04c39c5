#include "core/steering/target_refusals.h"

#include <utility>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pause before a target that refused is probed again: shorter than what a refusal counts for, so
/// that a target that has ended is avoided all the time.
constexpr Duration kProbeAgainAfter = milliseconds(250);
/// Refusals in a row that a balancer finds out by itself; what lasts longer is told by the figures.
constexpr std::uint32_t kRefusals = 3;
/// A probe without an answer for this long tells nothing: silence is judged elsewhere
/// (target_reachability).
constexpr Duration kAnswerTime = milliseconds(200);
/// A target that took a probe is not probed again for this long, however slow its openings are.
constexpr Duration kClearedFor = seconds(1);

}  // namespace

void TargetRefusals::on_overdue(TargetId target, Instant now) {
  const auto cleared = cleared_until_.find(target);
  const bool is_cleared = cleared != cleared_until_.end() && now < cleared->second;
  if (is_cleared || is_refusing(target, now) || cases_.size() >= kMaxCases) {
    return;
  }
  cases_.try_emplace(target, Case{0, now, 0});
}

void TargetRefusals::on_told(TargetId target, Instant now) { hold(target, now); }

void TargetRefusals::hold(TargetId target, Instant now) {
  const auto [found, is_new] = refusing_.try_emplace(target, Refusing{now, now});
  found->second.until = now + kHeldFor;
}

void TargetRefusals::on_opened(TargetId target, Instant sent_at) {
  if (refusing_.empty()) {
    return;
  }
  const auto found = refusing_.find(target);
  if (found != refusing_.end() && sent_at > found->second.since) {
    refusing_.erase(found);
  }
}

void TargetRefusals::forget(TargetId target) {
  cases_.erase(target);
  refusing_.erase(target);
  cleared_until_.erase(target);
}

bool TargetRefusals::is_over(const Case& probed, Instant now) {
  const bool is_unanswered = probed.probe != 0 && now - probed.probe_at > kAnswerTime;
  return is_unanswered || probed.refusals >= kRefusals;
}

std::vector<ProbeRequest> TargetRefusals::take_probes(Instant now) {
  std::vector<ProbeRequest> probes;
  if (cases_.empty() && refusing_.empty() && cleared_until_.empty()) {
    return probes;
  }
  std::erase_if(cases_, [&](const auto& one) { return is_over(one.second, now); });
  absl::erase_if(sent_, [&](const auto& one) { return !cases_.contains(one.second); });
  absl::erase_if(refusing_, [&](const auto& one) { return now >= one.second.until; });
  absl::erase_if(cleared_until_, [&](const auto& one) { return now >= one.second; });
  for (auto& [target, probed] : cases_) {
    if (probed.probe == 0 && now >= probed.probe_at) {
      probed.probe = ++last_probe_;
      probed.probe_at = now;
      sent_[probed.probe] = target;
      probes.push_back({probed.probe, target});
    }
  }
  return probes;
}

void TargetRefusals::on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now) {
  const auto sent = sent_.find(probe);
  if (sent == sent_.end()) {
    return;
  }
  const TargetId target = sent->second;
  sent_.erase(sent);
  const auto found = cases_.find(target);
  if (found == cases_.end() || found->second.probe != probe) {
    return;
  }
  if (answer == ProbeAnswer::kAccepted) {
    cases_.erase(found);
    refusing_.erase(target);
    cleared_until_[target] = now + kClearedFor;
    return;
  }
  Case& probed = found->second;
  probed.probe = 0;
  probed.probe_at = now + kProbeAgainAfter;
  ++probed.refusals;
  hold(target, now);
  refused_.push_back(target);
}

void TargetRefusals::on_not_sent(std::uint64_t probe) {
  const auto sent = sent_.find(probe);
  if (sent != sent_.end()) {
    cases_.erase(sent->second);
    sent_.erase(sent);
  }
}

std::vector<TargetId> TargetRefusals::take_refused() { return std::exchange(refused_, {}); }

bool TargetRefusals::is_held(TargetId target, Instant now) const {
  const auto found = refusing_.find(target);
  return found != refusing_.end() && now < found->second.until;
}

}  // namespace gorsevalve
