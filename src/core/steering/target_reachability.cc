#include "core/steering/target_reachability.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Probes that must time out before silence counts. With 10% packet loss in each direction, a live
/// target misses all three once in 146 times.
constexpr std::uint32_t kRequiredProbes = 3;
/// Reference targets are probed together with this probe, the middle one, to show that this
/// balancer received answers while the target was silent.
constexpr std::uint32_t kReferenceProbeNumber = 2;
/// Refusals that are required: a single one may come from a target that is just starting to listen.
constexpr std::uint32_t kRequiredRefusals = 2;
/// After its last probe, a suspicion with refusals waits this long for an unacknowledged flow:
/// client retransmissions at 0.2, 0.6, 1.4 and 3.0 s are at most 1.6 s apart.
constexpr Duration kRefusedWait = milliseconds(1700);
/// Timeout of the last probe: at least this time, and at least this multiple of the reference
/// round-trip time.
constexpr Duration kMinAnswerTimeout = milliseconds(60);
constexpr int kAnswerTimeoutFactor = 4;
/// Without an answer from a reference target within this time, the suspicion is dropped as
/// inconclusive.
constexpr Duration kInconclusiveTimeout = milliseconds(400);
/// A suspicion that saw congestion is dropped as inconclusive after this time, to make room for
/// others. While the link stays congested, the next client retransmission, at 0.6, 1.4 or 3 s,
/// renews it.
constexpr Duration kMaxSuspicionTime = seconds(1);
/// A target that answered is not suspected again for this time: clients also retransmit to targets
/// with long queues, and each probe costs the target resources.
constexpr Duration kReachableCooldown = seconds(1);
/// The same after an inconclusive suspicion.
constexpr Duration kInconclusiveCooldown = milliseconds(200);
/// Interval between probes that check whether an unreachable target has recovered.
constexpr Duration kProbeInterval = seconds(1);
/// Consecutive accepted probes before an unreachable target counts as recovered: another target may
/// already listen at the address and announce itself slightly later.
constexpr std::uint32_t kRequiredAccepts = 3;
/// Answers that arrive later than this are ignored.
constexpr Duration kProbeLifetime = seconds(1);

}  // namespace

std::string_view to_string(UnreachableReason reason) {
  switch (reason) {
    case UnreachableReason::kSilent:
      return "silent";
    case UnreachableReason::kRefused:
      return "refused";
    case UnreachableReason::kReplaced:
      return "replaced";
  }
  return "unknown";
}

bool TargetReachability::may_suspect(TargetId target, Instant now) const {
  const bool is_known = suspicions_.contains(target) || unreachable_.contains(target);
  if (is_known || suspicions_.size() >= kMaxSuspicions) {
    return false;
  }
  const auto cleared = cleared_until_.find(target);
  return cleared == cleared_until_.end() || now >= cleared->second;
}

void TargetReachability::suspect(TargetId target, const std::vector<TargetId>& references,
                                 Instant now) {
  if (!may_suspect(target, now)) {
    return;
  }
  Suspicion& suspected = suspicions_[target];
  suspected.references = references;
  suspected.since = now;
  suspected.probing_since = now;
  suspected.saw_congestion = is_link_congested_;
}

void TargetReachability::on_unacknowledged_flow(TargetId target, Instant sent_at) {
  const auto found = suspicions_.find(target);
  if (found == suspicions_.end() || !found->second.refused_at) {
    return;
  }
  // The probe is sent at the next step, and timers may fire late.
  const bool was_path_open = *found->second.refused_at <= sent_at + 2 * kStepInterval;
  found->second.has_unacknowledged_flow = found->second.has_unacknowledged_flow || was_path_open;
}

void TargetReachability::set_link_congested(bool is_congested, Instant now) {
  is_link_congested_ = is_congested && !faults_.ignore_congestion;
  for (auto& [target, suspected] : suspicions_) {
    if (is_link_congested_) {
      suspected.saw_congestion = true;
    } else if (suspected.saw_congestion) {
      restart(suspected, now);
    }
  }
}

void TargetReachability::restart(Suspicion& suspected, Instant now) {
  suspected.probing_since = now;
  suspected.probes = 0;
  suspected.reference_rtt.reset();
  suspected.saw_congestion = false;
}

