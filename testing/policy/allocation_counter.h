// Counts what the process asks operator new for: the cost of an operation, whatever the machine. A test
// program that links allocation_counter.cpp has its operator new replaced.
#pragma once

#include <cstddef>

namespace puffinvane::test {

// Bytes requested since the process started, freed ones included.
std::size_t allocated_bytes();

}  // namespace puffinvane::test
