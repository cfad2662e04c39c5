#include "core/steering/flow_placement.h"

#include <algorithm>
#include <cmath>

#include "core/routing/bounded_rendezvous.h"

namespace gorsevalve {
namespace {

constexpr std::uint64_t kTieSalt = 0x7469650000ULL;
constexpr std::uint64_t kSampleSalt = 0x73616d706c00ULL;
constexpr std::uint64_t kPoolSalt = 0x706f6f6c0000ULL;
constexpr std::uint64_t kRecoverySalt = 0x7265740000ULL;

/// Reason to avoid a target regardless of its load; higher values are worse.
enum class Impairment : std::uint8_t {
  kNone = 0,
  /// May be warming up: it started before this balancer did.
  kUnknownAge = 1,
  /// Heartbeats timed out, or failures were seen.
  kSuspected = 2,
  /// Recently refused a probe.
  kRefusing = 3,
  /// Unreachable from this balancer.
  kUnreachable = 4,
};

/// Rank of a target for a new flow; the lowest wins.
struct Rank {
  Impairment impairment = Impairment::kUnreachable;
  /// Load as seen by this balancer.
  double load = 0;
  /// Random value that decides between equal loads.
  double tie_break = 0;

  friend auto operator<=>(const Rank&, const Rank&) = default;
};

/// The target with the lowest cost wins, with a probability proportional to its weight (weighted
/// rendezvous hashing, Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
/// `score` is uniform over 64 bits.
double rendezvous_cost(std::uint64_t score, double weight) {
  constexpr double kScores = 18446744073709551616.0;
  const double uniform = (static_cast<double>(score) + 1) / kScores;
  return -std::log(uniform) / weight;
}

/// Hash that determines whether a flow returns early to a recovering zone.
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
  const bool is_unhealthy = target.phase != TargetPhase::kReady ||
                            inputs.scores.is_suspected(target.id, now) ||
                            (inputs.zone_paths.is_recovering() &&
                             !inputs.zone_paths.admits(target.id, recovery_hash(flow_key), now));
  if (is_unhealthy) {
    return Impairment::kSuspected;
  }
  return admission == WarmUpAdmission::kUnknownAge ? Impairment::kUnknownAge : Impairment::kNone;
}

/// Result of examining targets.
struct ScanResult {
  const RegisteredTarget* best = nullptr;
  Rank rank;
  /// A target that is warming up was skipped, because other balancers hold the time slot.
  bool skipped_cold = false;

  /// True when examining more targets is unlikely to find a better one.
  [[nodiscard]] bool is_healthy() const {
    return best != nullptr && rank.impairment < Impairment::kSuspected;
  }
};

/// Examines targets for one new flow.
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
        // Without health reports from all balancers, only the local load counts.
        quantizes_load_(policy.load_step > 0 && inputs.scores.has_target_health()) {}

  /// Start index of the sample in a list of `length` targets.
  [[nodiscard]] std::size_t sample_start(std::size_t length) const {
    return static_cast<std::size_t>(rendezvous_score(flow_key_, 0, kSampleSalt) % length);
  }

  /// Records the target if it ranks better than the best one so far.
  void examine(const RegisteredTarget& target, ScanResult& choice) const {
    if (target.id == avoided_) {
      return;
    }
    const WarmUpAdmission admission =
        has_cold_ ? inputs_.warm_up.admission(target.id, now_) : WarmUpAdmission::kUnrestricted;
    if (admission == WarmUpAdmission::kOtherSlot) {
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
    // In its time slot a target that is warming up gets no penalty: the budget already limits its
    // load.
    if (admission == WarmUpAdmission::kOwnSlot) {
      load /= policy_.cold_penalty;
    }
    return quantizes_load_ ? std::floor(load / policy_.load_step) : load;
  }

  [[nodiscard]] double weight_of(const RegisteredTarget& target, WarmUpAdmission admission) const {
    const double weight = inputs_.scores.preference(target);
    const bool has_time_slot = admission == WarmUpAdmission::kOwnSlot;
    return has_time_slot ? weight * inputs_.warm_up.slot_weight(target.id) : weight;
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
  absl::erase_if(sequences_,
                 [&](const auto& entry) { return view.frontend(entry.first) == nullptr; });
}

std::uint32_t FlowPlacement::next_pool(const FrontendView& frontend) {
  const std::uint64_t start = rendezvous_score(packed(frontend.address), 0, seed_ ^ kPoolSalt);
  PoolSequence& sequence = sequences_.try_emplace(frontend.address, start).first->second;
  return frontend.shares[sequence.next(frontend.shares)].pool;
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
    // Falls back to the avoided target.
    return place(inputs, frontend, packet, 0, now);
  }
  count_rejection(inputs, frontend, now);
  return nullptr;
}

void FlowPlacement::count_rejection(const PlacementInputs& inputs, const FrontendView& frontend,
                                    Instant now) {
  const auto lacks_time_slot = [&](const RegisteredTarget* target) {
    return inputs.warm_up.admission(target->id, now) == WarmUpAdmission::kOtherSlot;
  };
  const bool has_cold =
      std::any_of(frontend.shares.begin(), frontend.shares.end(), [&](const PoolShare& share) {
        const auto& targets = inputs.view.pool_targets(share.pool);
        return share.weight > 0 && std::any_of(targets.begin(), targets.end(), lacks_time_slot);
      });
  if (has_cold) {
    inputs.warm_up.on_rejected();
  }
}

double FlowPlacement::typical_response_us(const PlacementInputs& inputs, std::uint32_t pool,
                                          Instant now) {
  std::vector<double> samples;
  inputs.scores.visit_responsive(now, [&](TargetId id, double answer_us) {
    if (inputs.view.is_in_pool(id, pool)) {
      samples.push_back(answer_us);
    }
  });
  if (samples.empty()) {
    return 0;
  }
  // Lower median: with two targets, the faster one.
  const auto middle = samples.begin() + static_cast<std::ptrdiff_t>((samples.size() - 1) / 2);
  std::nth_element(samples.begin(), middle, samples.end());
  return *middle;
}

const RegisteredTarget* FlowPlacement::best_target(const PlacementInputs& inputs,
                                                   std::uint32_t pool, const ClientPacket& packet,
                                                   TargetId avoided, Instant now) {
  const std::vector<const RegisteredTarget*>& targets = inputs.view.pool_targets(pool);
  const CandidateScan scan(inputs, policy_, typical_response_us(inputs, pool, now),
                           packed(packet.flow.client) ^ seed_, avoided, now);
  const auto sample = static_cast<std::size_t>(policy_.sample);
  const bool is_sampled = sample > 0 && targets.size() > sample;
  ScanResult choice;
  if (is_sampled) {
    // The sample is spread over the list, since adjacent targets often started together and may
    // warm up or fail together.
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
  // The operator's limit on new flows is strict: an overloaded target that is warming up responds
  // late to all its clients, while a rejected client can retry through another balancer.
  if (choice.best == nullptr || choice.rank.impairment == Impairment::kUnreachable) {
    return nullptr;
  }
  inputs.warm_up.on_skipped();
  return choice.best;
}

}  // namespace gorsevalve
