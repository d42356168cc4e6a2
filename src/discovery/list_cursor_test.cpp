#include "src/discovery/list_cursor.h"

#include <gtest/gtest.h>

#include <string>

namespace puffinvane {
namespace {

constexpr double kNow = 100;

std::string list_line(int index, const std::string& is_snapshot, const std::string& endpoints) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + is_snapshot + R"(,"endpoints":[)" +
         endpoints + "]}";
}
std::string one_endpoint() { return R"({"name":"a","address":"127.0.0.1:1","status":"active"})"; }
std::string snapshot(int index) { return list_line(index, "true", one_endpoint()); }
std::string empty_snapshot(int index) { return list_line(index, "true", ""); }
std::string change(int index) { return list_line(index, "false", one_endpoint()); }

ListFault fault_of(const CallOutcome& outcome) { return std::get<ListError>(outcome).fault; }

// A cursor that has received a full list with that index.
ListCursor cursor_at(int index, DiscoveryMode mode = DiscoveryMode::Pushed) {
  ListCursor cursor(mode, 0);
  cursor.begin_call(kNow);
  cursor.on_line(snapshot(index), kNow);
  return cursor;
}

TEST(ListCursor, FirstAsksForTheFullListInPushedModeEvenWithAHeldIndex) {
  ListCursor cursor(DiscoveryMode::Pushed, 7);

  std::int64_t after = cursor.begin_call(kNow);

  EXPECT_EQ(after, 0);
  EXPECT_EQ(cursor.call_scope(), CallScope::FullList);
}

TEST(ListCursor, AsksAfterTheHeldIndexOnRequest) {
  ListCursor cursor(DiscoveryMode::OnRequest, 7);

  std::int64_t after = cursor.begin_call(kNow);

  EXPECT_EQ(after, 7);
  EXPECT_EQ(cursor.call_scope(), CallScope::Changes);
}

TEST(ListCursor, AsksAfterTheIndexOfTheLastCallsFirstLineInPushedMode) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);
  cursor.on_line(change(5), kNow);
  cursor.on_line(change(6), kNow);

  std::int64_t after = cursor.begin_call(kNow);

  EXPECT_EQ(after, 5);
}

TEST(ListCursor, AsksForTheWholeListAfterChangesFromAnIndexThatItDoesNotHold) {
  ListCursor cursor(DiscoveryMode::Pushed, 7);
  cursor.begin_call(kNow);
  cursor.on_line(change(9), kNow);
  const bool is_next_call_due = cursor.is_next_call_due();

  cursor.begin_call(kNow);

  EXPECT_TRUE(is_next_call_due);
  EXPECT_EQ(cursor.call_scope(), CallScope::FullList);
  EXPECT_FALSE(cursor.is_watch());
}

TEST(ListCursor, AsksForChangesAfterTheIndexOfTheWholeList) {
  ListCursor cursor(DiscoveryMode::Pushed, 7);
  cursor.begin_call(kNow);
  cursor.on_line(change(9), kNow);
  cursor.begin_call(kNow);
  cursor.on_line(snapshot(10), kNow);
  const bool is_next_call_due = cursor.is_next_call_due();

  std::int64_t after = cursor.begin_call(kNow);

  EXPECT_TRUE(is_next_call_due);
  EXPECT_EQ(after, 10);
  EXPECT_TRUE(cursor.is_watch());
  EXPECT_FALSE(cursor.lacks_whole_list());
}

TEST(ListCursor, AsksForTheWholeListOnRequestAfterChangesFromAnIndexThatItDoesNotHold) {
  ListCursor cursor(DiscoveryMode::OnRequest, 7);
  cursor.reset();
  cursor.begin_call(kNow);
  cursor.on_line(change(9), kNow);

  cursor.begin_call(kNow);

  EXPECT_EQ(cursor.call_scope(), CallScope::FullList);
  EXPECT_FALSE(cursor.is_watch());
}

TEST(ListCursor, TakesChangesFromTheFirstListForAllIfItHoldsThatList) {
  ListCursor cursor(DiscoveryMode::Pushed, 0);
  cursor.begin_call(kNow);
  cursor.on_line(change(0), kNow);

  std::int64_t after = cursor.begin_call(kNow);

  EXPECT_EQ(after, 0);
  EXPECT_EQ(cursor.call_scope(), CallScope::Changes);
  EXPECT_FALSE(cursor.lacks_whole_list());
}

