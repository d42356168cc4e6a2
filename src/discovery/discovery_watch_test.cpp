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
    EXPECT_TRUE(answer_call(discovery, "0", chunk(snapshot_line(4))).ended());
    EXPECT_TRUE(answer_call(discovery, "4", "").ended());  // the head alone: no changes
    Line watch = answer_call(discovery, "4", chunk(no_changes));
    watch.say(chunk(change_line(6)));
    EXPECT_TRUE(watch.ended());
    EXPECT_TRUE(answer_call(discovery, "4", chunk(change_line(6))).ended());
    answer_call(discovery, "6", "");
  });

  EXPECT_EQ(list_count, 4u);
}

TEST(DiscoveryWatch, AsksForTheFullListAfterSilenceAnIndexThatWentBackAndInvalidJson) {
  std::size_t list_count = count_lists([](Listener& discovery) {
    EXPECT_TRUE(answer_call(discovery, "0", chunk(snapshot_line(4))).ended());
    EXPECT_TRUE(take_call(discovery).ended());
    EXPECT_TRUE(answer_call(discovery, "0", chunk(snapshot_line(5))).ended());
    EXPECT_TRUE(answer_call(discovery, "5", chunk(change_line(3))).ended(1));
    EXPECT_TRUE(answer_call(discovery, "0", chunk(snapshot_line(3))).ended());
    EXPECT_TRUE(answer_call(discovery, "3", chunk("{]\n")).ended(1));
    answer_call(discovery, "0", chunk(snapshot_line(3)));
  });

  EXPECT_EQ(list_count, 4u);
}

// Some discovery services answer each call with the full list.
TEST(DiscoveryWatch, ReportsTheSameFullListAgainOnlyAfterAChange) {
  std::size_t list_count = count_lists([](Listener& discovery) {
    EXPECT_TRUE(answer_call(discovery, "0", chunk(snapshot_line(4))).ended());
    Line watch = answer_call(discovery, "4", chunk(snapshot_line(4)));
    watch.say(chunk(change_line(5)));
    EXPECT_TRUE(watch.ended());
    answer_call(discovery, "4", chunk(snapshot_line(4)));  // reverts the change
  });

  EXPECT_EQ(list_count, 3u);
}

}  // namespace
}  // namespace puffinvane
