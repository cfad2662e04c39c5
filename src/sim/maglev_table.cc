#include "sim/maglev_table.h"

#include <xxhash.h>

namespace gorsevalve {
namespace {

constexpr std::uint32_t kEmptyEntry = 0xFFFFFFFF;
constexpr std::uint64_t kOffsetSeed = 1;
constexpr std::uint64_t kSkipSeed = 2;

}  // namespace

std::vector<std::uint32_t> make_maglev_table(const std::vector<std::uint64_t>& keys) {
  if (keys.empty()) {
    return {};
  }
  std::vector<std::uint32_t> position;
  std::vector<std::uint32_t> skip;
  for (const std::uint64_t key : keys) {
    position.push_back(static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(&key, sizeof(key), kOffsetSeed) % kMaglevTableSize));
    skip.push_back(static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(&key, sizeof(key), kSkipSeed) % (kMaglevTableSize - 1) + 1));
  }
  std::vector<std::uint32_t> table(kMaglevTableSize, kEmptyEntry);
  std::uint32_t filled = 0;
  while (true) {
    for (std::uint32_t i = 0; i < keys.size(); ++i) {
      while (table[position[i]] != kEmptyEntry) {
        position[i] = (position[i] + skip[i]) % kMaglevTableSize;
      }
      table[position[i]] = i;
      if (++filled == kMaglevTableSize) {
        return table;
      }
    }
  }
}

}  // namespace gorsevalve