TEST(ListCursor, DoesNotTakeChangesFromTheFirstListOfAnotherSourceForAll) {
  ListCursor cursor(DiscoveryMode::Pushed, 0);
  cursor.on_source_changed();
  cursor.begin_call(kNow);

  cursor.on_line(change(0), kNow);

  EXPECT_TRUE(cursor.lacks_whole_list());
}

TEST(ListCursor, AsksForChangesInTurnWhileCallsForTheWholeListFail) {
  ListCursor cursor(DiscoveryMode::Pushed, 7);
  cursor.begin_call(kNow);
  cursor.on_line(change(9), kNow);
  cursor.begin_call(kNow);  // for the whole list, unanswered

  std::int64_t after = cursor.begin_call(kNow);
  const CallScope second_scope = cursor.call_scope();
  cursor.begin_call(kNow);

  EXPECT_EQ(after, 9);
  EXPECT_EQ(second_scope, CallScope::Changes);
  EXPECT_EQ(cursor.call_scope(), CallScope::FullList);
  EXPECT_FALSE(cursor.is_watch());
}

TEST(ListCursor, AsksForChangesInTurnWhileCallsForTheWholeListAreAnsweredWithChanges) {
  ListCursor cursor(DiscoveryMode::Pushed, 7);
  cursor.begin_call(kNow);
  cursor.on_line(change(9), kNow);
  cursor.begin_call(kNow);  // for the whole list
  cursor.on_line(change(10), kNow);

  std::int64_t after = cursor.begin_call(kNow);
  cursor.on_line(change(10), kNow);

  EXPECT_EQ(after, 10);
  EXPECT_EQ(cursor.call_scope(), CallScope::Changes);
  EXPECT_FALSE(cursor.is_next_call_due());
}

TEST(ListCursor, AsksForTheFullListAgainAfterThirtySeconds) {
  ListCursor cursor = cursor_at(4);

  std::int64_t before = cursor.begin_call(kNow + 29.9);
  std::int64_t after = cursor.begin_call(kNow + 30);

  EXPECT_EQ(before, 4);
  EXPECT_EQ(after, 0);
}

TEST(ListCursor, AsksForTheFullListSoonerAfterAnUnansweredCall) {
  ListCursor cursor = cursor_at(4);

  cursor.on_call_unanswered();
  std::int64_t after = cursor.begin_call(kNow + 1);

  EXPECT_EQ(after, 0);
}

TEST(ListCursor, ReportsTheHeldFullListAsUnchangedInPushedMode) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);

  CallOutcome outcome = cursor.on_line(snapshot(4), kNow);

  EXPECT_TRUE(std::holds_alternative<ListUnchanged>(outcome));
}

TEST(ListCursor, ReportsTheHeldFullListAsAListOnRequest) {
  ListCursor cursor = cursor_at(4, DiscoveryMode::OnRequest);
  cursor.begin_call(kNow);

  CallOutcome outcome = cursor.on_line(snapshot(4), kNow);

  EXPECT_TRUE(std::holds_alternative<EndpointList>(outcome));
}

TEST(ListCursor, ReportsTheFullListAgainAfterAChange) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);
  cursor.on_line(change(4), kNow);

  CallOutcome outcome = cursor.on_line(snapshot(4), kNow);

  EXPECT_TRUE(std::holds_alternative<EndpointList>(outcome));
}

TEST(ListCursor, RejectsAChangeWhoseIndexWentBack) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);

  CallOutcome outcome = cursor.on_line(change(3), kNow);

  EXPECT_EQ(fault_of(outcome), ListFault::IndexWentBack);
}

// Guards against requests to an endpoint that has left, after an older list.
TEST(ListCursor, AcceptsAFullListWhoseIndexWentBackOnlyTheThirdTimeInARow) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);

  CallOutcome first = cursor.on_line(snapshot(3), kNow);
  cursor.reset();
  CallOutcome second = cursor.on_line(snapshot(3), kNow);
  cursor.reset();
  CallOutcome third = cursor.on_line(snapshot(3), kNow);
  CallOutcome fourth = cursor.on_line(change(4), kNow);

  EXPECT_EQ(fault_of(first), ListFault::IndexWentBack);
  EXPECT_EQ(fault_of(second), ListFault::IndexWentBack);
  EXPECT_EQ(std::get<EndpointList>(third).index, 3);
  EXPECT_TRUE(std::holds_alternative<EndpointList>(fourth));
}

