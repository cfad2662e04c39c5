/// Random numbers that differ between processes and between their lives.
#pragma once

#include <cstdint>

namespace gorsevalve {

/// A number from the operating system's generator.
std::uint64_t random_number();

}  // namespace gorsevalve
