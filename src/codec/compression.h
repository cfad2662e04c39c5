/// Compression of large message bodies with zlib (RFC 1950), prefixed with the uncompressed size.
#pragma once

#include <optional>

#include "model/bytes.h"

namespace gorsevalve {

/// Smaller bodies are sent uncompressed, since compression gains little.
constexpr std::size_t kMinBodySizeToCompress = 1024;

Bytes compress(ByteView plain);

/// Returns nothing when the input is damaged or its uncompressed size exceeds `max_size` bytes.
std::optional<Bytes> decompress(ByteView compressed, std::size_t max_size);

}  // namespace gorsevalve