void TargetReachability::on_progress(TargetId target, Instant now) {
  // Fast path: this runs for client packets, and usually nothing is suspected.
  const bool is_idle = suspicions_.empty() && unreachable_.empty();
  if (!is_idle && (suspicions_.contains(target) || is_unreachable(target))) {
    clear(target, now);
  }
}

void TargetReachability::on_replaced(TargetId target, Instant now) {
  if (is_unreachable(target)) {
    unreachable_.at(target).is_replaced = true;
    return;
  }
  UnreachableTarget detected{target, UnreachableReason::kReplaced};
  if (const auto suspected = suspicions_.find(target); suspected != suspicions_.end()) {
    detected.detection_time = now - suspected->second.since;
    detected.probes = suspected->second.probes;
    suspicions_.erase(suspected);
  }
  unreachable_[target] = {now, 0, true};
  detected_.push_back(detected);
}

void TargetReachability::clear(TargetId target, Instant now) {
  suspicions_.erase(target);
  std::erase_if(detected_, [&](const UnreachableTarget& one) { return one.target == target; });
  if (unreachable_.erase(target) > 0) {
    restored_.push_back(target);
  }
  cleared_until_[target] = now + kReachableCooldown;
}

std::vector<TargetId> TargetReachability::take_restored() {
  std::sort(restored_.begin(), restored_.end());
  return std::exchange(restored_, {});
}

void TargetReachability::remove(TargetId target) {
  suspicions_.erase(target);
  unreachable_.erase(target);
  std::erase_if(detected_, [&](const UnreachableTarget& one) { return one.target == target; });
  cleared_until_.erase(target);
}

void TargetReachability::send(TargetId target, TargetId reference_for, Instant now,
                              std::vector<ProbeRequest>& out) {
  const std::uint64_t number = ++last_probe_;
  sent_[number] = {target, reference_for, now};
  out.push_back({number, target});
}

void TargetReachability::probe_suspicions(Instant now, std::vector<ProbeRequest>& out) {
  for (auto& [target, suspected] : suspicions_) {
    const bool is_probe_due = now - suspected.probed_at >= kStepInterval;
    if (!is_probe_due || suspected.probes >= kRequiredProbes) {
      continue;
    }
    ++suspected.probes;
    suspected.probed_at = now;
    send(target, 0, now, out);
    if (suspected.probes != kReferenceProbeNumber) {
      continue;
    }
    for (const TargetId reference : suspected.references) {
      send(reference, target, now, out);
    }
  }
}

void TargetReachability::probe_unreachable(Instant now, std::vector<ProbeRequest>& out) {
  for (auto& [target, unreachable] : unreachable_) {
    if (now >= unreachable.probe_next_at && !unreachable.is_replaced) {
      unreachable.probe_next_at = now + kProbeInterval;
      send(target, 0, now, out);
    }
  }
}

void TargetReachability::remove_expired(Instant now) {
  absl::erase_if(sent_, [&](const auto& one) { return now - one.second.at > kProbeLifetime; });
  absl::erase_if(cleared_until_, [&](const auto& one) { return now >= one.second; });
}

std::vector<ProbeRequest> TargetReachability::take_probes(Instant now) {
  std::vector<ProbeRequest> probes;
  remove_expired(now);
  probe_suspicions(now, probes);
  probe_unreachable(now, probes);
  return probes;
}

void TargetReachability::on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now) {
  const auto found = sent_.find(probe);
  if (found == sent_.end() || now - found->second.at > kProbeLifetime) {
    return;
  }
  const SentProbe sent = found->second;
  sent_.erase(found);
  if (sent.reference_for != 0) {
    // A refusal by a reference target also shows that this balancer receives answers.
    on_reference_answer(sent, now);
    return;
  }
  on_target_answer(sent, answer, now);
}

TargetId TargetReachability::probed_target(std::uint64_t probe) const {
  const auto found = sent_.find(probe);
  return found == sent_.end() ? 0 : found->second.target;
}

void TargetReachability::drop_inconclusive(TargetId target, Instant now) {
  suspicions_.erase(target);
  cleared_until_[target] = now + kInconclusiveCooldown;
}

