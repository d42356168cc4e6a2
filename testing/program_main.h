// The main function of GoogleTest programs whose one argument is the path of the program under test.
#pragma once

#include <gtest/gtest.h>

#include <csignal>

#include "testing/sidecar_process.h"

namespace puffinvane::test {

inline int run_tests_of_program(int count, char** words) {
  testing::InitGoogleTest(&count, words);
  if (count != 2) return 2;
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  return RUN_ALL_TESTS();
}

}  // namespace puffinvane::test
