#include "core/steering/zone_paths.h"

#include <algorithm>
#include <utility>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Backoff after a check that was answered; doubled each time, since zones with long queues are
/// suspected often. It delays the detection of a cut by at most the maximum.
constexpr Duration kInitialCheckBackoff = milliseconds(250);
constexpr Duration kMaxCheckBackoff = seconds(1);
/// Backoff after an inconclusive check; doubled each time, since probes would add to the congestion
/// that loses packets. It starts at half of the retransmission timeout of clients.
constexpr Duration kInitialInconclusiveBackoff = milliseconds(100);
constexpr Duration kMaxInconclusiveBackoff = seconds(4);
/// After this time without a check, the backoff is reset.
constexpr Duration kBackoffResetTime = seconds(8);
/// Interval of the recovery rounds, and targets probed in each.
constexpr Duration kRecoveryProbeInterval = milliseconds(200);
constexpr std::size_t kRecoveryProbes = 3;
/// Different targets that must answer in two consecutive rounds for a recovery.
constexpr std::size_t kRecoveryResponders = 3;
/// Alternatively, consecutive rounds with any answer (0.8 s): the other targets may be gone, and
/// flows at the remaining ones are reset as long as the path counts as cut.
constexpr std::uint32_t kRecoveryRounds = 4;
/// Time in which the share of new flows that may use the path grows from none to all: longer than
/// the aggregated target health needs to include new flows.
constexpr Duration kRampUpTime = seconds(2);
/// Answers that arrive later than this are ignored.
constexpr Duration kProbeLifetime = seconds(1);
constexpr std::uint64_t kHashRange = 1U << 16U;

void add_once(std::vector<TargetId>& targets, TargetId target) {
  if (std::find(targets.begin(), targets.end(), target) == targets.end()) {
    targets.push_back(target);
  }
}

}  // namespace

void ZonePaths::clear_targets() {
  by_target_.clear();
  for (auto& zone : zones_) {
    zone.targets.clear();
  }
}

std::size_t ZonePaths::zone_index(const std::string& name) {
  const auto found = std::find_if(zones_.begin(), zones_.end(),
                                  [&](const Zone& zone) { return zone.name == name; });
  if (found == zones_.end() && zones_.size() < kMaxZones) {
    zones_.emplace_back().name = name;
    return zones_.size() - 1;
  }
  return static_cast<std::size_t>(found - zones_.begin());
}

void ZonePaths::on_target(const RegisteredTarget& target) {
  if (target.has_ended()) {
    on_removed(target.id);
    return;
  }
  const auto known = by_target_.find(target.id);
  if (known != by_target_.end() && zones_[known->second].name == target.zone) {
    return;
  }
  on_removed(target.id);
  if (target.zone.empty()) {
    return;
  }
  const std::size_t index = zone_index(target.zone);
  if (index < zones_.size()) {
    by_target_[target.id] = index;
    zones_[index].targets.push_back(target.id);
  }
}

void ZonePaths::on_removed(TargetId target) {
  const auto found = by_target_.find(target);
  if (found != by_target_.end()) {
    std::erase(zones_[found->second].targets, target);
    by_target_.erase(found);
  }
}

const ZonePaths::Zone* ZonePaths::zone_of(TargetId target) const {
  const auto found = by_target_.find(target);
  return found == by_target_.end() ? nullptr : &zones_[found->second];
}

bool ZonePaths::is_behind_cut_path(TargetId target) const {
  const Zone* zone = zone_of(target);
  return zone != nullptr && zone->cut_since.has_value();
}

bool ZonePaths::is_cut(std::string_view zone) const {
  return cut_count_ > 0 && std::any_of(zones_.begin(), zones_.end(), [&](const Zone& one) {
           return one.name == zone && one.cut_since;
         });
}

