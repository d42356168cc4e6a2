#include "src/discovery/discovery_events.h"

#include <gtest/gtest.h>

#include <sstream>

namespace puffinvane {
namespace {

TEST(DiscoveryEvents, ContainTheStatusOfAFailedCall) {
  std::ostringstream output;
  Log log(output, Level::Warning);

  log_call_failed(log, "127.0.0.1:5000", {CallFailed::Reason::HttpStatus, 503});

  EXPECT_EQ(output.str(),
            "warning: discovery.call_failed address=127.0.0.1:5000 reason=http_status status=503\n");
}

TEST(DiscoveryEvents, ContainTheFaultAndTheFieldOfARejectedList) {
  std::ostringstream output;
  Log log(output, Level::Warning);

  log_list_rejected(log, "127.0.0.1:5000", {ListFault::MissingEntryField, "status"});

  EXPECT_EQ(
      output.str(),
      "warning: discovery.list_rejected address=127.0.0.1:5000 reason=missing_entry_field where=status\n");
}

}  // namespace
}  // namespace puffinvane
