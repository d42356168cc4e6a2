// Tests that check by assert() include this after all other headers: it keeps assert() in Release builds.
#pragma once

#undef NDEBUG
#include <cassert>
