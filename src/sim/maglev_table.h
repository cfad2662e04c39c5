/// Lookup table of the Maglev load balancer, for the baselines. Source: Eisenbud et al., "Maglev: a
/// fast and reliable software network load balancer" (NSDI 2016), section 3.4.
#pragma once

#include <cstdint>
#include <vector>

namespace gorsevalve {

/// Entries of the table; a prime well above the number of targets.
constexpr std::uint32_t kMaglevTableSize = 4093;

/// Gives, for each entry, the index of the target that it belongs to. Targets are given by keys
/// that identify them; the table is empty when there are none.
std::vector<std::uint32_t> make_maglev_table(const std::vector<std::uint64_t>& keys);

}  // namespace gorsevalve
