// What a policy learns from the policy that it replaces.
#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

constexpr int kRequests = 8;

// A predecessor has ejected "a0". Two new policies get the same endpoint list: `successor_` imports the
// learned state of the predecessor, `untrained_` does not.
class LearnedStateOfPredecessor : public testing::Test {
 protected:
  LearnedStateOfPredecessor() {
    eject_a0(predecessor_);
    attempts_to_a0_before_ejection_ = predecessor_.attempts_sent_to("a0", predecessor_.now_s());
    for (FakeHost* host : {&successor_, &untrained_}) {
      host->set_now(predecessor_.now_s());
      host->list_ready_endpoints(4);
    }
    successor_.import_learned_state_of(predecessor_, 1);
  }

  // Receives the first requests of the host, which are all answered at once. Returns how many went to "a0".
  static int serve_first_requests(FakeHost& host) {
    host.receive_many(kRequests);
    int sent_to_a0 = host.attempts_sent_to("a0");
    for (std::size_t i = 0; i < kRequests; ++i) host.end_attempt(host.sent()[i], Outcome::Delivered);
    return sent_to_a0;
  }

  FakeHost predecessor_{deployment()};
  FakeHost successor_{deployment()};
  FakeHost untrained_{deployment()};
  int attempts_to_a0_before_ejection_ = 0;

 private:
  static void eject_a0(FakeHost& host) {
    host.list_ready_endpoints(4);
    host.serve_requests(40, 0.01);
    host.receive_many(kRequests);
    for (const SentAttempt& attempt : host.sent_from(host.sent().size() - kRequests)) {
      host.end_attempt(attempt, attempt.endpoint == "a0" ? Outcome::Broken : Outcome::Delivered);
    }
  }
};

TEST_F(LearnedStateOfPredecessor, KeepsEndpointEjected) {
  ASSERT_GT(attempts_to_a0_before_ejection_, 0);

  EXPECT_EQ(serve_first_requests(successor_), 0);
  EXPECT_GT(serve_first_requests(untrained_), 0);
}

TEST_F(LearnedStateOfPredecessor, HedgesByImportedLatencies) {
  for (FakeHost* host : {&successor_, &untrained_}) {
    serve_first_requests(*host);
    RequestId late = host->receive();
    host->run_for(0.1);

    EXPECT_EQ(host->attempt_count(late), host == &successor_ ? 2 : 1);
  }
}

}  // namespace
}  // namespace puffinvane::test
