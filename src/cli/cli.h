// The command line of puffinvane: serve, check, format, diff, explain, fleet. Exit codes: 0 success; 1 a
// negative result (a site with faults, two sites that differ, a request that no route takes, members that
// disagree); 2 usage errors, and files or processes that can't be read.
#pragma once

namespace puffinvane::cli {

int run(int argc, char** argv);

}  // namespace puffinvane::cli
