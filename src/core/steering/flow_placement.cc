#include "core/steering/flow_placement.h"

#include <algorithm>
#include <cmath>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kTieSalt = 0x7469650000ULL;
constexpr std::uint64_t kSampleSalt = 0x73616d706c00ULL;
constexpr std::uint64_t kRecoverySalt = 0x7265740000ULL;

/// What speaks against a target, whatever its load is.
enum class Impairment : std::uint8_t {
  kNone = 0,
  /// It may be cold: it was here before this balancer was.
  kUnknownAge = 1,
  /// Silent, or seen in trouble.
  kSuspected = 2,
  /// It has just refused a probe.
  kRefusing = 3,
  /// It certainly cannot be reached from here.
  kUnreachable = 4,
};

/// How good a target is for a new flow; the least one is chosen.
struct Rank {
  Impairment impairment = Impairment::kUnreachable;
  /// As this balancer sees it.
  double load = 0;
  /// Decides between targets of the same load.
  double tie_break = 0;

  friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// The target with the least time wins; each wins as often as its weight says (weighted rendezvous
/// hashing, Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005). `score` is
/// uniform over 64 bits.
double rendezvous_cost(std::uint64_t score, double weight) {
  constexpr double kScores = 18446744073709551616.0;
  const double uniform = (static_cast<double>(score) + 1) / kScores;
  return -std::log(uniform) / weight;
}

/// Decides whether a flow is among those that return to a zone first.
std::uint64_t recovery_hash(std::uint64_t flow_key) {
  return rendezvous_score(flow_key, 0, kRecoverySalt);
}

Impairment impairment_of(const PlacementInputs& inputs, const RegisteredTarget& target,
                         WarmUpAdmission admission, std::uint64_t flow_key, Instant now) {
  if (inputs.reachability.is_unreachable(target.id) || inputs.zone_paths.is_cut(target.id)) {
    return Impairment::kUnreachable;
  }
  if (inputs.refusals.is_refusing(target.id, now)) {
    return Impairment::kRefusing;
  }
  const bool is_troubled = target.phase != TargetPhase::kReady ||
                           inputs.scores.is_suspected(target.id, now) ||
                           (inputs.zone_paths.is_recovering() &&
                            !inputs.zone_paths.admits(target.id, recovery_hash(flow_key), now));
  if (is_troubled) {
    return Impairment::kSuspected;
  }
  return admission == WarmUpAdmission::kUnknownAge ? Impairment::kUnknownAge : Impairment::kNone;
}

/// What a look at some targets has found.
struct ScanResult {
  const RegisteredTarget* best = nullptr;
  Rank rank;
  /// A cold target was passed over, since others have the turn.
  bool skipped_cold = false;

  /// True when a look at more targets would hardly find a better one.
  [[nodiscard]] bool is_healthy() const {
    return best != nullptr && rank.impairment < Impairment::kSuspected;
  }
};

/// Looks at targets for one opening, one after the other.
class CandidateScan {
 public:
  CandidateScan(const PlacementInputs& inputs, const SteeringPolicy& policy, double typical_us,
                std::uint64_t flow_key, TargetId avoided, Instant now)
      : inputs_(inputs),
        policy_(policy),
        typical_us_(typical_us),
        flow_key_(flow_key),
        avoided_(avoided),
        now_(now),
        has_cold_(!inputs.warm_up.is_empty()),
        // Without figures of all balancers, the own view decides alone.
        quantizes_load_(policy.load_step > 0 && inputs.scores.has_target_health()) {}

  /// Where in a list of some length the sample of this opening begins.
  [[nodiscard]] std::size_t sample_start(std::size_t length) const {
    return static_cast<std::size_t>(rendezvous_score(flow_key_, 0, kSampleSalt) % length);
  }

  /// Keeps the target when it is better than the best one so far.
  void examine(const RegisteredTarget& target, ScanResult& choice) const {
    if (target.id == avoided_) {
      return;
    }
    const WarmUpAdmission admission =
        has_cold_ ? inputs_.warm_up.admission(target.id, now_) : WarmUpAdmission::kUnrestricted;
    if (admission == WarmUpAdmission::kOtherTurn) {
      choice.skipped_cold = true;
      return;
    }
    const Rank rank{impairment_of(inputs_, target, admission, flow_key_, now_),
                    load_of(target, admission),
                    rendezvous_cost(rendezvous_score(flow_key_, target.token, kTieSalt),
                                    weight_of(target, admission))};
    if (choice.best == nullptr || rank < choice.rank) {
      choice.best = &target;
      choice.rank = rank;
    }
  }

