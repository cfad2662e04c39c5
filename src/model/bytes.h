/// Types for byte sequences.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace gorsevalve {

/// Owned byte sequence.
using Bytes = std::vector<std::uint8_t>;
/// Borrowed, read-only byte sequence.
using ByteView = std::span<const std::uint8_t>;

}  // namespace gorsevalve
