#include "src/discovery/discovery_events.h"

#include <gtest/gtest.h>

#include <sstream>

namespace puffinvane {
namespace {

constexpr LoggedCall kCall{.address = "127.0.0.1:5000", .held_index = 9, .since_s = 0.25};

TEST(DiscoveryEvents, ContainTheHeldIndexOfAnUnansweredCall) {
  std::ostringstream output;
  Log log(output, Level::Info);

  log_call_unanswered(log, kCall, "awaiting_response");

  EXPECT_EQ(output.str(),
            "info: discovery.call_unanswered address=127.0.0.1:5000 state=awaiting_response held_index=9 "
            "since_s=0.25\n");
}

TEST(DiscoveryEvents, ContainTheIndexAndTheLengthOfAReceivedListOnlyForDebugging) {
  std::ostringstream debug_output;
  std::ostringstream info_output;
  Log debug_log(debug_output, Level::Debug);
  Log info_log(info_output, Level::Info);
  EndpointList list;
  list.index = 15;
  list.is_snapshot = true;
  list.entries.resize(2);

  log_list_received(debug_log, kCall, list);
  log_list_received(info_log, kCall, list);

  EXPECT_EQ(debug_output.str(),
            "debug: discovery.list_received address=127.0.0.1:5000 index=15 snapshot=1 entries=2 "
            "since_s=0.25\n");
  EXPECT_EQ(info_output.str(), "");
}

TEST(DiscoveryEvents, ContainTheTargetAndTheScopeOfACall) {
  std::ostringstream output;
  Log log(output, Level::Debug);

  log_call_sent(log, kCall, CallScope::FullList, "/v1/servers");
  log_call_sent(log, kCall, CallScope::Changes, "/v1/servers?watch=1&after=9");

  EXPECT_EQ(
      output.str(),
      "debug: discovery.call_sent address=127.0.0.1:5000 target=/v1/servers scope=full_list held_index=9\n"
      "debug: discovery.call_sent address=127.0.0.1:5000 target=\"/v1/servers?watch=1&after=9\" "
      "scope=changes held_index=9\n");
}

TEST(DiscoveryEvents, ContainTheEventAndTheStateOfACall) {
  std::ostringstream output;
  Log log(output, Level::Debug);

  log_call_event(log, kCall, "timed_out", "watching");

  EXPECT_EQ(output.str(),
            "debug: discovery.call_event address=127.0.0.1:5000 event=timed_out state=watching held_index=9 "
            "since_s=0.25\n");
}

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
