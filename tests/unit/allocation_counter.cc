#include "allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0};

}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) {  // NOLINT: this is the allocation function
    return memory;
  }
  throw std::bad_alloc();
}
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  ++allocations;
  return std::malloc(size);  // NOLINT: this is the allocation function
}
void operator delete(void* memory) noexcept { std::free(memory); }               // NOLINT
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }  // NOLINT

namespace gorsevalve {

std::uint64_t allocation_count() { return allocations; }

}  // namespace gorsevalve
