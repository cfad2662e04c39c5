/// FlowSteering's handling of targets that refuse new flows: timeouts of opening packets, probe
/// results, reports from other balancers, and probing of neighbors.
#include <algorithm>
#include <set>
#include <string_view>

#include "core/routing/bounded_rendezvous.h"
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

/// An opening packet without a reply or a retransmission by this time was refused: clients
/// retransmit after 200 ms.
constexpr Duration kRefusalTimeout = std::chrono::milliseconds(300);
/// Minimum time between two rounds of probing neighbors.
constexpr Duration kNeighborProbeInterval = std::chrono::seconds(1);
/// Balancers per zone that probe each target, if zones are equally large. More than one, since some
/// may fail together with the targets.
constexpr std::uint64_t kProbersPerTarget = 3;
/// Partitions of a zone's targets while the number of balancers is unknown.
constexpr std::uint64_t kDefaultPartitions = 8;
constexpr std::uint64_t kNeighborProbeSalt = 0x6c6f6f6b00ULL;

}  // namespace

void FlowSteering::add_time_estimates(const RegisteredTarget& target) {
  handshake_times_.add_zone(target.zone);
  response_times_.add_pool(target.pool);
}

void FlowSteering::on_opened(const FlowEntry& entry, Instant sent_at, Instant now) {
  scores_.on_established(entry.target);
  reachability_.on_progress(entry.target, now);
  refusals_.on_established(entry.target, sent_at);
  const RegisteredTarget* target = view_.target_by_id(entry.target);
  // A reply after a retransmission may belong to the earlier packet (Karn's algorithm).
  if (target != nullptr && !entry.is_retransmitted) {
    handshake_times_.on_established(target->zone, now - sent_at);
  }
}

void FlowSteering::on_address_held(TargetId holder, Instant sent_at, Instant now) {
  const RegisteredTarget* target = view_.target_by_id(holder);
  if (target == nullptr || !view_.shares_address(*target)) {
    return;
  }
  for (const TargetId other : view_.targets_at(target->address)) {
    const TargetScore* score = scores_.find(other);
    if (other != holder && score != nullptr && score->at_address_since <= sent_at) {
      reachability_.on_replaced(other, now);
      scores_.on_replaced(other);
    }
  }
}

void FlowSteering::on_response(TargetId target, Duration took, Instant now) {
  scores_.on_response(target, took, now);
  if (const RegisteredTarget* known = view_.target_by_id(target); known != nullptr) {
    response_times_.on_response(known->pool, took, now);
  }
}

LatencyLevel FlowSteering::latency_level(const RegisteredTarget& target, Instant now) const {
  const bool is_latency_valid = now >= latency_valid_from_;
  return is_latency_valid ? response_times_.latency_level(target.pool, now) : LatencyLevel::kHigh;
}

const FlowEntry* FlowSteering::find_unanswered(const PendingReply& opening) {
  const FlowEntry* entry = opening.is_resolved ? nullptr : flows_.find(opening.flow);
  const bool is_unanswered =
      entry != nullptr && entry->phase == FlowPhase::kOpening && entry->target == opening.target;
  return is_unanswered ? entry : nullptr;
}

Instant FlowSteering::overdue_at(const PendingReply& opening) const {
  const RegisteredTarget* target = view_.target_by_id(opening.target);
  const Duration timeout = target == nullptr ? HandshakeTimes::kMaxTimeout
                                             : handshake_times_.overdue_timeout(target->zone);
  return opening.sent_at + timeout;
}

std::optional<Instant> FlowSteering::next_reply_deadline() const {
  if (overdue_checked_openings_ < openings_.size()) {
    return overdue_at(openings_[overdue_checked_openings_]);
  }
  if (!openings_.empty()) {
    return openings_.front().sent_at + kRefusalTimeout;
  }
  return std::nullopt;
}

void FlowSteering::probe_overdue_openings(Instant now) {
  for (; overdue_checked_openings_ < openings_.size(); ++overdue_checked_openings_) {
    const PendingReply& opening = openings_[overdue_checked_openings_];
    if (now < overdue_at(opening)) {
      return;
    }
    if (find_unanswered(opening) == nullptr || may_be_local_congestion(opening.sent_at)) {
      continue;
    }
    const RegisteredTarget* target = view_.target_by_id(opening.target);
    const bool may_probe = policy_.refusal_probes > 0 && target != nullptr &&
                           !zone_paths_.is_cut(opening.target) &&
                           latency_level(*target, now) == LatencyLevel::kLow;
    if (may_probe) {
      refusals_.on_overdue(opening.target, now);
    }
  }
}

