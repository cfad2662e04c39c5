/// Seeded random number generator; all random choices of a run come from one instance.
#pragma once

#include <cstdint>
#include <random>

#include "model/time.h"

namespace gorsevalve {

class SimRandom {
 public:
  explicit SimRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t next() { return engine_(); }
  /// Uniform over [0, bound).
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(engine_() % bound); }
  bool chance(double probability) {
    constexpr double kScale = 1.0 / 18446744073709551616.0;
    return static_cast<double>(engine_()) * kScale < probability;
  }
  /// Uniform over [low, high].
  Duration between(Duration low, Duration high) {
    const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + Duration(static_cast<std::int64_t>(engine_() % span));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace gorsevalve
