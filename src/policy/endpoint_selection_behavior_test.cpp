// Which endpoint is selected for the first attempt of a request: by depth, ties, weights, keys and zones.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

TEST(EndpointSelection, SendsFirstAttemptsToLowestDepth) {
  FakeHost host{deployment().reporting_load()};
  host.list_ready_endpoints(3);

  host.receive_many(3);

  EXPECT_EQ(host.endpoints_used_from(0).size(), 3U);
}

// Reported loads are outdated on arrival. If the selection followed them, all instances would send to the
// same endpoint at once.
TEST(EndpointSelection, FollowsOwnDepthWhateverEndpointsReport) {
  FakeHost host{deployment().reporting_load()};
  host.list_ready_endpoints(3);
  host.receive_many(3);
  host.run_for(0.05);
  for (const SentAttempt& attempt : host.sent_from(0)) {
    Load load{.depth = attempt.endpoint == "a1" ? 0.0 : 9.0, .requests_per_s = 50};
    host.end_attempt(attempt, Outcome::Delivered, load);
  }
  double reported_at_s = host.now_s();

  host.receive_many(3);

  EXPECT_EQ(host.attempts_sent_to("a1", reported_at_s), 1);
}

TEST(EndpointSelection, DrawsAmongIdleEndpointsByWeight) {
  FakeHost host{deployment().reporting_load()};
  host.list_endpoints({endpoint("small"), endpoint("large").with_weight(3)});

  host.serve_requests(400, 0.02);

  EXPECT_GT(host.attempts_sent_to("small"), 60);
  EXPECT_GT(host.attempts_sent_to("large"), 240);
}

TEST(EndpointSelection, PrefersLargeEndpointForHeavyRequests) {
  FakeHost host{deployment().reporting_load()};
  host.list_endpoints({endpoint("small"), endpoint("large").with_weight(3)});

  for (int i = 0; i < 100; ++i) {
    host.receive(request_of_class("read").with_work(1));
    host.run_for(0.02);
    host.end_attempt(host.last_sent(), Outcome::Delivered);
  }

  EXPECT_LT(host.attempts_sent_to("small"), 8);
}

TEST(EndpointSelection, SendsLessToSmallEndpointWithoutLoadReports) {
  FakeHost host{deployment()};
  host.list_endpoints({endpoint("large").with_weight(3), endpoint("small")});

  host.receive_many(8);

  EXPECT_GE(host.attempts_sent_to("small"), 1);
  EXPECT_GT(host.attempts_sent_to("large"), 2 * host.attempts_sent_to("small"));
}

// Two instances with different seeds. Each serves requests for one key, and then for eight other keys.
class KeyAffinity : public testing::Test {
 protected:
  static constexpr std::uint64_t kSeeds[] = {3, 4};

  static RequestBuilder request_for(const std::string& key) { return request_of_class("read").with_key(key); }

  void serve(FakeHost& host) {
    host.list_ready_endpoints(6);
    for (int i = 0; i < 5; ++i) used_for_one_key_.insert(endpoint_of_served_request(host, "track-7"));
    for (const char* key : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
      used_for_other_keys_.insert(endpoint_of_served_request(host, key));
    }
    host.run_for(0.1);
  }

  const Deployment settings_ = deployment().reporting_load().with_key_affinity();
  std::set<std::string> used_for_one_key_;
  std::set<std::string> used_for_other_keys_;

 private:
  static std::string endpoint_of_served_request(FakeHost& host, const std::string& key) {
    host.receive(request_for(key));
    host.run_for(0.25);
    SentAttempt attempt = host.last_sent();
    host.end_attempt(attempt, Outcome::Delivered);
    return attempt.endpoint;
  }
};

TEST_F(KeyAffinity, SendsKeyToSameEndpointFromEveryInstance) {
  for (std::uint64_t seed : kSeeds) {
    FakeHost host{settings_, seed};
    serve(host);
  }

  EXPECT_EQ(used_for_one_key_.size(), 1U);
  EXPECT_GT(used_for_other_keys_.size(), 2U);
}

TEST_F(KeyAffinity, SendsKeyElsewhereIfItsEndpointIsBusy) {
  for (std::uint64_t seed : kSeeds) {
    FakeHost host{settings_, seed};
    serve(host);

    host.receive_many(20, request_for("track-7"));

    EXPECT_LT(host.attempts_sent_to(*used_for_one_key_.begin(), host.now_s()), 18) << "seed " << seed;
  }
}

// Another zone has a cost, but is used once the queue in the own zone is longer than that cost.
TEST(EndpointSelection, UsesOtherZoneOnlyForShorterQueue) {
  FakeHost host{deployment().with_cross_zone_price(0.02).in_zone("here")};
  host.list_endpoints({endpoint("near"), endpoint("far").in_zone("there").in_cell(2)});

  host.receive_many(2);

  ASSERT_EQ(host.sent().size(), 2U);
  EXPECT_EQ(host.sent()[0].endpoint, "near");
  EXPECT_EQ(host.sent()[1].endpoint, "far");
}

}  // namespace
}  // namespace puffinvane::test
