#include "core/routing/bounded_rendezvous.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <queue>

namespace gorsevalve {
namespace {

constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;

/// The SplitMix64 finalizer.
constexpr std::uint64_t mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

/// Number of slots per candidate: its share, rounded by the largest remainder method.
std::vector<std::uint32_t> quotas(const std::vector<RendezvousCandidate>& candidates,
                                  std::uint32_t slot_count, std::uint64_t total_weight) {
  struct Remainder {
    std::uint64_t fraction;
    std::uint64_t key;
    std::size_t index;
  };
  std::vector<std::uint32_t> result(candidates.size());
  std::vector<Remainder> remainders;
  std::uint32_t assigned = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t scaled = std::uint64_t{candidates[i].weight} * slot_count;
    result[i] = static_cast<std::uint32_t>(scaled / total_weight);
    assigned += result[i];
    if (candidates[i].weight > 0) {
      remainders.push_back({scaled % total_weight, candidates[i].key, i});
    }
  }
  std::sort(remainders.begin(), remainders.end(), [](const Remainder& a, const Remainder& b) {
    return a.fraction != b.fraction ? a.fraction > b.fraction : a.key < b.key;
  });
  for (std::size_t i = 0; assigned < slot_count; ++i, ++assigned) {
    ++result[remainders[i % remainders.size()].index];
  }
  return result;
}

/// Proposal of a slot to a candidate, ordered by score.
struct Proposal {
  std::uint64_t score = 0;
  std::uint32_t slot = 0;

  friend auto operator<=>(const Proposal&, const Proposal&) = default;
};

using LowestScoreFirst = std::priority_queue<Proposal, std::vector<Proposal>, std::greater<>>;

/// Deferred acceptance (Gale and Shapley, 1962): each slot proposes to its candidates from the best
/// score down, and a full candidate keeps the proposals with the highest scores. Both sides rank by
/// the same score, so the stable assignment is unique.
class DeferredAcceptance {
 public:
  DeferredAcceptance(const std::vector<RendezvousCandidate>& candidates,
                     std::vector<std::uint32_t> quota, std::uint32_t slot_count, std::uint64_t salt)
      : candidates_(candidates),
        quota_(std::move(quota)),
        held_(candidates.size()),
        assignment_(slot_count, kUnassigned),
        salt_(salt) {}

  std::vector<std::uint32_t> run() {
    for (std::uint32_t slot = 0; slot < assignment_.size(); ++slot) {
      place(slot);
    }
    return std::move(assignment_);
  }

 private:
  /// Places a slot, and then each slot that is displaced in turn.
  void place(std::uint32_t slot) {
    std::optional<Proposal> unplaced = Proposal{kNoBound, slot};
    while (unplaced) {
      unplaced = propose(unplaced->slot, unplaced->score);
    }
  }

  /// Proposes to candidates whose score is below `bound`, best first, until one accepts. Returns
  /// the proposal that this displaces; its score is the bound for the next proposals of its slot.
  std::optional<Proposal> propose(std::uint32_t slot, std::uint64_t bound) {
    while (true) {
      const std::uint32_t best = best_below(slot, bound);
      const Proposal claim{rendezvous_score(candidates_[best].key, slot, salt_), slot};
      LowestScoreFirst& held = held_[best];
      if (held.size() < quota_[best]) {
        accept(best, claim);
        return std::nullopt;
      }
      if (claim > held.top()) {
        const Proposal displaced = held.top();
        held.pop();
        accept(best, claim);
        return displaced;
      }
      bound = claim.score;
    }
  }

  void accept(std::uint32_t candidate, const Proposal& claim) {
    held_[candidate].push(claim);
    assignment_[claim.slot] = candidate;
  }

  [[nodiscard]] std::uint32_t best_below(std::uint32_t slot, std::uint64_t bound) const {
    std::uint32_t best = kUnassigned;
    std::uint64_t best_score = 0;
    for (std::uint32_t i = 0; i < candidates_.size(); ++i) {
      if (quota_[i] == 0) {
        continue;
      }
      const std::uint64_t score = rendezvous_score(candidates_[i].key, slot, salt_);
      if (score < bound && (best == kUnassigned || score > best_score)) {
        best_score = score;
        best = i;
      }
    }
    return best;
  }

  static constexpr std::uint64_t kNoBound = ~std::uint64_t{0};

  const std::vector<RendezvousCandidate>& candidates_;
  std::vector<std::uint32_t> quota_;
  std::vector<LowestScoreFirst> held_;
  std::vector<std::uint32_t> assignment_;
  std::uint64_t salt_;
};

}  // namespace

std::uint64_t rendezvous_score(std::uint64_t key, std::uint32_t slot, std::uint64_t salt) {
  return mix(mix(key ^ salt) + (slot + 1) * kGoldenRatio);
}

std::vector<std::uint32_t> assign_slots(const std::vector<RendezvousCandidate>& candidates,
                                        std::uint32_t slot_count, std::uint64_t salt) {
  const std::uint64_t total_weight = std::accumulate(
      candidates.begin(), candidates.end(), std::uint64_t{0},
      [](std::uint64_t sum, const RendezvousCandidate& c) { return sum + c.weight; });
  if (total_weight == 0) {
    return std::vector<std::uint32_t>(slot_count, kUnassigned);
  }
  return DeferredAcceptance(candidates, quotas(candidates, slot_count, total_weight), slot_count,
                            salt)
      .run();
}

}  // namespace gorsevalve