void FlowSteering::check_opening_timeouts(Instant now) {
  while (!openings_.empty() && now - openings_.front().sent_at >= kRefusalTimeout) {
    const PendingReply& opening = openings_.front();
    const FlowEntry* entry = find_unanswered(opening);
    if (entry != nullptr && !entry->is_retransmitted && !may_be_local_congestion(opening.sent_at)) {
      scores_.on_refused(opening.target, now);
    }
    openings_.pop_front();
    zone_checked_openings_ -= std::min<std::size_t>(zone_checked_openings_, 1);
    overdue_checked_openings_ -= std::min<std::size_t>(overdue_checked_openings_, 1);
  }
}

void FlowSteering::on_refusing(const RefusingTargets& report, Instant now) {
  for (const FlowToken token : report.targets) {
    const RegisteredTarget* target = view_.target(token);
    const bool counts = target != nullptr && (report.zone == zone_ || report.zone == target->zone);
    if (counts && latency_level(*target, now) != LatencyLevel::kHigh) {
      refusals_.on_remote_refusal(target->id, now);
      on_refusal(*target, now);
    }
  }
}

void FlowSteering::on_refusal(const RegisteredTarget& target, Instant now) {
  const bool may_probe_neighbors = policy_.looks_around > 0 && target.zone == zone_;
  if (may_probe_neighbors && now >= next_neighbor_probe_at_ &&
      latency_level(target, now) == LatencyLevel::kLow) {
    next_neighbor_probe_at_ = now + kNeighborProbeInterval;
    probe_neighbors(now);
  }
}

std::uint64_t FlowSteering::probe_partitions() const {
  std::set<std::string_view> zones;
  view_.visit_targets([&](const RegisteredTarget& target) { zones.insert(target.zone); });
  const std::uint64_t balancers = warm_up_.rank().count;
  const std::uint64_t parts =
      balancers / (std::max<std::uint64_t>(zones.size(), 1) * kProbersPerTarget);
  return balancers == 0 ? kDefaultPartitions : std::max<std::uint64_t>(parts, 1);
}

void FlowSteering::probe_neighbors(Instant now) {
  const std::uint64_t parts = probe_partitions();
  const std::uint64_t own_part = warm_up_.rank().index % parts;
  std::set<TargetId> chosen;
  view_.visit_targets([&](const RegisteredTarget& target) {
    const bool may_be_used = target.phase == TargetPhase::kReady && target.zone == zone_;
    if (may_be_used && rendezvous_score(target.token, 0, kNeighborProbeSalt) % parts == own_part) {
      chosen.insert(target.id);
    }
  });
  for (const TargetId target : chosen) {
    refusals_.on_overdue(target, now);
  }
}

void FlowSteering::on_probe_answer(std::uint64_t number, ProbeAnswer answer, Instant now) {
  if (number > ZonePaths::kProbeNumberBase) {
    zone_paths_.on_answer(number, answer, now);
  } else if (number > TargetRefusals::kProbeNumberBase) {
    refusals_.on_answer(number, answer, now);
    for (const TargetId target : refusals_.take_refused()) {
      scores_.on_refused_probe(target);
      if (const RegisteredTarget* known = view_.target_by_id(target); known != nullptr) {
        on_refusal(*known, now);
      }
    }
  } else {
    const RegisteredTarget* target = view_.target_by_id(reachability_.probed_target(number));
    const bool is_ambiguous = answer == ProbeAnswer::kAccepted && target != nullptr &&
                              view_.is_probably_replaced(*target);
    reachability_.on_answer(number, is_ambiguous ? ProbeAnswer::kAmbiguous : answer, now);
  }
}

void FlowSteering::on_probe_not_sent(std::uint64_t number, Instant now) {
  if (number > ZonePaths::kProbeNumberBase) {
    zone_paths_.on_not_sent(number, now);
  } else if (number > TargetRefusals::kProbeNumberBase) {
    refusals_.on_not_sent(number);
  } else {
    reachability_.on_not_sent(number, now);
  }
}

}  // namespace gorsevalve
