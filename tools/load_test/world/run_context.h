// What all stand-ins of one run share.
#pragma once

#include <cstdio>
#include <string>

#include "tools/load_test/invariants/event.h"
#include "tools/load_test/loop/connection.h"
#include "tools/load_test/loop/event_loop.h"
#include "tools/load_test/scenario/random_source.h"

namespace load_test {

struct World {
  Loop& loop;
  const Scenario& scenario;
  Observer& observer;
  Chance chance;  // of what happens while it runs; what comes is drawn ahead
  std::uint64_t last_request = 0;

  std::string new_request_id() {
    char id[24];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(++last_request * 0x9e3779b97f4a7c15u));
    return id;
  }
  void see(Event event) {
    event.at = loop.now();
    event.since = loop.since();
    observer.observe(event);
  }
  // What the load test did itself it knows to the moment.
  void did(Event event) {
    event.at = event.since = loop.now();
    observer.observe(event);
  }
};

}  // namespace load_test
