// State that all stand-ins of a run share.
#pragma once

#include <cstdio>
#include <string>

#include "tools/load_test/invariants/event.h"
#include "tools/load_test/loop/connection.h"
#include "tools/load_test/loop/event_loop.h"
#include "tools/load_test/scenario/random_source.h"

namespace load_test {

struct RunContext {
  EventLoop& loop;
  const Scenario& scenario;
  Observer& observer;
  // For random events during the run; arrivals are generated in advance.
  RandomSource random;
  std::uint64_t last_request = 0;

  std::string new_request_id() {
    char id[24];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(++last_request * 0x9e3779b97f4a7c15u));
    return id;
  }
  void report(Event event) {
    event.at = loop.now();
    event.earliest = loop.earliest_event_time();
    observer.observe(event);
  }
  // The time of the load test's own actions is known exactly.
  void report_action(Event event) {
    event.at = event.earliest = loop.now();
    observer.observe(event);
  }
};

}  // namespace load_test
