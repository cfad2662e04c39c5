#include "codec/compression.h"

#include <zlib.h>

#include <cstring>

namespace gorsevalve {
namespace {

/// Size of the field with the uncompressed size (little endian), in bytes.
constexpr std::size_t kSizeField = 4;
/// zlib's fastest level.
constexpr int kZlibLevel = 1;
/// Upper bound of uncompressed to compressed size (zlib reaches about 1032).
constexpr std::size_t kMaxExpansionRatio = 1100;

}  // namespace

Bytes compress(ByteView plain) {
  uLongf size = ::compressBound(plain.size());
  Bytes out(kSizeField + size);
  const auto plain_size = static_cast<std::uint32_t>(plain.size());
  std::memcpy(out.data(), &plain_size, kSizeField);
  ::compress2(out.data() + kSizeField, &size, plain.data(), plain.size(), kZlibLevel);
  out.resize(kSizeField + size);
  return out;
}

std::optional<Bytes> decompress(ByteView compressed, std::size_t max_size) {
  std::uint32_t plain_size = 0;
  if (compressed.size() < kSizeField) {
    return std::nullopt;
  }
  std::memcpy(&plain_size, compressed.data(), kSizeField);
  if (plain_size > max_size || plain_size > compressed.size() * kMaxExpansionRatio) {
    return std::nullopt;
  }
  Bytes plain(plain_size);
  uLongf size = plain_size;
  const ByteView body = compressed.subspan(kSizeField);
  const int result = ::uncompress(plain.data(), &size, body.data(), body.size());
  if (result != Z_OK || size != plain_size) {
    return std::nullopt;
  }
  return plain;
}

}  // namespace gorsevalve
