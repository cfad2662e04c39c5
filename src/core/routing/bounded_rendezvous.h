/// Rendezvous hashing with bounded loads: assigns numbered slots to weighted candidates so that
/// each candidate gets its share, rounded to whole slots. The result depends on the candidates
/// only, not on earlier assignments, so every process that knows the same candidates computes the
/// same table, and the table is neither sent nor stored. Sources: Thaler and Ravishankar, "Using
/// name-based mappings to increase hit rates" (1998); Mirrokni, Thorup and Zadimoghaddam,
/// "Consistent hashing with bounded loads" (2018).
#pragma once

#include <cstdint>
#include <vector>

namespace gorsevalve {

/// A candidate for slots.
struct RendezvousCandidate {
  /// Identity from which the scores are derived.
  std::uint64_t key = 0;
  /// Relative share; 0 means that the candidate gets no slot.
  std::uint32_t weight = 0;
};

/// Index that marks a slot as unassigned.
constexpr std::uint32_t kUnassigned = 0xFFFFFFFF;

/// Returns the index of the candidate for each of `slot_count` slots, or kUnassigned for all slots
/// when every weight is 0. `salt` separates independent tables.
std::vector<std::uint32_t> assign_slots(const std::vector<RendezvousCandidate>& candidates,
                                        std::uint32_t slot_count, std::uint64_t salt);

/// Score of a candidate for a slot, uniform over 64 bits: the SplitMix64 finalizer (Steele, Lea and
/// Flood, "Fast splittable pseudorandom number generators", 2014) over key, salt and slot.
std::uint64_t rendezvous_score(std::uint64_t key, std::uint32_t slot, std::uint64_t salt);

}  // namespace gorsevalve
