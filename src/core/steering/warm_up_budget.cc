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
/// Part of an operator's bound that is given out in turns. The rest is for balancers that learn of
/// the target, or of a new place, later than others do.
constexpr double kUsedFraction = 0.8;
/// A turn that no flow comes for lapses after this time: long enough for a balancer with 5 new
/// flows a second to use nine of ten, short enough that turns which were saved up are half of a
/// second's turns at most when a burst comes.
constexpr Duration kTurnLifetime = milliseconds(500);
/// A place that was not told again for this long says nothing any more: balancers that came since
/// are not counted in it. Half of the time for which a lost balancer keeps its number.
constexpr Duration kRankLifetime = seconds(30);
/// A fall to less than half of the count is believed after this time only, when lost balancers have
/// lost their numbers, too: a leader that has heard few would else let each of them take the turns
/// of many.
constexpr Duration kMaxCountLifetime = seconds(60);
/// More balancers than any deployment has: a count above it is no count.
constexpr std::uint32_t kMaxBalancers = 100000;

double seconds_between(Instant from, Instant to) {
  return static_cast<double>((to - from).count()) / kMicrosecondsPerSecond;
}

/// How long a turn is open, in seconds; rounds may be shorter than the usual lifetime.
double lifetime_s(double round_s) {
  constexpr double kLifetime = static_cast<double>(kTurnLifetime.count()) / kMicrosecondsPerSecond;
  return std::min(kLifetime, round_s / 2);
}

}  // namespace

void WarmUpBudget::set_rank(const BalancerRank& told, Instant now) {
  if (told.count == 0) {
    return;
  }
  if (told.index >= told.count || told.count > kMaxBalancers) {
    ++counters_.implausible_ranks;
    return;
  }
  if (told.count >= max_count_ || now - max_count_at_ > kMaxCountLifetime) {
    max_count_ = told.count;
    max_count_at_ = now;
  }
  const std::uint32_t least = max_count_ / 2;
  counters_.implausible_ranks += told.count < least ? 1 : 0;
  rank_ = {told.index, std::max(told.count, least)};
  rank_received_at_ = now;
}

bool WarmUpBudget::add(const ColdTarget& target, Instant now) {
  Budget& budget = cold_[target.id];
  if (budget.warm_at == target.warm_at) {
    return false;
  }
  constexpr double kScores = 18446744073709551616.0;
  budget.flows_per_s = target.flows_per_s;
  budget.offset =
      static_cast<double>(rendezvous_score(target.id, target.token, kOffsetSalt)) / kScores;
  budget.cold_since = now;
  budget.warm_at = target.warm_at;
  budget.is_age_known = target.is_age_known;
  return true;
}

double WarmUpBudget::round_s(const Budget& budget) const {
  const std::uint32_t count = takes_all_turns_ ? 1 : rank_.count;
  return count / (kUsedFraction * budget.flows_per_s);
}

bool WarmUpBudget::has_turn(const Budget& budget, Instant now) const {
  if (rank_.count == 0 || now - rank_received_at_ > kRankLifetime) {
    return false;
  }
  const double round = round_s(budget);
  const double part = static_cast<double>(rank_.index) / rank_.count + budget.offset;
  const double first_turn = round * (part - std::floor(part));
  const double since_first = seconds_between(budget.cold_since, now) - first_turn;
  if (since_first < 0) {
    return false;
  }
  const bool is_open = std::fmod(since_first, round) < lifetime_s(round);
  // Keeps one flow a turn, and holds when the numbers change.
  const bool has_rested = !budget.placed_at || seconds_between(*budget.placed_at, now) >= round / 2;
  return is_open && has_rested;
}

double WarmUpBudget::turn_weight(TargetId id) const {
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
  return has_turn(found->second, now) ? WarmUpAdmission::kOwnTurn : WarmUpAdmission::kOtherTurn;
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