bool ZonePaths::is_admitted(TargetId target, std::uint64_t flow_hash, Instant now) const {
  const Zone* zone = zone_of(target);
  if (zone == nullptr || !zone->restored_at) {
    return true;
  }
  const auto elapsed = static_cast<std::uint64_t>((now - *zone->restored_at).count());
  const auto whole = static_cast<std::uint64_t>(kRampUpTime.count());
  return flow_hash % kHashRange * whole < elapsed * kHashRange;
}

bool ZonePaths::may_check(TargetId target, Instant now) const {
  const Zone* zone = zone_of(target);
  return !own_zone_.empty() && zone != nullptr && zone->name != own_zone_ && !zone->check &&
         !zone->cut_since && now >= zone->next_check_at;
}

void ZonePaths::suspect(TargetId target, Instant sent_at, const std::vector<TargetId>& answered,
                        Instant now) {
  if (may_check(target, now)) {
    answered_ = answered;
    begin_check(zones_[by_target_.at(target)], {target}, sent_at, now);
  }
}

void ZonePaths::add_samples(const Zone& zone, std::vector<TargetId>& sampled) const {
  for (const TargetId target : answered_) {
    if (sampled.size() < ZonePathCheck::kMaxSamples && zone_of(target) == &zone) {
      add_once(sampled, target);
    }
  }
  // Targets without recent replies are added as well, the newest first because the oldest may be
  // gone, and spread over the zone because targets that started together may fail together.
  const std::size_t members = zone.targets.size();
  const std::size_t stride = std::max<std::size_t>(members / ZonePathCheck::kMaxSamples, 1);
  for (std::size_t start = 0; start < stride; ++start) {
    for (std::size_t i = start; i < members && sampled.size() < ZonePathCheck::kMaxSamples;
         i += stride) {
      add_once(sampled, zone.targets[members - 1 - i]);
    }
  }
}

std::vector<TargetId> ZonePaths::choose_references() const {
  std::vector<TargetId> references;
  for (const TargetId target : answered_) {
    const Zone* zone = zone_of(target);
    const bool is_local = zone != nullptr && zone->name == own_zone_;
    if (is_local && references.size() < ZonePathCheck::kReferences) {
      references.push_back(target);
    }
  }
  return references;
}

void ZonePaths::begin_check(Zone& zone, std::vector<TargetId> sampled, Instant sent_at,
                            Instant now) {
  add_samples(zone, sampled);
  std::vector<TargetId> references = choose_references();
  // Without a local target that is known to answer, silence would prove nothing.
  const bool may_prove = !references.empty() || faults_.ignore_references;
  if (sampled.size() >= ZonePathCheck::kMinSamples && may_prove) {
    zone.check.emplace(std::move(sampled), std::move(references), sent_at, now);
    if (faults_.ignore_references) {
      zone.check->ignore_references();
    }
    ++active_checks_;
  } else {
    // Selecting targets iterates over all of them, so it is not repeated for each overdue request.
    zone.next_check_at = now + kInitialInconclusiveBackoff;
  }
}

void ZonePaths::end_check(Zone& zone, bool is_answered, Instant now) {
  zone.check.reset();
  --active_checks_;
  const Duration initial_backoff = is_answered ? kInitialCheckBackoff : kInitialInconclusiveBackoff;
  const Duration max_backoff = is_answered ? kMaxCheckBackoff : kMaxInconclusiveBackoff;
  const bool is_backoff_expired = now - zone.next_check_at > kBackoffResetTime;
  const Duration doubled = std::min(zone.check_backoff * 2, max_backoff);
  zone.check_backoff = is_backoff_expired ? initial_backoff : std::max(doubled, initial_backoff);
  zone.next_check_at = now + zone.check_backoff;
}

bool ZonePaths::ends_check(const ZonePathCheck& path_check, TargetId target) const {
  return !faults_.trust_one_target || target == path_check.samples().front();
}

void ZonePaths::on_progress(TargetId target, Instant sent_at, Instant now) {
  const auto found = active_checks_ == 0 ? by_target_.end() : by_target_.find(target);
  if (found == by_target_.end()) {
    return;
  }
  Zone& zone = zones_[found->second];
  // A reply to an earlier packet says nothing about the path since then.
  if (zone.check && sent_at >= zone.check->sent_at() && ends_check(*zone.check, target)) {
    end_check(zone, true, now);
  }
}

