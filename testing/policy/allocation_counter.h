// Counts the bytes requested from operator new, a measure of the cost of an operation that does not depend on
// the machine. Linking allocation_counter.cpp replaces operator new of the test program.
#pragma once

#include <cstddef>

namespace puffinvane::test {

// Bytes requested since the process started, including those that have been freed.
std::size_t allocated_bytes();

}  // namespace puffinvane::test
