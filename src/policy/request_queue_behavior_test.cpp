// How long requests are queued for lack of an endpoint or of capacity, and what ends their time in the queue.
#include <gtest/gtest.h>

#include <vector>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

TEST(RequestQueue, RejectsRequestWithoutAnyEndpointBeforeItsDeadline) {
  FakeHost host{deployment()};
  RequestId request = host.receive(request_of_class("mutating").due_in(4));

  host.run_for(1);

  EXPECT_EQ(host.rejected(), std::vector<RequestId>{request});
}

TEST(RequestQueue, RejectsAtOnceIfAllEndpointsAreDraining) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.list_endpoints({endpoint("a0").draining(), endpoint("a1").draining()});

  RequestId request = host.receive();

  EXPECT_EQ(host.sent().size(), 0U);
  EXPECT_EQ(host.rejected(), std::vector<RequestId>{request});
}

// Guards against: an attempt is sent for a request whose time is up, cancelled at once, and may have run.
TEST(RequestQueue, RejectsAtOnceIfNoTimeIsLeftForAnAttempt) {
  const Deployment settings = deployment();
  FakeHost host{settings};
  host.list_ready_endpoints(2);

  RequestId request = host.receive(request_of_class("mutating").due_in(2 * settings.round_trip_s));

  EXPECT_EQ(host.sent().size(), 0U);
  EXPECT_EQ(host.rejected(), std::vector<RequestId>{request});
}

// The tick that finds attempts lost releases their capacity. A request whose queue timeout ends in the same
// tick has to get that capacity instead of being rejected.
TEST(RequestQueue, DispatchesRequestIfCapacityIsFreedAsItsQueueTimeoutEnds) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(150, 0.05);
  host.receive_many(14, request_of_class("mutating"));
  host.run_for(0.301);
  RequestId queued = host.receive();
  ASSERT_EQ(host.attempt_count(queued), 0);

  host.run_for(0.9);  // the queue timeout is 0.7 s; an attempt counts as lost after 1 s

  EXPECT_EQ(host.attempt_count(queued), 1);
}

}  // namespace
}  // namespace puffinvane::test
