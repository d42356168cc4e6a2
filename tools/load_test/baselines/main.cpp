// puffinvane_baseline NAME: runs the sidecar with a baseline policy in place of its own, for comparisons.
#include <iostream>

#include "src/server/run.h"
#include "tools/load_test/baselines/baselines.h"

int main(int argc, char** argv) {
  for (const load_test::Baseline& baseline : load_test::baselines()) {
    if (argc == 2 && argv[1] == std::string_view(baseline.name))
      return puffinvane::run_sidecar(baseline.make_policy);
  }
  std::cerr << "puffinvane_baseline NAME, one of:";
  for (const load_test::Baseline& baseline : load_test::baselines()) std::cerr << " " << baseline.name;
  std::cerr << std::endl;
  return 2;
}
