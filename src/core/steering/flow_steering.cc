#include "core/steering/flow_steering.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

/// When a first opening packet is followed by nothing for this long, not even by a copy, which
/// callers send after 200 ms, the caller was told that there is no flow.
constexpr Duration kRefusedAfter = std::chrono::milliseconds(300);
/// A request without an answer for this long has stalled: longer than a queue of a target that
/// works, and than a lost packet takes.
constexpr Duration kStalledAfter = std::chrono::milliseconds(400);
/// A balancer that has just started gets packets of flows that went on elsewhere meanwhile.
constexpr Duration kObservationPause = std::chrono::seconds(1);
constexpr std::uint64_t kTieSalt = 0x7469650000ULL;

/// How good a target is for a new flow; the least one is chosen.
struct Rank {
  bool is_doubtful = true;
  /// As this balancer sees it.
  double load = 0;
  /// Decides between targets of the same load.
  double race = 0;

  friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// The target with the least time wins; each wins as often as its weight says (weighted rendezvous
/// hashing, Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005). `score` is
/// uniform over 64 bits.
double race_time(std::uint64_t score, double weight) {
  constexpr double kScores = 18446744073709551616.0;
  const double uniform = (static_cast<double>(score) + 1) / kScores;
  return -std::log(uniform) / weight;
}

}  // namespace

std::string_view to_string(SteeringReason reason) {
  switch (reason) {
    case SteeringReason::kToken:
      return "token";
    case SteeringReason::kPlaced:
      return "placed";
    case SteeringReason::kCopy:
      return "copy";
    case SteeringReason::kPlacedAgain:
      return "placed_again";
    case SteeringReason::kNoState:
      return "no_state";
    case SteeringReason::kNoFrontend:
      return "no_frontend";
    case SteeringReason::kFrontendDropped:
      return "frontend_dropped";
    case SteeringReason::kNoTarget:
      return "no_target";
    case SteeringReason::kNoToken:
      return "no_token";
    case SteeringReason::kUnknownToken:
      return "unknown_token";
    case SteeringReason::kForeignToken:
      return "foreign_token";
    case SteeringReason::kTargetReplaced:
      return "target_replaced";
  }
  return "unknown";
}

void FlowSteering::adopt(const SteeringState& state, Instant now) {
  view_.reset(state);
  scores_.adopt(state.targets, now);
  absl::erase_if(credits_,
                 [&](const auto& entry) { return view_.frontend(entry.first) == nullptr; });
}

void FlowSteering::apply(const SteeringDelta& delta, Instant now) {
  view_.apply(delta);
  for (const auto& target : delta.upserted_targets) {
    scores_.on_target(target, now);
  }
  for (const TargetId id : delta.forgotten_targets) {
    scores_.on_forgotten(id);
  }
  for (const auto& address : delta.removed_frontends) {
    credits_.erase(address);
  }
}

void FlowSteering::confirm(Instant now) {
  is_confirmed_ = true;
  observes_from_ = now + kObservationPause;
}

void FlowSteering::stop_observing() {
  observes_from_ = Instant::max();
  openings_.clear();
  requests_.clear();
}

SteeringDecision FlowSteering::on_packet(const CallerPacket& packet, Instant now) {
  if (!has_settings()) {
    return {SteeringAction::kDrop, SteeringReason::kNoState, nullptr};
  }
  if (!is_confirmed_) {
    return follow_unconfirmed(packet, now);
  }
  const FrontendView* frontend = view_.frontend(packet.flow.frontend);
  if (frontend != nullptr) {
    return packet.opens ? open(*frontend, packet, now) : follow(*frontend, packet, now);
  }
  if (packet.resets) {
    return {SteeringAction::kDrop, SteeringReason::kNoFrontend, nullptr};
  }
  if (view_.was_dropped(packet.flow.frontend)) {
    return {SteeringAction::kReset, SteeringReason::kFrontendDropped, nullptr};
  }
  // An open flow of a frontend that this balancer never knew may belong to a newer revision.
  const SteeringAction action = packet.opens ? SteeringAction::kReset : SteeringAction::kDrop;
  return {action, SteeringReason::kNoFrontend, nullptr};
}

SteeringDecision FlowSteering::follow_unconfirmed(const CallerPacket& packet, Instant now) {
  constexpr SteeringDecision kUndecided{SteeringAction::kDrop, SteeringReason::kNoState, nullptr};
  const FrontendView* frontend = view_.frontend(packet.flow.frontend);
  if (packet.opens || frontend == nullptr) {
    return kUndecided;
  }
  const SteeringDecision decision = follow(*frontend, packet, now);
  return decision.action == SteeringAction::kForward ? decision : kUndecided;
}

