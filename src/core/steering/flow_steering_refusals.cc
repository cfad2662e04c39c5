/// What FlowSteering does about targets that refuse new flows: which openings are overdue, what
/// probes and other balancers tell of their targets, and which other targets are looked at then.
#include <algorithm>
#include <set>
#include <string_view>

#include "core/routing/bounded_rendezvous.h"
#include "core/steering/flow_steering.h"

namespace gorsevalve {
namespace {

/// When a first opening packet is followed by nothing for this long, not even by a copy, which
/// callers send after 200 ms, the caller was told that there is no flow.
constexpr Duration kRefusedAfter = std::chrono::milliseconds(300);
/// Pause between two looks around.
constexpr Duration kLookAroundPause = std::chrono::seconds(1);
/// Balancers of a zone that look at each of its targets, where all zones have as many: some may
/// have died with the targets.
constexpr std::uint64_t kLooks = 3;
/// Parts of a zone's targets while a balancer does not know how many others there are.
constexpr std::uint64_t kPartsWithoutPlace = 8;
constexpr std::uint64_t kLookSalt = 0x6c6f6f6b00ULL;

}  // namespace

void FlowSteering::prepare_times(const RegisteredTarget& target) {
  opening_times_.add_zone(target.zone);
  answer_times_.add_pool(target.pool);
}

void FlowSteering::on_opened(const FlowEntry& entry, Instant sent_at, Instant now) {
  scores_.on_opened(entry.target);
  reachability_.on_progress(entry.target, now);
  refusals_.on_opened(entry.target, sent_at);
  const RegisteredTarget* target = view_.target_by_id(entry.target);
  // An answer to a copy may be one to the packet before it.
  if (target != nullptr && !entry.has_copy) {
    opening_times_.on_opened(target->zone, now - sent_at);
  }
}

void FlowSteering::on_answer(TargetId target, Duration took, Instant now) {
  scores_.on_answer(target, took, now);
  if (const RegisteredTarget* known = view_.target_by_id(target); known != nullptr) {
    answer_times_.on_answer(known->pool, took, now);
  }
}

Promptness FlowSteering::promptness(const RegisteredTarget& target, Instant now) const {
  const bool may_be_told = now >= trusts_promptness_from_;
  return may_be_told ? answer_times_.promptness(target.pool, now) : Promptness::kSlow;
}

const FlowEntry* FlowSteering::find_unanswered(const Expectation& opening) {
  const FlowEntry* entry = opening.is_met ? nullptr : flows_.find(opening.flow);
  const bool is_unanswered =
      entry != nullptr && entry->phase == FlowPhase::kOpening && entry->target == opening.target;
  return is_unanswered ? entry : nullptr;
}

Instant FlowSteering::overdue_at(const Expectation& opening) const {
  const RegisteredTarget* target = view_.target_by_id(opening.target);
  const Duration usual =
      target == nullptr ? OpeningTimes::kMost : opening_times_.overdue_after(target->zone);
  return opening.at + usual;
}

std::optional<Instant> FlowSteering::next_expectation() const {
  if (overdue_openings_ < openings_.size()) {
    return overdue_at(openings_[overdue_openings_]);
  }
  if (!openings_.empty()) {
    return openings_.front().at + kRefusedAfter;
  }
  return std::nullopt;
}

void FlowSteering::check_overdue(Instant now) {
  for (; overdue_openings_ < openings_.size(); ++overdue_openings_) {
    const Expectation& opening = openings_[overdue_openings_];
    if (now < overdue_at(opening)) {
      return;
    }
    if (find_unanswered(opening) == nullptr || may_be_own_link(opening.at)) {
      continue;
    }
    const RegisteredTarget* target = view_.target_by_id(opening.target);
    const bool may_probe = policy_.refusal_probes > 0 && target != nullptr &&
                           !zone_paths_.is_cut(opening.target) &&
                           promptness(*target, now) == Promptness::kPrompt;
    if (may_probe) {
      refusals_.on_overdue(opening.target, now);
    }
  }
}

void FlowSteering::check_openings(Instant now) {
  while (!openings_.empty() && now - openings_.front().at >= kRefusedAfter) {
    const Expectation& opening = openings_.front();
    const FlowEntry* entry = find_unanswered(opening);
    if (entry != nullptr && !entry->has_copy && !may_be_own_link(opening.at)) {
      scores_.on_refused(opening.target, now);
    }
    openings_.pop_front();
    late_openings_ -= std::min<std::size_t>(late_openings_, 1);
    overdue_openings_ -= std::min<std::size_t>(overdue_openings_, 1);
  }
}

void FlowSteering::on_refusing(const RefusingTargets& told, Instant now) {
  for (const FlowToken token : told.targets) {
    const RegisteredTarget* target = view_.target(token);
    const bool counts = target != nullptr && (told.zone == zone_ || told.zone == target->zone);
    if (counts && promptness(*target, now) != Promptness::kSlow) {
      refusals_.on_told(target->id, now);
      on_refusal(*target, now);
    }
  }
}

void FlowSteering::on_refusal(const RegisteredTarget& target, Instant now) {
  const bool may_look = policy_.looks_around > 0 && target.zone == zone_;
  if (may_look && now >= look_around_at_ && promptness(target, now) == Promptness::kPrompt) {
    look_around_at_ = now + kLookAroundPause;
    look_around(now);
  }
}

std::uint64_t FlowSteering::parts_to_look_at() const {
  std::set<std::string_view> zones;
  view_.visit_targets([&](const RegisteredTarget& target) { zones.insert(target.zone); });
  const std::uint64_t balancers = warm_up_.place().count;
  const std::uint64_t parts = balancers / (std::max<std::uint64_t>(zones.size(), 1) * kLooks);
  return balancers == 0 ? kPartsWithoutPlace : std::max<std::uint64_t>(parts, 1);
}

void FlowSteering::look_around(Instant now) {
  const std::uint64_t parts = parts_to_look_at();
  const std::uint64_t own_part = warm_up_.place().number % parts;
  std::set<TargetId> chosen;
  view_.visit_targets([&](const RegisteredTarget& target) {
    const bool may_be_used = target.phase == TargetPhase::kReady && target.zone == zone_;
    if (may_be_used && rendezvous_score(target.token, 0, kLookSalt) % parts == own_part) {
      chosen.insert(target.id);
    }
  });
  for (const TargetId target : chosen) {
    refusals_.on_overdue(target, now);
  }
}

void FlowSteering::on_probe_answer(std::uint64_t number, ProbeAnswer answer, Instant now) {
  if (number > ZonePaths::kFirstProbe) {
    zone_paths_.on_answer(number, answer, now);
  } else if (number > TargetRefusals::kFirstProbe) {
    refusals_.on_answer(number, answer, now);
    for (const TargetId target : refusals_.take_refused()) {
      scores_.on_refused_probe(target);
      if (const RegisteredTarget* known = view_.target_by_id(target); known != nullptr) {
        on_refusal(*known, now);
      }
    }
  } else {
    reachability_.on_answer(number, answer, now);
  }
}

void FlowSteering::on_probe_not_sent(std::uint64_t number, Instant now) {
  if (number > ZonePaths::kFirstProbe) {
    zone_paths_.on_not_sent(number, now);
  } else if (number > TargetRefusals::kFirstProbe) {
    refusals_.on_not_sent(number);
  } else {
    reachability_.on_not_sent(number, now);
  }
}

}  // namespace gorsevalve
