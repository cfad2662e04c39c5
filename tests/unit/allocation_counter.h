/// Counts the heap allocations of the test program, whose allocation functions are replaced.
#pragma once

#include <cstdint>

namespace gorsevalve {

/// Allocations so far.
std::uint64_t allocation_count();

}  // namespace gorsevalve