void TargetReachability::on_not_sent(std::uint64_t probe, Instant now) {
  const auto found = sent_.find(probe);
  if (found == sent_.end()) {
    return;
  }
  const SentProbe sent = found->second;
  sent_.erase(found);
  if (sent.reference_for == 0 && suspicions_.contains(sent.target)) {
    drop_inconclusive(sent.target, now);
  }
}

void TargetReachability::on_reference_answer(const SentProbe& probe, Instant now) {
  const auto found = suspicions_.find(probe.reference_for);
  // Reference probes sent during congestion do not cover the time that counts.
  const bool counts = found != suspicions_.end() && probe.at >= found->second.probing_since;
  if (counts && !found->second.reference_rtt) {
    found->second.reference_rtt = now - probe.at;
  }
}

void TargetReachability::on_target_answer(const SentProbe& probe, ProbeAnswer answer, Instant now) {
  const TargetId target = probe.target;
  const auto suspected = suspicions_.find(target);
  const auto unreachable = unreachable_.find(target);
  if (answer == ProbeAnswer::kRefused) {
    if (suspected != suspicions_.end()) {
      Suspicion& found = suspected->second;
      ++found.refusals;
      found.refused_at = std::min(found.refused_at.value_or(probe.at), probe.at);
    }
    if (unreachable != unreachable_.end()) {
      unreachable->second.accepted = 0;
    }
    return;
  }
  if (unreachable != unreachable_.end()) {
    ++unreachable->second.accepted;
    const bool is_back =
        answer == ProbeAnswer::kAccepted && unreachable->second.accepted >= kRequiredAccepts;
    if (!is_back) {
      return;
    }
  }
  clear(target, now);
}

std::optional<UnreachableReason> TargetReachability::evaluate(const Suspicion& suspected,
                                                              Instant now) const {
  if (faults_.trust_suspicions) {
    return UnreachableReason::kSilent;
  }
  if (!suspected.reference_rtt && !faults_.ignore_references) {
    return std::nullopt;
  }
  const bool refusals_count = suspected.has_unacknowledged_flow || faults_.trust_refusals;
  if (suspected.refusals >= kRequiredRefusals && refusals_count) {
    return UnreachableReason::kRefused;
  }
  if (suspected.refusals > 0) {
    // The host answers, so the target is not silent.
    return std::nullopt;
  }
  if (suspected.probes < kRequiredProbes || suspected.saw_congestion) {
    return std::nullopt;
  }
  const Duration reference_took = suspected.reference_rtt.value_or(Duration::zero());
  const Duration allowed = std::max(kMinAnswerTimeout, reference_took * kAnswerTimeoutFactor);
  const bool is_silent = now - suspected.probed_at >= allowed;
  return is_silent ? std::optional(UnreachableReason::kSilent) : std::nullopt;
}

bool TargetReachability::is_inconclusive(const Suspicion& suspected, Instant now) {
  if (suspected.saw_congestion) {
    return now - suspected.since > kMaxSuspicionTime;
  }
  const Duration wait = suspected.refusals > 0 ? kRefusedWait : kInconclusiveTimeout;
  return suspected.probes >= kRequiredProbes && now - suspected.probed_at > wait;
}

std::vector<UnreachableTarget> TargetReachability::detect_unreachable(Instant now) {
  std::vector<UnreachableTarget> detected;
  std::vector<TargetId> inconclusive;
  for (const auto& [target, suspected] : suspicions_) {
    const auto reason = evaluate(suspected, now);
    if (reason) {
      detected.push_back({target, *reason, now - suspected.since, suspected.probes});
    } else if (is_inconclusive(suspected, now)) {
      inconclusive.push_back(target);
    }
  }
  for (const auto& one : detected) {
    suspicions_.erase(one.target);
    unreachable_[one.target] = {now + kProbeInterval, 0, false};
  }
  for (const TargetId target : inconclusive) {
    drop_inconclusive(target, now);
  }
  detected.insert(detected.end(), detected_.begin(), detected_.end());
  detected_.clear();
  return detected;
}

}  // namespace gorsevalve
