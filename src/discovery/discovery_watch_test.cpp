// Pushed mode: what the watch asks for, and which lists it reports.
#include "src/discovery/discovery_watch.h"

#include <gtest/gtest.h>

#include "testing/discovery_stand_ins.h"

namespace puffinvane {
namespace {

using namespace test;

// Runs a watch in pushed mode while `steps` act as discovery. Returns the number of lists that were reported.
std::size_t count_lists(const std::function<void(Listener&)>& steps) {
  Listener discovery(kDiscoveryHost, 0);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 3, DiscoveryMode::Pushed);
  events.run_during([&] { steps(discovery); });
  return owner.received_at_s().size();
}

// The cost of the watch depends on the number of changes, not on the length of the list. Changes received
// after the first line of a call are requested again, as that call may have left some out.
TEST(DiscoveryWatch, AsksForChangesAndForTheFullListOnlyAtTheStart) {
  const std::string no_changes = R"({"index":4,"snapshot":false,"endpoints":[]})"
                                 "\n";

  std::size_t list_count = count_lists([&](Listener& discovery) {
    EXPECT_TRUE(answer_call(discovery, "0", http_chunk(snapshot_line(4))).ends_within());
    EXPECT_TRUE(answer_call(discovery, "4", "").ends_within());  // the head alone: no changes
    TestConnection watch = answer_call(discovery, "4", http_chunk(no_changes));
    watch.send_text(http_chunk(change_line(6)));
    EXPECT_TRUE(watch.ends_within());
    EXPECT_TRUE(answer_call(discovery, "4", http_chunk(change_line(6))).ends_within());
    answer_call(discovery, "6", "");
  });

  EXPECT_EQ(list_count, 4u);
}

TEST(DiscoveryWatch, AsksForTheFullListAfterSilenceAnIndexThatWentBackAndInvalidJson) {
  std::size_t list_count = count_lists([](Listener& discovery) {
    EXPECT_TRUE(answer_call(discovery, "0", http_chunk(snapshot_line(4))).ends_within());
    EXPECT_TRUE(take_call(discovery).ends_within());
    EXPECT_TRUE(answer_call(discovery, "0", http_chunk(snapshot_line(5))).ends_within());
    EXPECT_TRUE(answer_call(discovery, "5", http_chunk(change_line(3))).ends_within(1));
    EXPECT_TRUE(answer_call(discovery, "0", http_chunk(snapshot_line(3))).ends_within(1));
    EXPECT_TRUE(answer_call(discovery, "0", http_chunk(snapshot_line(3))).ends_within());
    EXPECT_TRUE(answer_call(discovery, "3", http_chunk("{]\n")).ends_within(1));
    answer_call(discovery, "0", http_chunk(snapshot_line(3)));
  });

  EXPECT_EQ(list_count, 4u);
}

// Answers the call for the whole list, whose body has no line feed at its end.
void answer_whole_list_call(Listener& discovery, const std::string& length_header) {
  auto [call, request] = discovery.accept_request();
  std::string list = snapshot_line(7);
  list.pop_back();
  call.send_and_close("HTTP/1.1 200 OK\r\n" + length_header + "\r\n" + list);
  EXPECT_EQ(request.target, "/v1/servers");
}

class DiscoveryWatchWholeList : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(WithAndWithoutALength, DiscoveryWatchWholeList, testing::Bool());

// Changes after index 0 don't name an endpoint that joined and left.
TEST_P(DiscoveryWatchWholeList, IsRequestedIfACallForAllEndpointsIsAnsweredWithChanges) {
  const bool has_length = GetParam();
  const std::string length_header =
      has_length ? "Content-Length: " + std::to_string(snapshot_line(7).size() - 1) + "\r\n" : "";

  std::size_t list_count = count_lists([&](Listener& discovery) {
    EXPECT_TRUE(answer_call(discovery, "0", http_chunk(change_line(6))).ends_within(0.1));
    answer_whole_list_call(discovery, length_header);
    EXPECT_TRUE(discovery.has_connection_within(0.1));
    answer_call(discovery, "7", "");
  });

  EXPECT_EQ(list_count, 2u);
}

// Some discovery services answer each call with the full list.
TEST(DiscoveryWatch, ReportsTheSameFullListAgainOnlyAfterAChange) {
  std::size_t list_count = count_lists([](Listener& discovery) {
    EXPECT_TRUE(answer_call(discovery, "0", http_chunk(snapshot_line(4))).ends_within());
    TestConnection watch = answer_call(discovery, "4", http_chunk(snapshot_line(4)));
    watch.send_text(http_chunk(change_line(4)));
    EXPECT_TRUE(watch.ends_within());
    answer_call(discovery, "4", http_chunk(snapshot_line(4)));  // reverts the change
  });

  EXPECT_EQ(list_count, 3u);
}

}  // namespace
}  // namespace puffinvane
