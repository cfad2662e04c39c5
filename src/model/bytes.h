/// Byte sequences used at every boundary of the system.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace gorsevalve {

/// An owned sequence of octets.
using Bytes = std::vector<std::uint8_t>;
/// A borrowed, read-only sequence of octets.
using ByteView = std::span<const std::uint8_t>;

}  // namespace gorsevalve
