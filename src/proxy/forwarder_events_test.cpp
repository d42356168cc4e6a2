// The fields of the forwarder's log events.
#include "src/proxy/forwarder_events.h"

#include <gtest/gtest.h>

#include <sstream>

namespace puffinvane {
namespace {

constexpr LoggedAttempt kAttempt{.request_id = "r1", .number = 2, .endpoint = "a"};

TEST(ForwarderEvents, ContainTheIndexAndTheChangesOfAnAppliedList) {
  std::ostringstream output;
  Log log(output, Level::Info);

  log_list_applied(log, 15, {.ready = 3, .draining = 2, .removed = 1}, 12);

  EXPECT_EQ(output.str(), "info: endpoint_list.applied index=15 ready=3 draining=2 removed=1 listed=12\n");
}

TEST(ForwarderEvents, ContainTheStatusOfAChangedEntry) {
  std::ostringstream output;
  Log log(output, Level::Debug);
  ListEntry entry;
  entry.endpoint = "a";
  entry.state = ListedState::Removed;

  log_entry_applied(log, 15, entry);

  EXPECT_EQ(output.str(), "debug: endpoint_list.entry index=15 endpoint=a status=left\n");
}

TEST(ForwarderEvents, ContainTheListThatAnAttemptWasStartedBy) {
  std::ostringstream output;
  Log log(output, Level::Debug);

  log_attempt_started(log, kAttempt, 15, 0.25);

  EXPECT_EQ(output.str(),
            "debug: attempt.started request=r1 number=2 endpoint=a list_index=15 list_age_s=0.25\n");
}

TEST(ForwarderEvents, ContainTheStagesOfAnAttemptAndTheEndOfItsRequest) {
  std::ostringstream output;
  Log log(output, Level::Debug);

  log_attempt_writing(log, kAttempt, 0.5);
  log_attempt_ended(log, kAttempt, Outcome::ConnectFailed, 0.75);
  log_request_ended(log, "r1", 503, 3);

  EXPECT_EQ(output.str(),
            "debug: attempt.writing request=r1 number=2 endpoint=a started_before_s=0.5\n"
            "debug: attempt.ended request=r1 number=2 endpoint=a outcome=connect_failed latency_s=0.75\n"
            "debug: request.ended request=r1 status=503 attempts=3\n");
}

TEST(ForwarderEvents, OfSingleRequestsAreForDebuggingOnly) {
  std::ostringstream output;
  Log log(output, Level::Info);

  log_attempt_started(log, kAttempt, 15, 0.25);
  log_attempt_writing(log, kAttempt, 0.5);
  log_attempt_ended(log, kAttempt, Outcome::Delivered, 0.75);
  log_request_ended(log, "r1", 200, 3);
  log_id_refused(log, "r1");

  EXPECT_EQ(output.str(), "");
}

TEST(ForwarderEvents, TellHowFarAResponseWasThatIsGivenUp) {
  std::ostringstream output;
  Log log(output, Level::Info);
  RelayProgress progress;
  progress.received_bytes = 48'000;
  progress.silent_s = 0.75;
  progress.overdue_s = 0.5;

  log_response_given_up(log, "r1", progress);

  EXPECT_EQ(output.str(),
            "info: response.given_up request=r1 received_bytes=48000 declared_bytes=0 silent_s=0.75 "
            "overdue_s=0.5\n");
}

}  // namespace
}  // namespace puffinvane
