#include "core/steering/target_reachability.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Probes that must come to nothing before silence counts: where one packet in ten is lost on the
/// way there and on the way back, a target that lives leaves three unanswered once in 146 times.
constexpr std::uint32_t kProbes = 3;
/// The references are probed with this one, so that the time in which the target says nothing is
/// known to be one in which this balancer could hear.
constexpr std::uint32_t kReferenceProbe = 2;
/// Refusals that count: one may come from a target that is just starting to listen.
constexpr std::uint32_t kRefusals = 2;
/// A case with refusals waits for this long after its last probe for a flow that gets nothing back:
/// a caller's copies at 0.2, 0.6, 1.4 and 3.0 s are 1.6 s apart at most.
constexpr Duration kRefusedWait = milliseconds(1700);
/// The last probe is waited for at least this long, and for this multiple of the time that the
/// reference took.
constexpr Duration kAnswerTime = milliseconds(60);
constexpr int kAnswerTimes = 4;
/// Without an answer of a reference in this time, the suspicion is dropped undecided.
constexpr Duration kUndecidedAfter = milliseconds(400);
/// A suspicion whose probes met congestion is dropped undecided after this time, so that its place
/// is free for others: while the link stays busy, a caller's next copy, at 0.6, 1.4 or 3 s, renews
/// it.
constexpr Duration kLongestCase = seconds(1);
/// A target that answered is not suspected again for this long: callers repeat data at targets with
/// a long queue, too, and each probe costs the target something.
constexpr Duration kClearedFor = seconds(1);
/// The same after a suspicion that could not be decided.
constexpr Duration kUndecidedFor = milliseconds(200);
/// Pause between two looks whether an unreachable target is back.
constexpr Duration kProbeAgainAfter = seconds(1);
/// Such looks in a row that must find something before the target counts as back. Another target
/// may listen at the address already and announce itself a little later.
constexpr std::uint32_t kAcceptedForReturn = 3;
/// Answers that come later than this tell nothing.
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
  const bool is_known = cases_.contains(target) || unreachable_.contains(target);
  if (is_known || cases_.size() >= kMaxCases) {
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
  Case& suspected = cases_[target];
  suspected.references = references;
  suspected.since = now;
  suspected.probing_since = now;
  suspected.met_congestion = is_link_congested_;
}

void TargetReachability::on_silent_flow(TargetId target, Instant sent_at) {
  const auto found = cases_.find(target);
  if (found == cases_.end() || !found->second.refused_at) {
    return;
  }
  // The probe goes with the next step, and timers fire late.
  const bool was_open = *found->second.refused_at <= sent_at + 2 * kStepInterval;
  found->second.has_silent_flow = found->second.has_silent_flow || was_open;
}

void TargetReachability::set_link_congested(bool is_congested, Instant now) {
  is_link_congested_ = is_congested && !faults_.ignore_congestion;
  for (auto& [target, suspected] : cases_) {
    if (is_link_congested_) {
      suspected.met_congestion = true;
    } else if (suspected.met_congestion) {
      begin_again(suspected, now);
    }
  }
}

void TargetReachability::begin_again(Case& suspected, Instant now) {
  suspected.probing_since = now;
  suspected.probes = 0;
  suspected.reference_took.reset();
  suspected.met_congestion = false;
}

void TargetReachability::on_progress(TargetId target, Instant now) {
  // In the usual case there is nothing to look up: this is on the packet path.
  const bool is_calm = cases_.empty() && unreachable_.empty() && replaced_.empty();
  if (is_calm) {
    return;
  }
  const bool was_doubted = cases_.contains(target) || is_unreachable(target);
  if (replaced_.erase(target) > 0 || was_doubted) {
    clear(target, now);
  }
}

void TargetReachability::clear(TargetId target, Instant now) {
  cases_.erase(target);
  if (unreachable_.erase(target) > 0) {
    restored_.push_back(target);
  }
  cleared_until_[target] = now + kClearedFor;
}

std::vector<TargetId> TargetReachability::take_restored() {
  std::sort(restored_.begin(), restored_.end());
  return std::exchange(restored_, {});
}

void TargetReachability::forget(TargetId target) {
  cases_.erase(target);
  unreachable_.erase(target);
  replaced_.erase(target);
  cleared_until_.erase(target);
}

void TargetReachability::send(TargetId target, TargetId reference_for, Instant now,
                              std::vector<ProbeRequest>& out) {
  const std::uint64_t number = ++last_probe_;
  sent_[number] = {target, reference_for, now};
  out.push_back({number, target});
}

void TargetReachability::probe_cases(Instant now, std::vector<ProbeRequest>& out) {
  for (auto& [target, suspected] : cases_) {
    const bool is_due = now - suspected.probed_at >= kStepInterval;
    if (!is_due || suspected.probes >= kProbes) {
      continue;
    }
    ++suspected.probes;
    suspected.probed_at = now;
    send(target, 0, now, out);
    if (suspected.probes != kReferenceProbe) {
      continue;
    }
    for (const TargetId reference : suspected.references) {
      send(reference, target, now, out);
    }
  }
}

