// `puffinvane fleet show|watch`: what a member's admin API tells of the fleet, and whether the others' say
// the same.
#pragma once

#include <string>

namespace puffinvane::cli {

// 0: all that could be asked hold one view; 1: some hold another, or can't be asked; 2: not even this one
// can.
int show_fleet(const std::string& admin, bool as_json);
// What changes, a line each, until it is ended or the admin API can't be asked.
int watch_fleet(const std::string& admin);

}  // namespace puffinvane::cli
