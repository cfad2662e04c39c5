#include "core/steering/flow_placement.h"

#include <algorithm>
#include <cmath>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kTieSalt = 0x7469650000ULL;
constexpr std::uint64_t kReturnSalt = 0x7265740000ULL;

/// What speaks against a target, whatever its load is.
enum class Doubt : std::uint8_t {
  kNone = 0,
  /// It may be cold: it was here before this balancer was.
  kUnknownAge = 1,
  /// Silent, or seen in trouble.
  kTroubled = 2,
  /// It certainly cannot be reached from here.
  kUnreachable = 3,
};

/// How good a target is for a new flow; the least one is chosen.
struct Rank {
  Doubt doubt = Doubt::kUnreachable;
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

/// Decides whether a flow is among those that return to a zone first.
std::uint64_t return_hash(std::uint64_t flow_key) {
  return rendezvous_score(flow_key, 0, kReturnSalt);
}

Doubt doubt_of(const PlacementInputs& inputs, const RegisteredTarget& target,
               WarmUpAdmission admission, std::uint64_t flow_key, Instant now) {
  if (inputs.reachability.is_unreachable(target.id) || inputs.zone_paths.is_cut(target.id)) {
    return Doubt::kUnreachable;
  }
  const bool is_troubled = target.phase != TargetPhase::kReady ||
                           inputs.scores.is_suspected(target.id, now) ||
                           (inputs.zone_paths.is_returning() &&
                            !inputs.zone_paths.admits(target.id, return_hash(flow_key), now));
  if (is_troubled) {
    return Doubt::kTroubled;
  }
  return admission == WarmUpAdmission::kUnknownAge ? Doubt::kUnknownAge : Doubt::kNone;
}

}  // namespace

void FlowPlacement::adopt(const SteeringView& view) {
  absl::erase_if(credits_,
                 [&](const auto& entry) { return view.frontend(entry.first) == nullptr; });
}

std::uint32_t FlowPlacement::next_pool(const FrontendView& frontend) {
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

const RegisteredTarget* FlowPlacement::place(const PlacementInputs& inputs,
                                             const FrontendView& frontend,
                                             const CallerPacket& packet, TargetId avoided,
                                             Instant now) {
  if (frontend.shares.empty()) {
    return nullptr;
  }
  const std::uint32_t pool =
      frontend.shares.size() == 1 ? frontend.shares.front().pool : next_pool(frontend);
  const RegisteredTarget* target = best_of(inputs, pool, packet, avoided, now);
  for (const auto& share : frontend.shares) {
    if (target == nullptr && share.weight > 0 && share.pool != pool) {
      target = best_of(inputs, share.pool, packet, avoided, now);
    }
  }
  if (target != nullptr) {
    return target;
  }
  if (avoided != 0) {
    // The avoided target is better than none.
    return place(inputs, frontend, packet, 0, now);
  }
  count_refusal(inputs, frontend, now);
  return nullptr;
}

void FlowPlacement::count_refusal(const PlacementInputs& inputs, const FrontendView& frontend,
                                  Instant now) {
  const auto waits_for_turn = [&](const RegisteredTarget* target) {
    return inputs.warm_up.admission(target->id, now) == WarmUpAdmission::kNoTurn;
  };
  const bool has_cold =
      std::any_of(frontend.shares.begin(), frontend.shares.end(), [&](const PoolShare& share) {
        const auto& targets = inputs.view.pool_targets(share.pool);
        return share.weight > 0 && std::any_of(targets.begin(), targets.end(), waits_for_turn);
      });
  if (has_cold) {
    inputs.warm_up.on_refused();
  }
}

double FlowPlacement::typical_answer_us(const PlacementInputs& inputs, std::uint32_t pool,
                                        Instant now) {
  std::vector<double> samples;
  for (const RegisteredTarget* target : inputs.view.pool_targets(pool)) {
    const double sample = inputs.scores.recent_answer_us(target->id, now);
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

const RegisteredTarget* FlowPlacement::best_of(const PlacementInputs& inputs, std::uint32_t pool,
                                               const CallerPacket& packet, TargetId avoided,
                                               Instant now) const {
  const double typical_us = typical_answer_us(inputs, pool, now);
  const std::uint64_t flow_key = packed(packet.flow.caller) ^ seed_;
  // Without figures of all balancers, the own view decides alone.
  const auto rounded = [&](double load) {
    const bool is_stepped = policy_.load_step > 0 && inputs.scores.has_figures();
    return is_stepped ? std::floor(load / policy_.load_step) : load;
  };
  // During its turn a cold target is as good as a warm one: the budget keeps it from more than it
  // carries.
  const auto load_of = [&](const RegisteredTarget& target, WarmUpAdmission admission) {
    const double load = inputs.scores.load(target, typical_us, now);
    return admission == WarmUpAdmission::kTurn ? load / policy_.cold_penalty : load;
  };
  const auto weight_of = [&](const RegisteredTarget& target, WarmUpAdmission admission) {
    const double weight = inputs.scores.preference(target);
    const bool has_turn = admission == WarmUpAdmission::kTurn;
    return has_turn ? weight * inputs.warm_up.turn_weight(target.id) : weight;
  };
  const bool has_cold = !inputs.warm_up.is_empty();
  bool passed_over = false;
  const RegisteredTarget* best = nullptr;
  Rank best_rank;
  for (const RegisteredTarget* candidate : inputs.view.pool_targets(pool)) {
    const RegisteredTarget& target = *candidate;
    if (target.id == avoided) {
      continue;
    }
    const WarmUpAdmission admission =
        has_cold ? inputs.warm_up.admission(target.id, now) : WarmUpAdmission::kFree;
    if (admission == WarmUpAdmission::kNoTurn) {
      passed_over = true;
      continue;
    }
    const Rank rank{doubt_of(inputs, target, admission, flow_key, now),
                    rounded(load_of(target, admission)),
                    race_time(rendezvous_score(flow_key, target.token, kTieSalt),
                              weight_of(target, admission))};
    if (best == nullptr || rank < best_rank) {
      best = &target;
      best_rank = rank;
    }
  }
  if (!passed_over) {
    return best;
  }
  // The bound is the operator's: a target beyond what it carries cold answers all of its callers
  // late, while a caller that is refused at once meets another balancer, which may have the turn.
  if (best == nullptr || best_rank.doubt == Doubt::kUnreachable) {
    return nullptr;
  }
  inputs.warm_up.on_passed_over();
  return best;
}

}  // namespace gorsevalve
