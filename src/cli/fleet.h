// `puffinvane fleet show` and `puffinvane fleet watch`: the fleet as a member's admin API reports it, and
// whether the other members have the same view.
#pragma once

#include <string>

namespace puffinvane::cli {

// Returns 0 if all live members have one view, 1 if some have another or don't answer, 2 if this member
// doesn't answer.
int show_fleet(const std::string& admin, bool as_json);
// Prints each change on a line until the process is ended or the admin API doesn't answer.
int watch_fleet(const std::string& admin);

}  // namespace puffinvane::cli