void ZonePaths::send(const SentProbe& probe, std::vector<ProbeRequest>& out) {
  const std::uint64_t number = ++last_probe_;
  sent_[number] = probe;
  out.push_back({number, probe.target});
}

void ZonePaths::step_check(std::size_t index, Instant now, std::vector<ProbeRequest>& out) {
  ZonePathCheck& path_check = *zones_[index].check;
  const ZonePathCheck::ProbeRound round = path_check.next_round(now);
  for (const TargetId sampled_target : round.samples) {
    send({index, sampled_target, false, now, path_check.attempt()}, out);
  }
  // Reference targets come last, because a short queue drops the end of a burst.
  for (const TargetId reference : round.references) {
    send({index, reference, true, now, path_check.attempt()}, out);
  }
}

void ZonePaths::check_other_zones(Instant sent_at, Instant now) {
  for (auto& other : zones_) {
    const bool may_begin =
        !other.check && !other.cut_since && other.name != own_zone_ && now >= other.next_check_at;
    if (may_begin) {
      begin_check(other, {}, sent_at, now);
    }
  }
}

void ZonePaths::probe_recovery(std::size_t index, Instant now, std::vector<ProbeRequest>& out) {
  Zone& zone = zones_[index];
  // Answers are kept until the recovery is evaluated.
  if (now < zone.probe_next_at || zone.targets.empty() || is_recovered(zone)) {
    return;
  }
  zone.probe_next_at = now + kRecoveryProbeInterval;
  zone.previous_responders = std::exchange(zone.responders, {});
  zone.answered_rounds = zone.previous_responders.empty() ? 0 : zone.answered_rounds + 1;
  for (const TargetId target : choose_recovery_probes(zone)) {
    send({index, target, false, now, std::nullopt}, out);
    ++zone.recovery_probes;
  }
}

std::vector<TargetId> ZonePaths::choose_recovery_probes(Zone& zone) const {
  std::vector<TargetId> chosen;
  // Includes a target that answered before, because the others may be gone.
  if (!zone.previous_responders.empty() && zone_of(zone.previous_responders.front()) == &zone) {
    chosen.push_back(zone.previous_responders.front());
  }
  for (std::size_t i = 0; i < zone.targets.size() && chosen.size() < kRecoveryProbes; ++i) {
    zone.next_target = (zone.next_target + 1) % zone.targets.size();
    add_once(chosen, zone.targets[zone.next_target]);
  }
  return chosen;
}

std::vector<ProbeRequest> ZonePaths::take_probes(Instant now) {
  std::vector<ProbeRequest> probes;
  absl::erase_if(sent_, [&](const auto& one) { return now - one.second.at > kProbeLifetime; });
  for (std::size_t i = 0; i < zones_.size(); ++i) {
    if (zones_[i].cut_since) {
      probe_recovery(i, now, probes);
    } else if (zones_[i].check) {
      step_check(i, now, probes);
      if (zones_[i].check->is_last_round()) {
        // The same failure may make other zones unreachable.
        check_other_zones(zones_[i].check->since(), now);
      }
    }
  }
  return probes;
}

void ZonePaths::on_answer(std::uint64_t probe, ProbeAnswer answer, Instant now) {
  const auto found = sent_.find(probe);
  if (found == sent_.end()) {
    return;
  }
  const SentProbe sent = found->second;
  sent_.erase(found);
  Zone& zone = zones_[sent.zone];
  const bool is_accepted = answer == ProbeAnswer::kAccepted;
  if (!sent.attempt && zone.cut_since && is_accepted) {
    add_once(zone.responders, sent.target);
  } else if (zone.check && sent.at >= zone.check->since() &&
             sent.attempt == zone.check->attempt()) {
    on_check_answer(zone, sent, answer, now);
  }
}

