// Checks the metrics of a sidecar that do not depend on the machine, with a list of 3,200 endpoints compared
// with one of 200.
#undef NDEBUG
#include "tools/load_test/scale/scale.h"

#include <cassert>
#include <csignal>
#include <cstdio>

using namespace load_test;

namespace {

// Guards against requesting the full list every 2 s, which took 2.5 MB in 10 s where 2 MB are allowed.
void machine_independent_metrics_stay_within_bounds(const std::string& program) {
  ScalePlan plan;
  plan.command = program;
  plan.endpoints = {200, 3200};
  plan.seconds = 11;
  plan.parallel = true;
  std::vector<ScaleMetrics> runs = measure_scale(plan);
  for (const ScaleBound& bound : scale_bounds(runs.front(), runs.back())) {
    bool machine_dependent = bound.what.starts_with("CPU") || bound.what.starts_with("peak memory");
    std::printf("%s: %.2f, bound %.2f\n", bound.what.c_str(), bound.measured, bound.bound);
    assert(machine_dependent || bound.holds());
  }
  // Much stricter than the bound: after the first list only changes are sent.
  assert(runs.back().full_lists <= 2);
}

}  // namespace

int main(int argc, char** argv) {
  setvbuf(stdout, nullptr, _IOLBF, 0);
  assert(argc == 2);
  std::signal(SIGPIPE, SIG_IGN);
  machine_independent_metrics_stay_within_bounds(argv[1]);
  std::puts("scale: all bounds hold");
}
