#include "tasks/random_number.h"

#include <random>

namespace gorsevalve {

std::uint64_t random_number() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace gorsevalve