void ZonePaths::on_check_answer(Zone& zone, const SentProbe& probe, ProbeAnswer answer,
                                Instant now) {
  const bool is_accepted = answer == ProbeAnswer::kAccepted;
  if (probe.is_reference) {
    if (is_accepted) {
      zone.check->on_reference_answer(now - probe.at);
    }
    return;
  }
  if (!is_accepted) {
    zone.check->on_refusal();
  } else if (ends_check(*zone.check, probe.target)) {
    end_check(zone, true, now);
  }
}

void ZonePaths::on_not_sent(std::uint64_t probe, Instant now) {
  const auto found = sent_.find(probe);
  if (found == sent_.end()) {
    return;
  }
  Zone& zone = zones_[found->second.zone];
  const bool is_check_probe = found->second.attempt && zone.check;
  sent_.erase(found);
  if (is_check_probe) {
    end_check(zone, false, now);
  }
}

void ZonePaths::evaluate_check(Zone& zone, bool is_link_congested, Instant now,
                               std::vector<ZonePathChange>& out) {
  const ZonePathCheck& path_check = *zone.check;
  // A target that was removed during the check is silent for another reason.
  const bool are_known = std::all_of(path_check.samples().begin(), path_check.samples().end(),
                                     [&](TargetId target) { return by_target_.contains(target); });
  const bool may_evaluate = !is_link_congested && are_known;
  if (may_evaluate && path_check.is_silence_proven(now)) {
    out.push_back({zone.name, true, now - path_check.sent_at(),
                   static_cast<std::uint32_t>(path_check.samples().size()), path_check.probes(),
                   path_check.refusals(), path_check.samples().front()});
    mark_cut(zone, now);
  } else if (!may_evaluate || path_check.is_inconclusive(now)) {
    end_check(zone, false, now);
  }
}

void ZonePaths::mark_cut(Zone& zone, Instant now) {
  zone.check.reset();
  --active_checks_;
  zone.cut_since = now;
  ++cut_count_;
  zone.probe_next_at = now + kRecoveryProbeInterval;
  zone.responders.clear();
  zone.previous_responders.clear();
  zone.recovery_probes = 0;
  zone.answered_rounds = 0;
  recovering_count_ -= zone.restored_at ? 1 : 0;
  zone.restored_at.reset();
}

std::vector<TargetId> ZonePaths::recent_responders(const Zone& zone) {
  std::vector<TargetId> answered = zone.previous_responders;
  for (const TargetId target : zone.responders) {
    add_once(answered, target);
  }
  return answered;
}

bool ZonePaths::is_recovered(const Zone& zone) {
  if (zone.responders.empty() || zone.previous_responders.empty()) {
    return false;
  }
  const bool several =
      recent_responders(zone).size() >= std::min(kRecoveryResponders, zone.targets.size());
  return several || zone.answered_rounds >= kRecoveryRounds;
}

void ZonePaths::evaluate_recovery(Zone& zone, Instant now, std::vector<ZonePathChange>& out) {
  if (!zone.targets.empty() && !is_recovered(zone)) {
    return;
  }
  const auto answered = static_cast<std::uint32_t>(recent_responders(zone).size());
  out.push_back({zone.name, false, now - *zone.cut_since, answered, zone.recovery_probes, 0, 0});
  zone.cut_since.reset();
  --cut_count_;
  recovering_count_ += zone.restored_at ? 0 : 1;
  zone.restored_at = now;
}

std::vector<ZonePathChange> ZonePaths::detect_changes(bool is_link_congested, Instant now) {
  std::vector<ZonePathChange> changes;
  if (active_checks_ + cut_count_ + recovering_count_ == 0) {
    return changes;
  }
  for (auto& zone : zones_) {
    if (zone.cut_since) {
      evaluate_recovery(zone, now, changes);
    } else if (zone.check) {
      evaluate_check(zone, is_link_congested, now, changes);
    }
    if (zone.restored_at && now - *zone.restored_at >= kRampUpTime) {
      zone.restored_at.reset();
      --recovering_count_;
    }
  }
  return changes;
}

}  // namespace gorsevalve
