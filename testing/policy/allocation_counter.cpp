#include "testing/policy/allocation_counter.h"

#include <cstdlib>
#include <new>

namespace {
std::size_t allocated = 0;
}  // namespace

// Not inlined: the compiler would otherwise warn about a mismatched pair of malloc and delete.
[[gnu::noinline]] void* operator new(std::size_t size) {
  allocated += size;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept { std::free(memory); }

std::size_t puffinvane::test::allocated_bytes() { return allocated; }