SteeringDecision FlowSteering::open(const FrontendView& frontend, const CallerPacket& packet,
                                    Instant now) {
  check_expectations(now);
  FlowEntry* entry = flows_.find(packet.flow);
  TargetId avoided = 0;
  if (entry != nullptr && entry->phase == FlowPhase::kOpening && packet.copies_before > 0) {
    const RegisteredTarget* before = view_.target_by_id(entry->target);
    const bool usable = before != nullptr && before->phase == TargetPhase::kReady &&
                        view_.may_reach(frontend, *before);
    if (!entry->has_copy) {
      entry->has_copy = true;
      scores_.on_unanswered(entry->target, now);
    }
    if (usable && packet.copies_before <= policy_.copies_at_same_target &&
        !scores_.is_suspected(entry->target, now)) {
      return {SteeringAction::kForward, SteeringReason::kCopy, before};
    }
    avoided = entry->target;
  }
  const RegisteredTarget* target = place(frontend, packet, avoided, now);
  if (target == nullptr) {
    return {SteeringAction::kReset, SteeringReason::kNoTarget, nullptr};
  }
  note(packet, target->id, now);
  scores_.on_placed(target->id);
  if (packet.copies_before == 0 && now >= observes_from_) {
    openings_.push_back({packet.flow, target->id, now});
  }
  const SteeringReason reason =
      avoided == 0 ? SteeringReason::kPlaced : SteeringReason::kPlacedAgain;
  return {SteeringAction::kForward, reason, target};
}

SteeringDecision FlowSteering::follow(const FrontendView& frontend, const CallerPacket& packet,
                                      Instant now) {
  if (packet.token == 0) {
    return {SteeringAction::kDrop, SteeringReason::kNoToken, nullptr};
  }
  const RegisteredTarget* target = view_.target(packet.token);
  if (target == nullptr) {
    return {SteeringAction::kDrop, SteeringReason::kUnknownToken, nullptr};
  }
  if (!view_.may_reach(frontend, *target) && !faults_.accept_foreign_tokens) {
    return {SteeringAction::kDrop, SteeringReason::kForeignToken, nullptr};
  }
  if (view_.is_replaced(*target)) {
    // The target is certainly gone: another one has its address.
    const SteeringAction action = packet.resets ? SteeringAction::kDrop : SteeringAction::kReset;
    return {action, SteeringReason::kTargetReplaced, nullptr};
  }
  if (faults_.ignore_token) {
    const RegisteredTarget* other = place(frontend, packet, target->id, now);
    target = other == nullptr ? target : other;
  }
  note(packet, target->id, now);
  return {SteeringAction::kForward, SteeringReason::kToken, target};
}

std::uint32_t FlowSteering::next_pool(const FrontendView& frontend) {
  // Each share earns its weight; the richest one pays the sum. Shares hold over any stretch.
  std::vector<std::int64_t>& credits = credits_[frontend.address];
  credits.resize(frontend.shares.size(), 0);
  std::int64_t total = 0;
  std::size_t richest = 0;
  for (std::size_t i = 0; i < frontend.shares.size(); ++i) {
    total += frontend.shares[i].weight;
    credits[i] += frontend.shares[i].weight;
    if (credits[i] > credits[richest]) {
      richest = i;
    }
  }
  credits[richest] -= total;
  return frontend.shares[richest].pool;
}

const RegisteredTarget* FlowSteering::place(const FrontendView& frontend,
                                            const CallerPacket& packet, TargetId avoided,
                                            Instant now) {
  if (frontend.shares.empty()) {
    return nullptr;
  }
  const std::uint32_t pool =
      frontend.shares.size() == 1 ? frontend.shares.front().pool : next_pool(frontend);
  const RegisteredTarget* target = best_of(pool, packet, avoided, now);
  for (const auto& share : frontend.shares) {
    if (target == nullptr && share.weight > 0 && share.pool != pool) {
      target = best_of(share.pool, packet, avoided, now);
    }
  }
  // The avoided target is better than none.
  return target == nullptr && avoided != 0 ? place(frontend, packet, 0, now) : target;
}

double FlowSteering::typical_answer_us(std::uint32_t pool, Instant now) const {
  std::vector<double> samples;
  for (const RegisteredTarget* target : view_.pool_targets(pool)) {
    const double sample = scores_.recent_answer_us(target->id, now);
    if (sample > 0) {
      samples.push_back(sample);
    }
  }
  if (samples.empty()) {
    return 0;
  }
  // The lower median: with two targets the faster one is the usual one.
  const auto middle = samples.begin() + static_cast<std::ptrdiff_t>((samples.size() - 1) / 2);
  std::nth_element(samples.begin(), middle, samples.end());
  return *middle;
}