void TargetReachability::probe_unreachable(Instant now, std::vector<ProbeRequest>& out) {
  for (auto& [target, unreachable] : unreachable_) {
    if (now >= unreachable.probe_next_at && !replaced_.contains(target)) {
      unreachable.probe_next_at = now + kProbeAgainAfter;
      send(target, 0, now, out);
    }
  }
}

void TargetReachability::drop_expired(Instant now) {
  absl::erase_if(sent_, [&](const auto& one) { return now - one.second.at > kProbeLifetime; });
  absl::erase_if(cleared_until_, [&](const auto& one) { return now >= one.second; });
}

std::vector<ProbeRequest> TargetReachability::take_probes(Instant now) {
  std::vector<ProbeRequest> probes;
  drop_expired(now);
  probe_cases(now, probes);
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
    // A refusal shows as well that this balancer can hear.
    on_reference_answer(sent, now);
    return;
  }
  on_target_answer(sent, answer, now);
}

void TargetReachability::leave_undecided(TargetId target, Instant now) {
  cases_.erase(target);
  cleared_until_[target] = now + kUndecidedFor;
}

void TargetReachability::on_not_sent(std::uint64_t probe, Instant now) {
  const auto found = sent_.find(probe);
  if (found == sent_.end()) {
    return;
  }
  const SentProbe sent = found->second;
  sent_.erase(found);
  if (sent.reference_for == 0 && cases_.contains(sent.target)) {
    leave_undecided(sent.target, now);
  }
}

void TargetReachability::on_reference_answer(const SentProbe& probe, Instant now) {
  const auto found = cases_.find(probe.reference_for);
  // What was probed before the link was free says nothing of the time that counts.
  const bool counts = found != cases_.end() && probe.at >= found->second.probing_since;
  if (counts && !found->second.reference_took) {
    found->second.reference_took = now - probe.at;
  }
}

void TargetReachability::on_target_answer(const SentProbe& probe, ProbeAnswer answer, Instant now) {
  const TargetId target = probe.target;
  const auto suspected = cases_.find(target);
  const auto unreachable = unreachable_.find(target);
  if (answer == ProbeAnswer::kRefused) {
    if (suspected != cases_.end()) {
      Case& found = suspected->second;
      ++found.refusals;
      found.refused_at = std::min(found.refused_at.value_or(probe.at), probe.at);
    }
    if (unreachable != unreachable_.end()) {
      unreachable->second.accepted = 0;
    }
    return;
  }
  if (replaced_.contains(target)) {
    return;
  }
  const bool is_back =
      unreachable == unreachable_.end() || ++unreachable->second.accepted >= kAcceptedForReturn;
  if (is_back) {
    clear(target, now);
  }
}

std::optional<UnreachableReason> TargetReachability::verdict(TargetId target, const Case& suspected,
                                                             Instant now) const {
  if (faults_.trust_suspicions) {
    return UnreachableReason::kSilent;
  }
  if (replaced_.contains(target)) {
    return UnreachableReason::kReplaced;
  }
  if (!suspected.reference_took && !faults_.ignore_references) {
    return std::nullopt;
  }
  const bool refusals_count = suspected.has_silent_flow || faults_.trust_refusals;
  if (suspected.refusals >= kRefusals && refusals_count) {
    return UnreachableReason::kRefused;
  }
  if (suspected.refusals > 0) {
    // Something answers there: this is no silence.
    return std::nullopt;
  }
  if (suspected.probes < kProbes || suspected.met_congestion) {
    return std::nullopt;
  }
  const Duration reference_took = suspected.reference_took.value_or(Duration::zero());
  const Duration allowed = std::max(kAnswerTime, reference_took * kAnswerTimes);
  const bool is_silent = now - suspected.probed_at >= allowed;
  return is_silent ? std::optional(UnreachableReason::kSilent) : std::nullopt;
}

bool TargetReachability::is_undecided(const Case& suspected, Instant now) {
  if (suspected.met_congestion) {
    return now - suspected.since > kLongestCase;
  }
  const Duration wait = suspected.refusals > 0 ? kRefusedWait : kUndecidedAfter;
  return suspected.probes >= kProbes && now - suspected.probed_at > wait;
}

std::vector<UnreachableTarget> TargetReachability::conclude(Instant now) {
  std::vector<UnreachableTarget> concluded;
  std::vector<TargetId> undecided;
  for (const auto& [target, suspected] : cases_) {
    const auto reason = verdict(target, suspected, now);
    if (reason) {
      concluded.push_back({target, *reason, now - suspected.since, suspected.probes});
    } else if (is_undecided(suspected, now)) {
      undecided.push_back(target);
    }
  }
  for (const auto& one : concluded) {
    cases_.erase(one.target);
    unreachable_[one.target] = {now + kProbeAgainAfter, 0};
  }
  for (const TargetId target : undecided) {
    leave_undecided(target, now);
  }
  return concluded;
}

}  // namespace gorsevalve
