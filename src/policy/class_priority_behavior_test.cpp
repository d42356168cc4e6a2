// Which requests are sent first and which are rejected: by tenant quota, by the priority weight of the class,
// and by how well a class or tenant is served.
#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

TEST(ClassPriority, DispatchesValuableRequestBeforeThoseOfTenantOverQuota) {
  FakeHost host{deployment().with_tenant("small", 0).with_tenant("large", 1000).with_priority_by_work()};
  host.list_ready_endpoints(1);
  host.serve_requests(100, 0.05);
  host.receive_many(30, request_of_class("read").for_tenant("large"));
  std::size_t sent_before = host.sent().size();
  RequestId over_quota = 0;
  for (int i = 0; i < 12; ++i) over_quota = host.receive(request_of_class("mutating").for_tenant("small"));
  RequestId valuable = host.receive(request_of_class("mutating").for_tenant("large"));
  host.run_for(0.05);

  for (std::size_t i = sent_before - 2; i < sent_before; ++i) {
    host.end_attempt(host.sent()[i], Outcome::Delivered);
  }

  EXPECT_EQ(host.attempt_count(valuable), 1);
  EXPECT_EQ(host.attempt_count(over_quota), 0);
}

TEST(ClassPriority, RejectsLowPriorityAtOnceWhileEndpointsReportFullLoad) {
  constexpr std::size_t kRejectionsUntilLoadFalls = 20;
  FakeHost host{deployment().reporting_load().with_priority_by_work()};
  host.list_ready_endpoints(2);
  std::map<std::string, int> rejected_at_once;

  for (int i = 0; i < 300; ++i) {
    std::string request_class = i % 2 == 1 ? "read" : "mutating";
    std::size_t sent_before = host.sent().size();
    double received_at_s = host.now_s();
    RequestId request = host.receive(request_of_class(request_class));
    if (host.is_concluded(request)) ++rejected_at_once[request_class];
    EXPECT_EQ(host.now_s(), received_at_s);
    host.run_for(0.05);
    double utilization = host.rejected().size() < kRejectionsUntilLoadFalls ? 1 : 0.9;
    Load load{.requests_per_s = 40, .cpu_utilization = utilization};
    if (host.sent().size() > sent_before) host.end_attempt(host.last_sent(), Outcome::Delivered, load);
  }

  EXPECT_GT(rejected_at_once["read"], 40);
  EXPECT_LT(rejected_at_once["mutating"], 10);
  EXPECT_EQ(host.failed().size(), 0U);
}

struct SendCounts {
  int others_not_sent = 0;  // requests of class "read" and tenant "fast" without an attempt after 0.02 s
  int slow_sent = 0;        // slow requests that were sent as soon as they were received
};

// Serves 400 pairs of requests: `slow_request`, which takes 1.5 s at every endpoint, and one of class "read"
// and tenant "fast". Returns the counts of the last 200 pairs.
SendCounts serve_beside_slow_requests(const RequestBuilder& slow_request) {
  constexpr int kPairs = 400;
  constexpr double kSlowResponseS = 1.5;
  constexpr double kResponseS = 0.01;
  FakeHost host{deployment().with_tenant("slow", 1000).with_tenant("fast", 1000)};
  host.list_ready_endpoints(2);
  host.serve_requests(100, 0.02);
  std::set<RequestId> slow;
  std::size_t first = host.sent().size();
  SendCounts counts;
  for (int i = 0; i < kPairs; ++i) {
    bool is_counted = i >= kPairs / 2;
    RequestId slow_id = host.receive(slow_request);
    slow.insert(slow_id);
    if (is_counted && host.attempt_count(slow_id) > 0) ++counts.slow_sent;
    RequestId other = host.receive(request_of_class("read").due_in(4).for_tenant("fast"));
    host.run_for(0.02);
    if (is_counted && host.attempt_count(other) == 0) ++counts.others_not_sent;
    for (std::size_t k = first; k < host.sent().size(); ++k) {
      SentAttempt attempt = host.sent()[k];
      double response_time_s = slow.contains(attempt.request) ? kSlowResponseS : kResponseS;
      bool is_due = host.now_s() - attempt.sent_at_s >= response_time_s;
      if (is_due && !host.is_concluded(attempt.request)) host.end_attempt(attempt, Outcome::Delivered);
    }
  }
  return counts;
}

// Requests that are slow at every endpoint show neither a fault of the endpoints nor an overload. Their class
// or tenant is isolated and gets a limited part of the capacity.
TEST(ClassPriority, ClassThatIsSlowEverywhereLeavesOthersTheirCapacity) {
  SendCounts counts = serve_beside_slow_requests(request_of_class("tagged").due_in(3).for_tenant("fast"));

  EXPECT_LT(counts.others_not_sent, 10);
  EXPECT_LT(counts.slow_sent, 100);
}

TEST(ClassPriority, TenantThatIsSlowEverywhereLeavesOthersTheirCapacity) {
  SendCounts counts = serve_beside_slow_requests(request_of_class("read").due_in(3).for_tenant("slow"));

  EXPECT_LT(counts.others_not_sent, 10);
  EXPECT_LT(counts.slow_sent, 100);
}

}  // namespace
}  // namespace puffinvane::test
