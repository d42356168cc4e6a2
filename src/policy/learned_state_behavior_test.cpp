// What a policy that takes another's place has learned from it.
#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

constexpr int kRequests = 8;

// A predecessor that has ejected "a0", and two hosts of the same age with the same endpoints: a successor
// with its learned state and a stranger without.
class LearnedStateOfPredecessor : public testing::Test {
 protected:
  LearnedStateOfPredecessor() {
    eject_a0(predecessor_);
    attempts_to_a0_before_ejection_ = predecessor_.attempts_sent_to("a0", predecessor_.now_s());
    for (FakeHost* host : {&successor_, &stranger_}) {
      host->set_now(predecessor_.now_s());
      host->list_ready_endpoints(4);
    }
    successor_.import_learned_state_of(predecessor_, 1);
  }

  // Returns how many of the host's first requests went to "a0"; all are answered at once.
  static int serve_first_requests(FakeHost& host) {
    host.receive_many(kRequests);
    int sent_to_a0 = host.attempts_sent_to("a0");
    for (std::size_t i = 0; i < kRequests; ++i) host.end_attempt(host.sent()[i], Outcome::Delivered);
    return sent_to_a0;
  }

  FakeHost predecessor_{deployment()};
  FakeHost successor_{deployment()};
  FakeHost stranger_{deployment()};
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
  EXPECT_GT(serve_first_requests(stranger_), 0);
}

TEST_F(LearnedStateOfPredecessor, HedgesByInheritedLatencies) {
  for (FakeHost* host : {&successor_, &stranger_}) {
    serve_first_requests(*host);
    RequestId late = host->receive();
    host->run_for(0.1);

    EXPECT_EQ(host->attempt_count(late), host == &successor_ ? 2 : 1);
  }
}

}  // namespace
}  // namespace puffinvane::test
