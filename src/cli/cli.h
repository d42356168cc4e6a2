// puffinvane's command line: serve, check, format, diff, explain, fleet. Exit codes: 0 it is so, 1 it is not
// (a site with faults, two that differ, a request that no route takes), 2 it could not be told (usage,
// files).
#pragma once

namespace puffinvane::cli {

int run(int count, char** words);

}  // namespace puffinvane::cli
