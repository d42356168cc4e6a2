// The metrics that tell how current the endpoint list is.
#include "src/admin/telemetry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace puffinvane {
namespace {

using testing::HasSubstr;

TEST(Telemetry, ContainsTheIndexOfTheListAndHowLongAgoDiscoveryAnswered) {
  RequestCounters counters(0);
  CurrentCounts current;
  current.list_index = 15;
  current.discovery = {.answer_age_s = 0.25, .unanswered_calls = 3};

  const std::string text = write_telemetry({}, counters, current, 0);

  EXPECT_THAT(text, HasSubstr("\nsidecar_list_index 15\n"));
  EXPECT_THAT(text, HasSubstr("\nsidecar_discovery_answer_age_milliseconds 250\n"));
  EXPECT_THAT(text, HasSubstr("\nsidecar_discovery_calls_unanswered_total 3\n"));
}

}  // namespace
}  // namespace puffinvane
