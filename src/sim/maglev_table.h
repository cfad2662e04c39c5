/// Maglev lookup table for the baselines. Source: Eisenbud et al., "Maglev: A Fast and Reliable
/// Software Network Load Balancer" (NSDI 2016), section 3.4.
#pragma once

#include <cstdint>
#include <vector>

namespace gorsevalve {

/// Number of table entries: a prime much larger than the number of targets.
constexpr std::uint32_t kMaglevTableSize = 4093;

/// Returns the target index of each entry. `keys` identify the targets; the table is empty when
/// there are no targets.
std::vector<std::uint32_t> make_maglev_table(const std::vector<std::uint64_t>& keys);

}  // namespace gorsevalve
