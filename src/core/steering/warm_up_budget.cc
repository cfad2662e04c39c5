#include "core/steering/warm_up_budget.h"

#include <algorithm>
#include <cmath>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kOffsetSalt = 0x7761726d00ULL;
constexpr double kMicrosecondsPerSecond = 1e6;
/// Fraction of the operator's limit that is divided into time slots. The rest covers balancers that
/// learn of the target, or of a new rank, later than others.
constexpr double kUsedFraction = 0.8;
/// Unused time slots expire after this time: long enough that a balancer with 5 new flows per
/// second uses nine of ten slots, short enough that a burst after an idle time finds at most half
/// of one second's slots.
constexpr Duration kSlotLifetime = milliseconds(500);
/// A rank that was not reported again for this time is not used, because its count misses balancers
/// that started since. Half of the time for which a lost balancer keeps its rank.
constexpr Duration kRankLifetime = seconds(30);
/// A count of less than half of the largest one is applied in full only after this time, when lost
/// balancers have lost their ranks. Otherwise a new leader with few known balancers would let each
/// of them use the time slots of many.
constexpr Duration kMaxCountLifetime = seconds(60);
/// Larger counts are invalid: no deployment has as many balancers.
constexpr std::uint32_t kMaxBalancers = 100000;

double seconds_between(Instant from, Instant to) {
  return static_cast<double>((to - from).count()) / kMicrosecondsPerSecond;
}

/// Duration of a time slot in seconds; shorter than `kSlotLifetime` for short rounds.
double lifetime_s(double round_s) {
  constexpr double kLifetime = static_cast<double>(kSlotLifetime.count()) / kMicrosecondsPerSecond;
  return std::min(kLifetime, round_s / 2);
}

}  // namespace

void WarmUpBudget::set_rank(const BalancerRank& reported, Instant now) {
  if (reported.count == 0) {
    return;
  }
  if (reported.index >= reported.count || reported.count > kMaxBalancers) {
    ++counters_.implausible_ranks;
    return;
  }
  if (reported.count >= max_count_ || now - max_count_at_ > kMaxCountLifetime) {
    max_count_ = reported.count;
    max_count_at_ = now;
  }
  const std::uint32_t min_count = max_count_ / 2;
  counters_.implausible_ranks += reported.count < min_count ? 1 : 0;
  rank_ = {reported.index, std::max(reported.count, min_count)};
  rank_received_at_ = now;
}

bool WarmUpBudget::add(const ColdTarget& target, Instant now) {
  Budget& budget = cold_[target.id];
  if (budget.warm_at == target.warm_at) {
    return false;
  }
  constexpr double kScoreRange = 18446744073709551616.0;
  budget.flows_per_s = target.flows_per_s;
  budget.offset =
      static_cast<double>(rendezvous_score(target.id, target.token, kOffsetSalt)) / kScoreRange;
  budget.cold_since = now;
  budget.warm_at = target.warm_at;
  budget.is_age_known = target.is_age_known;
  return true;
}

double WarmUpBudget::round_s(const Budget& budget) const {
  const std::uint32_t count = uses_all_slots_ ? 1 : rank_.count;
  return count / (kUsedFraction * budget.flows_per_s);
}

bool WarmUpBudget::owns_slot(const Budget& budget, Instant now) const {
  if (rank_.count == 0 || now - rank_received_at_ > kRankLifetime) {
    return false;
  }
  const double round = round_s(budget);
  const double slot_position = static_cast<double>(rank_.index) / rank_.count + budget.offset;
  const double first_slot = round * (slot_position - std::floor(slot_position));
  const double since_first = seconds_between(budget.cold_since, now) - first_slot;
  if (since_first < 0) {
    return false;
  }
  const bool is_open = std::fmod(since_first, round) < lifetime_s(round);
  // Limits a time slot to one flow, also when ranks change.
  const bool is_pause_over =
      !budget.placed_at || seconds_between(*budget.placed_at, now) >= round / 2;
  return is_open && is_pause_over;
}

double WarmUpBudget::slot_weight(TargetId id) const {
  const auto found = cold_.find(id);
  if (found == cold_.end()) {
    return 1;
  }
  const double round = round_s(found->second);
  return round / lifetime_s(round);
}

WarmUpAdmission WarmUpBudget::admission(TargetId id, Instant now) const {
  const auto found = cold_.find(id);
  if (found == cold_.end() || now >= found->second.warm_at) {
    return WarmUpAdmission::kUnrestricted;
  }
  if (!found->second.is_age_known) {
    return WarmUpAdmission::kUnknownAge;
  }
  return owns_slot(found->second, now) ? WarmUpAdmission::kOwnSlot : WarmUpAdmission::kOtherSlot;
}

void WarmUpBudget::on_placed(TargetId id, Instant now) {
  const auto found = cold_.find(id);
  if (found == cold_.end() || now >= found->second.warm_at) {
    return;
  }
  found->second.placed_at = now;
  ++found->second.placed;
  ++counters_.placed;
}

std::vector<WarmedTarget> WarmUpBudget::take_warmed(Instant now) {
  std::vector<WarmedTarget> warmed;
  absl::erase_if(cold_, [&](const auto& entry) {
    const bool is_warm = now >= entry.second.warm_at;
    if (is_warm) {
      warmed.push_back({entry.first, entry.second.placed});
    }
    return is_warm;
  });
  std::sort(warmed.begin(), warmed.end(),
            [](const WarmedTarget& a, const WarmedTarget& b) { return a.id < b.id; });
  return warmed;
}

}  // namespace gorsevalve