TEST(ListCursor, CountsOlderListsAnewAfterACurrentOne) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);
  cursor.on_line(snapshot(3), kNow);
  cursor.on_line(snapshot(3), kNow);

  cursor.on_line(snapshot(5), kNow);
  CallOutcome outcome = cursor.on_line(snapshot(3), kNow);

  EXPECT_EQ(fault_of(outcome), ListFault::IndexWentBack);
}

TEST(ListCursor, AcceptsAFullListWhoseIndexWentBackAtOnceOnRequestOrFromAnotherSource) {
  ListCursor on_request = cursor_at(4, DiscoveryMode::OnRequest);
  ListCursor moved = cursor_at(4);
  moved.on_source_changed();
  on_request.begin_call(kNow);
  moved.begin_call(kNow);

  CallOutcome on_request_outcome = on_request.on_line(snapshot(3), kNow);
  CallOutcome moved_outcome = moved.on_line(snapshot(3), kNow);

  EXPECT_EQ(std::get<EndpointList>(on_request_outcome).index, 3);
  EXPECT_EQ(std::get<EndpointList>(moved_outcome).index, 3);
}

TEST(ListCursor, AcceptsAnEmptySnapshotOnlyTheSecondTimeInARow) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);

  CallOutcome first = cursor.on_line(empty_snapshot(5), kNow);
  CallOutcome second = cursor.on_line(empty_snapshot(5), kNow);

  EXPECT_EQ(fault_of(first), ListFault::EmptySnapshot);
  EXPECT_TRUE(std::holds_alternative<EndpointList>(second));
}

TEST(ListCursor, ReportsTheMissingFieldOfALine) {
  ListCursor cursor = cursor_at(4);
  cursor.begin_call(kNow);

  CallOutcome outcome = cursor.on_line(R"({"index":5})", kNow);

  EXPECT_EQ(fault_of(outcome), ListFault::MissingListField);
  EXPECT_EQ(std::get<ListError>(outcome).detail, "endpoints");
}

TEST(ListCursor, AsksForTheFullListAfterAReset) {
  ListCursor cursor = cursor_at(4, DiscoveryMode::OnRequest);

  cursor.reset();

  EXPECT_FALSE(cursor.holds_list());
  EXPECT_EQ(cursor.begin_call(kNow), 0);
}

TEST(ListCursor, KeepsTheHeldIndexOnRequestWhenTheSourceChanges) {
  ListCursor cursor = cursor_at(4, DiscoveryMode::OnRequest);

  cursor.on_source_changed();

  EXPECT_EQ(cursor.begin_call(kNow), 4);
}

TEST(ListCursor, AsksForTheFullListInPushedModeWhenTheSourceChanges) {
  ListCursor cursor = cursor_at(4);

  cursor.on_source_changed();

  EXPECT_EQ(cursor.begin_call(kNow), 0);
}

TEST(ListCursor, ExpectsAnExpensiveCallOnlyAfterALongFullList) {
  ListCursor cursor(DiscoveryMode::Pushed, 0);
  std::string long_list = snapshot(4);
  long_list.insert(long_list.size() - 1, std::string(70'000, ' '));

  cursor.begin_call(kNow);
  cursor.on_line(long_list, kNow);
  bool is_cheap_for_changes = cursor.is_next_call_cheap();
  cursor.begin_call(kNow);
  cursor.on_line(long_list, kNow);

  EXPECT_TRUE(is_cheap_for_changes);
  EXPECT_FALSE(cursor.is_next_call_cheap());
}

TEST(ListCursor, ExpectsAnExpensiveAnswerToACallForALongFullListOnly) {
  ListCursor cursor(DiscoveryMode::Pushed, 0);
  std::string long_list = snapshot(4);
  long_list.insert(long_list.size() - 1, std::string(70'000, ' '));

  cursor.begin_call(kNow);
  bool is_first_cheap = cursor.is_call_cheap();
  cursor.on_line(long_list, kNow);
  cursor.begin_call(kNow);
  bool is_call_for_changes_cheap = cursor.is_call_cheap();
  cursor.begin_call(kNow + 60);

  EXPECT_TRUE(is_first_cheap);
  EXPECT_TRUE(is_call_for_changes_cheap);
  EXPECT_EQ(cursor.call_scope(), CallScope::FullList);
  EXPECT_FALSE(cursor.is_call_cheap());
}

}  // namespace
}  // namespace puffinvane
