// puffinvane_baseline NAME: the sidecar with other decisions, for comparison.
#include <iostream>

#include "src/server/run.h"
#include "tools/load_test/baselines/baselines.h"

int main(int count, char** words) {
  for (const load_test::Baseline& one : load_test::baselines()) {
    if (count == 2 && words[1] == std::string_view(one.name)) return puffinvane::run_sidecar(one.make);
  }
  std::cerr << "puffinvane_baseline NAME, one of:";
  for (const load_test::Baseline& one : load_test::baselines()) std::cerr << " " << one.name;
  std::cerr << std::endl;
  return 2;
}
