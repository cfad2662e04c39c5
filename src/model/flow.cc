#include "model/flow.h"

#include <xxhash.h>

#include <array>

namespace gorsevalve {
namespace {

constexpr std::uint64_t kAlternativeSeed = 0x9E3779B97F4A7C15ULL;

std::uint64_t seeded_hash(const FlowKey& flow, std::uint64_t seed) {
  const std::array<std::uint64_t, 2> words = {packed(flow.client), packed(flow.service)};
  return XXH3_64bits_withSeed(words.data(), sizeof(words), seed);
}

}  // namespace

std::uint64_t flow_hash(const FlowKey& flow) { return seeded_hash(flow, 0); }

std::uint64_t flow_hash_alternative(const FlowKey& flow) {
  return seeded_hash(flow, kAlternativeSeed);
}

}  // namespace gorsevalve