const RegisteredTarget* FlowSteering::best_of(std::uint32_t pool, const CallerPacket& packet,
                                              TargetId avoided, Instant now) const {
  const double typical_us = typical_answer_us(pool, now);
  const std::uint64_t flow_key = packed(packet.flow.caller) ^ seed_;
  // Without figures of all balancers, the own view decides alone.
  const auto rounded = [&](double load) {
    const bool is_stepped = policy_.load_step > 0 && scores_.has_figures();
    return is_stepped ? std::floor(load / policy_.load_step) : load;
  };
  const RegisteredTarget* best = nullptr;
  Rank best_rank;
  for (const RegisteredTarget* candidate : view_.pool_targets(pool)) {
    const RegisteredTarget& target = *candidate;
    if (target.id == avoided) {
      continue;
    }
    const Rank rank{
        target.phase != TargetPhase::kReady || scores_.is_suspected(target.id, now),
        rounded(scores_.load(target, typical_us, now)),
        race_time(rendezvous_score(flow_key, target.token, kTieSalt), scores_.preference(target))};
    if (best == nullptr || rank < best_rank) {
      best = &target;
      best_rank = rank;
    }
  }
  return best;
}

void FlowSteering::end_request(FlowEntry& entry) {
  if (!entry.request_since) {
    return;
  }
  entry.request_since.reset();
  TargetScore& score = scores_.at(entry.target);
  score.busy_flows -= std::min(score.busy_flows, 1U);
}

void FlowSteering::remove_load(const FlowEntry& entry) {
  const TargetScore* known = scores_.find(entry.target);
  if (known == nullptr || entry.phase == FlowPhase::kClosing) {
    return;
  }
  TargetScore& score = scores_.at(entry.target);
  score.open_flows -= std::min(score.open_flows, 1U);
  if (entry.request_since) {
    score.busy_flows -= std::min(score.busy_flows, 1U);
  }
}

void FlowSteering::note_request(FlowEntry& entry, const CallerPacket& packet, Instant now) {
  const bool answered = packet.acknowledged != entry.acknowledged;
  if (entry.request_since && answered) {
    scores_.on_answer(entry.target, now - *entry.request_since, now);
    end_request(entry);
  }
  if (packet.data_size > 0 && !entry.request_since) {
    entry.request_since = now;
    scores_.on_request(entry.target);
    if (now >= observes_from_) {
      requests_.push_back({packet.flow, entry.target, now});
    }
  }
  entry.acknowledged = packet.acknowledged;
}

void FlowSteering::note(const CallerPacket& packet, TargetId target, Instant now) {
  FlowEntry* entry = flows_.find(packet.flow);
  if (entry != nullptr && entry->target != target) {
    remove_load(*entry);
    entry->target = target;
    entry->phase = FlowPhase::kOpening;
    entry->has_copy = false;
    entry->request_since.reset();
    ++scores_.at(target).open_flows;
  }
  if (entry == nullptr || (packet.opens && entry->phase == FlowPhase::kClosing)) {
    const bool ends = packet.closes || packet.resets;
    FlowEntry fresh;
    fresh.target = target;
    fresh.acknowledged = packet.acknowledged;
    fresh.phase = ends ? FlowPhase::kClosing : FlowPhase::kOpening;
    entry = flows_.insert(packet.flow, fresh);
    if (entry == nullptr) {
      return;
    }
    scores_.at(target).open_flows += ends ? 0 : 1;
  }
  entry->last_seen = now;
  if (packet.opens || entry->phase == FlowPhase::kClosing) {
    return;
  }
  if (entry->phase == FlowPhase::kOpening) {
    entry->phase = FlowPhase::kOpen;
    entry->acknowledged = packet.acknowledged;
    scores_.on_opened(target);
  }
  note_request(*entry, packet, now);
  if (packet.closes || packet.resets) {
    remove_load(*entry);
    entry->request_since.reset();
    entry->phase = FlowPhase::kClosing;
  }
}

void FlowSteering::check_openings(Instant now) {
  while (!openings_.empty() && now - openings_.front().at >= kRefusedAfter) {
    const Expectation& opening = openings_.front();
    const FlowEntry* entry = flows_.find(opening.flow);
    const bool is_refused = entry != nullptr && entry->phase == FlowPhase::kOpening &&
                            entry->target == opening.target && !entry->has_copy;
    if (is_refused) {
      scores_.on_refused(opening.target, now);
    }
    openings_.pop_front();
  }
}

void FlowSteering::check_requests(Instant now) {
  while (!requests_.empty() && now - requests_.front().at >= kStalledAfter) {
    const Expectation& request = requests_.front();
    const FlowEntry* entry = flows_.find(request.flow);
    const bool is_stalled = entry != nullptr && entry->target == request.target &&
                            entry->phase == FlowPhase::kOpen && entry->request_since == request.at;
    if (is_stalled) {
      scores_.on_stalled(request.target);
    }
    requests_.pop_front();
  }
}

void FlowSteering::check_expectations(Instant now) {
  check_openings(now);
  check_requests(now);
}

void FlowSteering::on_tick(Instant now) {
  check_expectations(now);
  const auto idle = std::chrono::milliseconds(view_.idle_timeout_ms());
  flows_.expire(idle, now, [this](const FlowEntry& entry) { remove_load(entry); });
}

}  // namespace gorsevalve
