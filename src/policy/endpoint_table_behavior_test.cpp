// Which endpoints receive attempts when the endpoint list changes, and how much memory long and changing
// lists need.
#include <gtest/gtest.h>
#include <malloc.h>

#include <cstddef>
#include <string>
#include <vector>

#include "testing/policy/allocation_counter.h"
#include "testing/policy/fake_host.h"
#include "testing/policy/fleet_sizes.h"

namespace puffinvane::test {
namespace {

// Receives requests one after another and ends the attempt of each with `outcome` after `response_time_s`.
void receive_and_end(FakeHost& host, int requests, double response_time_s, Outcome outcome) {
  for (int i = 0; i < requests; ++i) {
    host.receive();
    host.run_for(response_time_s);
    host.end_attempt(host.last_sent(), outcome);
  }
}

TEST(EndpointTable, SendsNothingToDrainingEndpoint) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(3);
  host.change_endpoint(endpoint("a0").draining());
  double changed_at_s = host.now_s();

  host.serve_requests(30, 0.01);

  EXPECT_EQ(host.attempts_sent_to("a0", changed_at_s), 0);
  EXPECT_GT(host.attempts_sent_to("a1", changed_at_s), 0);
}

TEST(EndpointTable, SendsNothingToEndpointMissingFromFullList) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(3);
  host.change_endpoint(endpoint("a0").draining());
  host.serve_requests(30, 0.01);
  host.list_endpoints({endpoint("a1")});
  double listed_at_s = host.now_s();

  host.serve_requests(30, 0.01);

  EXPECT_EQ(host.attempts_sent_to("a2", listed_at_s), 0);
  EXPECT_EQ(host.attempts_sent_to("a1", listed_at_s), 30);
}

TEST(EndpointTable, SendsNothingToMissingEndpointByDefault) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.list_ready_endpoints(1);

  host.serve_requests(20, 0.01);

  EXPECT_EQ(host.attempts_sent_to("a1"), 0);
}

// Settings that allow attempts to unlisted endpoints. "a1" was listed, is missing from the next list, and 20
// requests have been served since.
class EndpointTableUsingUnlistedEndpoints : public testing::Test {
 protected:
  EndpointTableUsingUnlistedEndpoints() {
    host_.list_ready_endpoints(2);
    host_.list_ready_endpoints(1);
    host_.serve_requests(20, 0.01);
  }
  // An attempt to the missing endpoint fails and is retried elsewhere. 20 s pass, longer than an ejection.
  void fail_attempt_at_missing_endpoint() {
    constexpr int kMaxRequests = 400;
    host_.receive();
    for (int i = 1; i < kMaxRequests && host_.last_sent().endpoint != "a1"; ++i) {
      host_.end_attempt(host_.last_sent(), Outcome::Delivered);
      host_.receive();
    }
    ASSERT_EQ(host_.last_sent().endpoint, "a1");
    host_.end_attempt(host_.last_sent(), Outcome::ConnectFailed);
    host_.end_attempt(host_.last_sent(), Outcome::Delivered);
    host_.run_for(20);
  }

  FakeHost host_{deployment().using_unlisted_endpoints()};
};

TEST_F(EndpointTableUsingUnlistedEndpoints, SendsToMissingEndpoint) {
  EXPECT_GT(host_.attempts_sent_to("a1"), 0);
}

TEST_F(EndpointTableUsingUnlistedEndpoints, SendsNothingToMissingEndpointOnceItFails) {
  fail_attempt_at_missing_endpoint();
  double failed_at_s = host_.now_s();

  host_.serve_requests(20, 0.01);

  EXPECT_EQ(host_.attempts_sent_to("a1", failed_at_s), 0);
}

TEST_F(EndpointTableUsingUnlistedEndpoints, SendsNothingToDrainingEndpoint) {
  fail_attempt_at_missing_endpoint();
  host_.serve_requests(20, 0.01);
  host_.list_ready_endpoints(2);
  host_.change_endpoint(endpoint("a1").draining());
  double changed_at_s = host_.now_s();

  host_.serve_requests(20, 0.01);

  EXPECT_EQ(host_.attempts_sent_to("a1", changed_at_s), 0);
}

// The index of a removed endpoint is reused. An attempt sent to the old endpoint must not count as one sent
// to the endpoint that has the index now.
TEST(EndpointTable, DoesNotConfuseNewEndpointWithRemovedOneOfSameIndex) {
  FakeHost host{deployment()};
  host.list_endpoints({endpoint("old")});
  RequestId request = host.receive(request_of_class("tagged"));
  host.change_endpoint(endpoint("old").removed());
  host.change_endpoint(endpoint("new").in_zone("there").in_cell(2));

  host.end_attempt(host.sent().at(0), Outcome::Failed);
  host.change_endpoint(endpoint("newer").in_zone("there").in_cell(2));

  EXPECT_EQ(host.attempt_count(request), 1);
  EXPECT_EQ(host.failed(), std::vector<RequestId>{request});
}

