// Included after all other headers by tests that use assert(): keeps assert() in Release builds.
#pragma once

#undef NDEBUG
#include <cassert>
