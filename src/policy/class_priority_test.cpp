#include "src/policy/class_priority.h"

#include <gtest/gtest.h>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr std::size_t kRead = 0;
constexpr std::size_t kMutating = 4;  // has 8 times the priority weight of kRead
constexpr double kNow = 100;

class ClassPriorityTest : public testing::Test {
 protected:
  void record(std::size_t class_index, ServiceStatistics::Result result, int count) {
    RequestState request = request_of(class_index);
    request.attempts.emplace_back();
    for (int number = 0; number < count; ++number) {
      priority_.record_outcome(request, result, kNow);
    }
  }
  static RequestState request_of(std::size_t class_index) {
    RequestState request;
    request.class_index = class_index;
    request.services = {class_index};
    return request;
  }

  Deployment deployment_ = test::deployment().with_tenant("basic", 10);
  LatencyTracker latencies_{deployment_};
  ClassPriority priority_{deployment_, latencies_};
  Random random_{3};
};

TEST_F(ClassPriorityTest, TenantsComeAfterRequestClasses) {
  EXPECT_EQ(priority_.find_tenant("basic"), deployment_.request_classes.size());
  EXPECT_EQ(priority_.find_tenant("unknown"), std::nullopt);
}

TEST_F(ClassPriorityTest, RanksHigherPriorityWeightFirst) {
  priority_.update(kNow);

  EXPECT_LT(priority_.rank_of(request_of(kMutating)), priority_.rank_of(request_of(kRead)));
}

TEST_F(ClassPriorityTest, RanksRequestsOverQuotaLast) {
  priority_.update(kNow);
  RequestState over_quota = request_of(kMutating);
  over_quota.is_over_quota = true;

  EXPECT_GT(priority_.rank_of(over_quota), priority_.rank_of(request_of(kRead)));
}

TEST_F(ClassPriorityTest, RanksClassThatIsServedLateFurtherBack) {
  priority_.update(kNow);
  double rank_before = priority_.rank_of(request_of(kRead));

  record(kRead, ServiceStatistics::Result::NotOnTime, 10);
  priority_.update(kNow);

  EXPECT_GT(priority_.rank_of(request_of(kRead)), rank_before);
}

TEST_F(ClassPriorityTest, NeverDrawsOverQuotaForTenantBelowItsQuota) {
  std::size_t tenant = *priority_.find_tenant("basic");
  priority_.record_tenant_arrival(tenant);

  for (int draw = 0; draw < 100; ++draw) {
    EXPECT_FALSE(priority_.draw_over_quota(tenant, 9, random_));
  }
}

TEST_F(ClassPriorityTest, DrawsOverQuotaInProportionToTheExcess) {
  std::size_t tenant = *priority_.find_tenant("basic");
  priority_.record_tenant_arrival(tenant);
  int over_quota = 0;

  for (int draw = 0; draw < 1000; ++draw) {
    over_quota += priority_.draw_over_quota(tenant, 40, random_) ? 1 : 0;
  }

  // 30 of 40 requests a second are over quota. The tolerance is 5 standard deviations of 1,000 draws.
  EXPECT_NEAR(over_quota, 750, 68);
}

TEST_F(ClassPriorityTest, IsolatesClassThatAloneIsLate) {
  record(kRead, ServiceStatistics::Result::NotOnTime, 10);
  record(kMutating, ServiceStatistics::Result::OnTime, 10);

  priority_.update(kNow);

  EXPECT_EQ(priority_.isolated_service(request_of(kRead)), kRead);
  EXPECT_EQ(priority_.isolated_service(request_of(kMutating)), std::nullopt);
}

TEST_F(ClassPriorityTest, IsolatesNoClassWhileAllAreLate) {
  for (std::size_t class_index = 0; class_index < deployment_.request_classes.size(); ++class_index) {
    record(class_index, ServiceStatistics::Result::NotOnTime, 10);
  }

  priority_.update(kNow);

  EXPECT_EQ(priority_.isolated_service(request_of(kRead)), std::nullopt);
}

TEST_F(ClassPriorityTest, EndsIsolationAfterFiveSecondsWithoutOutcomes) {
  record(kRead, ServiceStatistics::Result::NotOnTime, 10);
  priority_.update(kNow);
  ASSERT_EQ(priority_.isolated_service(request_of(kRead)), kRead);

  priority_.update(kNow + 5);

  EXPECT_EQ(priority_.isolated_service(request_of(kRead)), std::nullopt);
}

TEST_F(ClassPriorityTest, IgnoresOutcomesOfRequestsWithoutAttempts) {
  for (int number = 0; number < 10; ++number) {
    priority_.record_outcome(request_of(kRead), ServiceStatistics::Result::NotOnTime, kNow);
  }
  priority_.update(kNow);

  EXPECT_EQ(priority_.services()[kRead].success_ratio, 1);
}

}  // namespace
}  // namespace puffinvane
