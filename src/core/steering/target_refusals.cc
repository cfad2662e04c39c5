#include "core/steering/target_refusals.h"

#include <utility>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval until a refusing target is probed again: shorter than `kRefusalLifetime`, so that an
/// ended target is avoided without a gap.
constexpr Duration kProbeInterval = milliseconds(250);
/// Consecutive refusals after which probing stops; a longer outage is covered by the reported
/// target health.
constexpr std::uint32_t kMaxRefusals = 3;
/// A probe without an answer for this time proves nothing: target_reachability handles silent
/// targets.
constexpr Duration kAnswerTimeout = milliseconds(200);
/// A target that accepted a probe is not probed again for this time, even if its handshakes are
/// slow.
constexpr Duration kAcceptedCooldown = seconds(1);

}  // namespace

void TargetRefusals::on_overdue(TargetId target, Instant now) {
  const auto cleared = cleared_until_.find(target);
  const bool is_cleared = cleared != cleared_until_.end() && now < cleared->second;
  if (is_cleared || is_refusing(target, now) || probed_targets_.size() >= kMaxProbedTargets) {
    return;
  }
  probed_targets_.try_emplace(target, ProbedTarget{0, now, 0});
}

void TargetRefusals::on_remote_refusal(TargetId target, Instant now) { mark_refusing(target, now); }

void TargetRefusals::mark_refusing(TargetId target, Instant now) {
  const auto [found, is_new] = refusing_.try_emplace(target, Refusing{now, now});
  found->second.until = now + kRefusalLifetime;
}

void TargetRefusals::on_established(TargetId target, Instant sent_at) {
  if (refusing_.empty()) {
    return;
  }
  const auto found = refusing_.find(target);
  if (found != refusing_.end() && sent_at > found->second.since) {
    refusing_.erase(found);
  }
}

void TargetRefusals::remove(TargetId target) {
  probed_targets_.erase(target);
  refusing_.erase(target);
  cleared_until_.erase(target);
}

bool TargetRefusals::is_over(const ProbedTarget& probed, Instant now) {
  const bool is_unanswered = probed.probe != 0 && now - probed.probe_at > kAnswerTimeout;
  return is_unanswered || probed.refusals >= kMaxRefusals;
}

std::vector<ProbeRequest> TargetRefusals::take_probes(Instant now) {
  std::vector<ProbeRequest> probes;
  if (probed_targets_.empty() && refusing_.empty() && cleared_until_.empty()) {
    return probes;
  }
  std::erase_if(probed_targets_, [&](const auto& one) { return is_over(one.second, now); });
  absl::erase_if(sent_, [&](const auto& one) { return !probed_targets_.contains(one.second); });
  absl::erase_if(refusing_, [&](const auto& one) { return now >= one.second.until; });
  absl::erase_if(cleared_until_, [&](const auto& one) { return now >= one.second; });
  for (auto& [target, probed] : probed_targets_) {
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
  const auto found = probed_targets_.find(target);
  if (found == probed_targets_.end() || found->second.probe != probe) {
    return;
  }
  if (answer == ProbeAnswer::kAccepted) {
    probed_targets_.erase(found);
    refusing_.erase(target);
    cleared_until_[target] = now + kAcceptedCooldown;
    return;
  }
  ProbedTarget& probed = found->second;
  probed.probe = 0;
  probed.probe_at = now + kProbeInterval;
  ++probed.refusals;
  mark_refusing(target, now);
  refused_.push_back(target);
}

void TargetRefusals::on_not_sent(std::uint64_t probe) {
  const auto sent = sent_.find(probe);
  if (sent != sent_.end()) {
    probed_targets_.erase(sent->second);
    sent_.erase(sent);
  }
}

std::vector<TargetId> TargetRefusals::take_refused() { return std::exchange(refused_, {}); }

bool TargetRefusals::is_marked_refusing(TargetId target, Instant now) const {
  const auto found = refusing_.find(target);
  return found != refusing_.end() && now < found->second.until;
}

}  // namespace gorsevalve