TEST(EndpointTable, StartsNewEndpointWithoutFailuresOfRemovedOne) {
  FakeHost host{deployment()};
  host.list_endpoints({endpoint("old")});
  host.receive(request_of_class("tagged"));
  host.change_endpoint(endpoint("old").removed());
  host.change_endpoint(endpoint("new").in_zone("there").in_cell(2));
  host.end_attempt(host.sent().at(0), Outcome::Failed);
  host.change_endpoint(endpoint("newer").in_zone("there").in_cell(2));
  host.list_endpoints({endpoint("one")});
  receive_and_end(host, 20, 0.1, Outcome::Failed);
  host.list_endpoints({endpoint("two"), endpoint("three")});
  std::size_t sent_before = host.sent().size();

  receive_and_end(host, 40, 0.01, Outcome::Delivered);

  EXPECT_EQ(host.sent().size(), sent_before + 40);
  EXPECT_GT(host.attempts_sent_to("two"), 1);
  EXPECT_GT(host.attempts_sent_to("three"), 1);
}

// Endpoint names change with each deployment of the service: memory must not grow with the number of
// endpoints that were ever listed.
TEST(EndpointTable, KeepsNoMemoryForRemovedEndpoints) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(4);
  int next = 1;
  auto bytes_after_replacements = [&](int count) {
    for (int i = 0; i < count; ++i) {
      host.change_endpoints(
          {endpoint("x" + std::to_string(next)), endpoint("x" + std::to_string(next - 1)).removed()});
      ++next;
    }
    return mallinfo2().uordblks;
  };

  std::size_t after_few = bytes_after_replacements(100);
  std::size_t after_many = bytes_after_replacements(10000);

  EXPECT_LT(after_many, after_few + 20000);
}

struct ListCost {
  std::size_t statistics_before_requests = 0;
  std::size_t statistics_after_requests = 0;
  double bytes = 0;
};

std::size_t bytes_in_use() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

// Memory and statistics that one instance keeps after it got the list of the whole fleet and served 200
// requests.
ListCost cost_of_list(const FleetSize& fleet) {
  std::size_t bytes_before = bytes_in_use();
  FakeHost host{instance_of(fleet)};
  host.list_ready_endpoints(fleet.endpoints);
  ListCost cost;
  cost.statistics_before_requests = host.endpoints_with_statistics();
  host.serve_requests(200, 0.02);
  cost.statistics_after_requests = host.endpoints_with_statistics();
  cost.bytes = double(bytes_in_use()) - double(bytes_before);
  return cost;
}

TEST(EndpointTable, KeepsStatisticsOnlyOfEndpointsInUse) {
  for (const FleetSize& fleet : {kSmallFleet, kLargestFleet}) {
    SCOPED_TRACE(fleet.endpoints);

    ListCost cost = cost_of_list(fleet);

    EXPECT_EQ(cost.statistics_before_requests, 0U);
    EXPECT_LE(cost.statistics_after_requests, kMaxEndpointsInSubset);
  }
}

// The acceptance bound for the whole process is 4 MB per thousand endpoints.
TEST(EndpointTable, KeepsLittleMemoryForEndpointsNotInUse) {
  constexpr double kMaxBytesPerEndpoint = 1500;

  double small = cost_of_list(kSmallFleet).bytes;
  double largest = cost_of_list(kLargestFleet).bytes;

  EXPECT_LT(largest, small + kMaxBytesPerEndpoint * (kLargestFleet.endpoints - kSmallFleet.endpoints));
}

TEST(EndpointTable, AllocationsOfAListChangeDoNotDependOnLengthOfList) {
  constexpr std::size_t kChanges = 100;
  constexpr std::size_t kMaxBytesPerChange = 4096;
  FakeHost host{instance_of(kLargestFleet)};
  host.list_ready_endpoints(kLargestFleet.endpoints);
  host.serve_requests(50, 0.02);
  std::size_t allocated_before = allocated_bytes();

  for (std::size_t i = 0; i < kChanges; ++i) {
    host.change_endpoint(endpoint("b" + std::to_string(i)).online_since(host.now_s()));
    host.change_endpoint(endpoint("a" + std::to_string(i)).removed());
  }

  EXPECT_LT(allocated_bytes() - allocated_before, 2 * kChanges * kMaxBytesPerChange);
}

}  // namespace
}  // namespace puffinvane::test
