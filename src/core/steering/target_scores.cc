#include "core/steering/target_scores.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSuspicionTime = seconds(2);
/// Longer than `kSuspicionTime`, so that a target that alternates between refusing and accepting
/// flows stays suspected.
constexpr Duration kRefusalSuspicionTime = seconds(5);
/// Weight of a new sample in the smoothed response time.
constexpr double kSmoothing = 0.2;
/// How long a response time sample is valid.
constexpr Duration kAnswerLifetime = seconds(8);
constexpr double kMaxPenalty = 8;
/// Limits of the target's load, in percent of the pool's mean, that affect placement, so that a new
/// target is not filled at once.
constexpr double kMinLoadPercent = 80;
constexpr double kMaxLoadPercent = 150;

}  // namespace

void TargetScores::adopt(const TargetMap& targets, Instant now) {
  by_token_.clear();
  answered_.reserve(std::min(targets.size(), kExpectedTargetsInUse));
  to_report_.reserve(std::min(targets.size(), kExpectedTargetsInUse));
  absl::erase_if(scores_, [&](const auto& entry) { return !targets.contains(entry.first); });
  absl::erase_if(answered_, [&](TargetId id) { return !targets.contains(id); });
  absl::erase_if(to_report_, [&](TargetId id) { return !targets.contains(id); });
  for (const auto& [id, target] : targets) {
    on_target(target, now);
  }
}

void TargetScores::on_target(const RegisteredTarget& target, Instant now) {
  by_token_[target.token] = target.id;
  const auto [found, is_first] = scores_.try_emplace(target.id);
  TargetScore& score = found->second;
  const bool is_new = is_first || score.started_at_ms != target.started_at_ms;
  if (is_new) {
    score = {};
    score.started_at_ms = target.started_at_ms;
    answered_.erase(target.id);
    to_report_.erase(target.id);
  }
  if (is_new || score.address != target.address) {
    score.address = target.address;
    score.at_address_since = now;
  }
  // A repeated announcement does not restart the warm-up.
  if (is_new || target.sequence > score.announcement_sequence) {
    score.warm_at = now + milliseconds(target.warm_up_ms);
    score.announcement_sequence = target.sequence;
  }
  score.unreported.token = target.token;
}

bool TargetScores::is_other_incarnation(const RegisteredTarget& target) const {
  const TargetScore* score = find(target.id);
  return score != nullptr && score->started_at_ms != target.started_at_ms;
}

void TargetScores::on_removed(TargetId id) {
  const auto found = scores_.find(id);
  if (found != scores_.end()) {
    by_token_.erase(found->second.unreported.token);
    scores_.erase(found);
    answered_.erase(id);
    to_report_.erase(id);
  }
}

const TargetScore* TargetScores::find(TargetId id) const {
  const auto found = scores_.find(id);
  return found == scores_.end() ? nullptr : &found->second;
}

TargetStatistics& TargetScores::unreported(TargetId id) {
  to_report_.insert(id);
  return at(id).unreported;
}

void TargetScores::on_placed(TargetId id) { ++unreported(id).new_flows; }

void TargetScores::on_request(TargetId id) {
  ++at(id).busy_flows;
  ++unreported(id).requests;
}

std::vector<TargetStatistics> TargetScores::take_observations() {
  std::vector<TargetStatistics> result;
  result.reserve(to_report_.size());
  for (const TargetId id : to_report_) {
    TargetStatistics& seen = at(id).unreported;
    const FlowToken token = seen.token;
    if (token != 0) {
      result.push_back(seen);
    }
    seen = {};
    seen.token = token;
  }
  to_report_.clear();
  has_failures_ = false;
  has_refused_probe_ = false;
  std::sort(result.begin(), result.end(),
            [](const auto& a, const auto& b) { return a.token < b.token; });
  return result;
}

std::vector<TargetId> TargetScores::set_target_health(
    const std::vector<TargetHealth>& reported_health) {
  has_target_health_ = !reported_health.empty();
  absl::flat_hash_set<TargetId> unreachable_before;
  for (const TargetId id : std::exchange(targets_with_health_, {})) {
    const auto known = scores_.find(id);
    if (known == scores_.end()) {
      continue;
    }
    if (known->second.health.is_unreachable) {
      unreachable_before.insert(id);
    }
    known->second.health = {};
  }
  std::vector<TargetId> newly_unreachable;
  for (const auto& reported : reported_health) {
    const auto found = by_token_.find(reported.token);
    if (found == by_token_.end()) {
      continue;
    }
    at(found->second).health = reported;
    targets_with_health_.push_back(found->second);
    if (reported.is_unreachable && !unreachable_before.contains(found->second)) {
      newly_unreachable.push_back(found->second);
    }
  }
  return newly_unreachable;
}

