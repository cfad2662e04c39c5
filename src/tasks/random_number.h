/// Random numbers that differ between processes and restarts.
#pragma once

#include <cstdint>

namespace gorsevalve {

/// A random number from the operating system.
std::uint64_t random_number();

}  // namespace gorsevalve