 private:
  [[nodiscard]] double load_of(const RegisteredTarget& target, WarmUpAdmission admission) const {
    double load = inputs_.scores.load(target, typical_us_, now_);
    // During its turn a cold target is as good as a warm one: the budget keeps it from more than it
    // carries.
    if (admission == WarmUpAdmission::kOwnTurn) {
      load /= policy_.cold_penalty;
    }
    return quantizes_load_ ? std::floor(load / policy_.load_step) : load;
  }

  [[nodiscard]] double weight_of(const RegisteredTarget& target, WarmUpAdmission admission) const {
    const double weight = inputs_.scores.preference(target);
    const bool has_turn = admission == WarmUpAdmission::kOwnTurn;
    return has_turn ? weight * inputs_.warm_up.turn_weight(target.id) : weight;
  }

  const PlacementInputs& inputs_;
  const SteeringPolicy& policy_;
  double typical_us_;
  std::uint64_t flow_key_;
  TargetId avoided_;
  Instant now_;
  bool has_cold_;
  bool quantizes_load_;
};

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
                                             const ClientPacket& packet, TargetId avoided,
                                             Instant now) {
  if (frontend.shares.empty()) {
    return nullptr;
  }
  const std::uint32_t pool =
      frontend.shares.size() == 1 ? frontend.shares.front().pool : next_pool(frontend);
  const RegisteredTarget* target = best_target(inputs, pool, packet, avoided, now);
  for (const auto& share : frontend.shares) {
    if (target == nullptr && share.weight > 0 && share.pool != pool) {
      target = best_target(inputs, share.pool, packet, avoided, now);
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
    return inputs.warm_up.admission(target->id, now) == WarmUpAdmission::kOtherTurn;
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
  inputs.scores.visit_answered(now, [&](TargetId id, double answer_us) {
    if (inputs.view.is_in_pool(id, pool)) {
      samples.push_back(answer_us);
    }
  });
  if (samples.empty()) {
    return 0;
  }
  // The lower median: with two targets the faster one is the usual one.
  const auto middle = samples.begin() + static_cast<std::ptrdiff_t>((samples.size() - 1) / 2);
  std::nth_element(samples.begin(), middle, samples.end());
  return *middle;
}

const RegisteredTarget* FlowPlacement::best_target(const PlacementInputs& inputs,
                                                   std::uint32_t pool, const ClientPacket& packet,
                                                   TargetId avoided, Instant now) {
  const std::vector<const RegisteredTarget*>& targets = inputs.view.pool_targets(pool);
  const CandidateScan scan(inputs, policy_, typical_answer_us(inputs, pool, now),
                           packed(packet.flow.client) ^ seed_, avoided, now);
  const auto sample = static_cast<std::size_t>(policy_.sample);
  const bool is_sampled = sample > 0 && targets.size() > sample;
  ScanResult choice;
  if (is_sampled) {
    // Spread over the list: neighbours came together, and may be cold or gone together.
    const std::size_t stride = targets.size() / sample;
    const std::size_t first = scan.sample_start(targets.size());
    for (std::size_t i = 0; i < sample; ++i) {
      scan.examine(*targets[(first + i * stride) % targets.size()], choice);
    }
    counters_.targets_examined += sample;
  }
  if (!is_sampled || !choice.is_healthy()) {
    counters_.full_scans += is_sampled ? 1 : 0;
    counters_.targets_examined += targets.size();
    choice = {};
    for (const RegisteredTarget* target : targets) {
      scan.examine(*target, choice);
    }
  }
  if (!choice.skipped_cold) {
    return choice.best;
  }
  // The bound is the operator's: a target beyond what it carries cold answers all of its callers
  // late, while a caller that is refused at once meets another balancer, which may have the turn.
  if (choice.best == nullptr || choice.rank.impairment == Impairment::kUnreachable) {
    return nullptr;
  }
  inputs.warm_up.on_passed_over();
  return choice.best;
}

}  // namespace gorsevalve
