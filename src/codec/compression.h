/// Compression of large message bodies by zlib (RFC 1950), behind the size of the plain body.
#pragma once

#include <optional>

#include "model/bytes.h"

namespace gorsevalve {

/// Smaller bodies go as they are: little is gained.
constexpr std::size_t kMinBodySizeToCompress = 1024;

Bytes compress(ByteView plain);

/// Nothing when the input is damaged, or claims more than `max_size` octets.
std::optional<Bytes> decompress(ByteView compressed, std::size_t max_size);

}  // namespace gorsevalve
