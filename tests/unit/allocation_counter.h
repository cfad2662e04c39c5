/// Counts heap allocations of the test program, which replaces the allocation functions.
#pragma once

#include <cstdint>

namespace gorsevalve {

/// Number of allocations since the start.
std::uint64_t allocation_count();

}  // namespace gorsevalve