void TargetScores::on_tick(Instant now) {
  absl::erase_if(answered_, [&](TargetId id) { return recent_response_us(id, now) <= 0; });
}

std::vector<TargetId> TargetScores::latest_responsive(std::size_t count, TargetId except,
                                                      Instant now) const {
  std::vector<std::pair<Instant, TargetId>> answered;
  visit_responsive(now, [&](TargetId id, double /*answer_us*/) {
    if (id != except && !is_suspected(id, now)) {
      answered.emplace_back(find(id)->responded_at, id);
    }
  });
  const std::size_t taken = std::min(count, answered.size());
  const auto end = answered.begin() + static_cast<std::ptrdiff_t>(taken);
  std::partial_sort(answered.begin(), end, answered.end(), std::greater<>());
  std::vector<TargetId> latest;
  std::transform(answered.begin(), end, std::back_inserter(latest),
                 [](const auto& one) { return one.second; });
  return latest;
}

void TargetScores::on_established(TargetId id) {
  TargetScore& score = at(id);
  score.unanswered = 0;
  score.suspected_until = Instant{};
}

void TargetScores::on_unanswered_syn(TargetId id, Instant now) {
  TargetScore& score = at(id);
  ++score.unanswered;
  ++unreported(id).retransmitted_flows;
  if (policy_.suspect_after > 0 && score.unanswered >= policy_.suspect_after) {
    score.suspected_until = now + kSuspicionTime;
  }
}

void TargetScores::on_response(TargetId id, Duration took, Instant now) {
  TargetScore& score = at(id);
  const auto sample = static_cast<double>(took.count());
  const bool has_recent_sample =
      score.response_us > 0 && now - score.responded_at < kAnswerLifetime;
  score.response_us =
      has_recent_sample ? score.response_us + kSmoothing * (sample - score.response_us) : sample;
  score.responded_at = now;
  answered_.insert(id);
}

void TargetScores::on_refused(TargetId id, Instant now) {
  if (policy_.refusals <= 0) {
    return;
  }
  ++unreported(id).refused_flows;
  TargetScore& score = at(id);
  score.suspected_until = now + kRefusalSuspicionTime;
  has_failures_ = true;
}

void TargetScores::on_refused_probe(TargetId id) {
  ++unreported(id).refused_probes;
  has_failures_ = true;
  has_refused_probe_ = true;
}

void TargetScores::on_unreachable(TargetId id, Instant now) {
  ++unreported(id).unreachable;
  TargetScore& score = at(id);
  score.suspected_until = now + kRefusalSuspicionTime;
  has_failures_ = true;
}

void TargetScores::on_replaced(TargetId id) { unreported(id).replaced = at(id).started_at_ms; }

double TargetScores::preference(const RegisteredTarget& target) const {
  const double zone_weight = !zone_.empty() && target.zone == zone_ ? policy_.near_preference : 1;
  const TargetScore* score = find(target.id);
  if (score == nullptr) {
    return zone_weight;
  }
  const double clamped_percent =
      std::clamp<double>(score->health.load_percent, kMinLoadPercent, kMaxLoadPercent);
  return zone_weight *
         std::pow(TargetHealth::kMeanLoadPercent / clamped_percent, policy_.pressure_exponent);
}

void TargetScores::on_stalled_request(TargetId id) {
  if (policy_.stalls <= 0) {
    return;
  }
  ++unreported(id).stalled_requests;
  has_failures_ = true;
}

bool TargetScores::is_suspected(TargetId id, Instant now) const {
  const TargetScore* score = find(id);
  return score != nullptr && (now < score->suspected_until || score->health.is_unhealthy);
}

double TargetScores::recent_response_us(TargetId id, Instant now) const {
  const TargetScore* score = find(id);
  const bool is_recent = score != nullptr && now - score->responded_at < kAnswerLifetime;
  return is_recent ? score->response_us : 0;
}

double TargetScores::load(const RegisteredTarget& target, double typical_us, Instant now) const {
  const TargetScore* score = find(target.id);
  if (score == nullptr) {
    return 0;
  }
  double penalty = now < score->warm_at ? policy_.cold_penalty : 1;
  const double answer_us = recent_response_us(target.id, now);
  if (policy_.slow_factor > 0 && typical_us > 0 && answer_us > policy_.slow_factor * typical_us) {
    penalty *= std::min(answer_us / typical_us, kMaxPenalty);
  }
  const double work = score->open_flows + policy_.busy_weight * score->busy_flows + 1;
  return work * penalty / std::max<std::uint32_t>(target.slots, 1);
}

}  // namespace gorsevalve
