// Which endpoints may be used, as lists, exclusions and shares arrive.
#include "src/proxy/endpoint_directory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <vector>

namespace puffinvane {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

constexpr double kNow = 100;

ListEntry entry(const std::string& name, ListedState state = ListedState::Ready, double started_s = 0) {
  ListEntry made;
  made.endpoint = name;
  made.state = state;
  made.online_since_s = started_s;
  return made;
}

// A list whose endpoints have addresses of the form "NAME:1", unless others are set.
EndpointList list_of(std::int64_t index, bool is_snapshot, const std::vector<ListEntry>& entries) {
  EndpointList list;
  list.index = index;
  list.is_snapshot = is_snapshot;
  list.entries = entries;
  for (const ListEntry& one : entries) list.addresses.push_back(one.endpoint + ":1");
  return list;
}

EndpointList changes(std::int64_t index, const std::vector<ListEntry>& entries) {
  return list_of(index, false, entries);
}

EndpointList snapshot(std::int64_t index, const std::vector<ListEntry>& entries) {
  return list_of(index, true, entries);
}

std::string to_text(const ListEntry& entry) {
  constexpr const char* kStates[] = {"removed", "ready", "draining"};
  const bool is_ready = entry.state == ListedState::Ready;
  const bool is_draining = entry.state == ListedState::Draining;
  return entry.endpoint + " " + kStates[is_ready ? 1 : is_draining ? 2 : 0];
}

// A directory with a cached list of "a" and "b". What it reports after that is recorded.
class EndpointDirectoryTest : public testing::Test, public EndpointDirectory::Owner {
 protected:
  EndpointDirectoryTest() {
    directory_.load_cached(snapshot(7, {entry("a"), entry("b")}));
    unusable_.clear();
    notified_.clear();
  }
  void on_endpoint_unusable(const std::string& endpoint) override { unusable_.push_back(endpoint); }
  void on_entries_changed(ListScope, std::span<const ListEntry> entries) override {
    for (const ListEntry& one : entries) notified_.push_back(to_text(one));
    if (!entries.empty()) last_notified_ = entries.back();
  }

  std::ostringstream output_;
  Log log_{output_, Level::Error};
  EndpointDirectory directory_{log_, *this};
  std::vector<std::string> unusable_;
  std::vector<std::string> notified_;
  ListEntry last_notified_;
};

// Guards against requests to an endpoint after its drain grace on a connection that was open or being
// established before.
TEST_F(EndpointDirectoryTest, ReportsAnEndpointThatDrainsAsUnusable) {
  directory_.on_list(changes(8, {entry("a", ListedState::Draining)}), kNow);

  EXPECT_THAT(unusable_, ElementsAre("a"));
  EXPECT_THAT(notified_, ElementsAre("a draining"));
  EXPECT_EQ(directory_.unavailable_count(), 1u);
}

TEST_F(EndpointDirectoryTest, ReportsARemovedEndpointAsUnusableAndForgetsItsAddress) {
  directory_.on_list(changes(8, {entry("a", ListedState::Removed)}), kNow);

  EXPECT_THAT(unusable_, ElementsAre("a"));
  EXPECT_THAT(notified_, ElementsAre("a removed"));
  EXPECT_EQ(directory_.address_of("a"), nullptr);
  EXPECT_EQ(directory_.size(), 1u);
  EXPECT_TRUE(directory_.knows("a"));
}

// An agent may have an endpoint as gone that only the list of an earlier run has.
TEST_F(EndpointDirectoryTest, RemovesWhatASnapshotLeavesOut) {
  directory_.on_list(snapshot(8, {entry("b")}), kNow);

  EXPECT_THAT(unusable_, ElementsAre("a"));
  EXPECT_THAT(notified_, ElementsAre("a removed"));
}

// A list may tell each change in turn rather than the outcome.
TEST_F(EndpointDirectoryTest, TakesTheLastOfSeveralEntriesOfAnEndpoint) {
  directory_.on_list(changes(9, {entry("c"), entry("c", ListedState::Removed)}), kNow);
  directory_.on_list(changes(11, {entry("a", ListedState::Removed), entry("a")}), kNow);

  EXPECT_EQ(directory_.address_of("c"), nullptr);
  EXPECT_NE(directory_.address_of("a"), nullptr);
  EXPECT_THAT(notified_, IsEmpty());
  EXPECT_EQ(directory_.size(), 2u);
}

TEST_F(EndpointDirectoryTest, KeepsTheIndexAndTheTimeOfAListThatRepeatsItself) {
  directory_.on_list(snapshot(9, {entry("a"), entry("b")}), kNow);

  EXPECT_THAT(unusable_, IsEmpty());
  EXPECT_THAT(notified_, IsEmpty());
  EXPECT_EQ(directory_.index(), 9);
  EXPECT_EQ(directory_.confirmed_at_s(), kNow);
}

TEST_F(EndpointDirectoryTest, NotifiesOfARemovalAgainOnlyAfterTheEndpointWasListedAnew) {
  const EndpointList removal = changes(8, {entry("a", ListedState::Removed)});

  directory_.on_list(removal, kNow);
  directory_.on_list(removal, kNow);
  directory_.on_list(changes(9, {entry("a", ListedState::Ready, kNow)}), kNow);
  directory_.on_list(changes(10, {entry("a", ListedState::Removed)}), kNow);

  EXPECT_THAT(notified_, ElementsAre("a removed", "a ready", "a removed"));
}

TEST_F(EndpointDirectoryTest, GivesAnAddressToTheEndpointThatStartedLast) {
  EndpointList later = changes(8, {entry("c", ListedState::Ready, kNow)});
  later.addresses = {"a:1"};

  directory_.on_list(later, kNow);

  EXPECT_THAT(unusable_, ElementsAre("a"));
  EXPECT_EQ(directory_.address_of("a"), nullptr);
  ASSERT_NE(directory_.address_of("c"), nullptr);
  EXPECT_EQ(*directory_.address_of("c"), "a:1");
}

TEST_F(EndpointDirectoryTest, GivesAnAddressBackOnceItsHolderIsRemoved) {
  EndpointList later = changes(8, {entry("c", ListedState::Ready, kNow)});
  later.addresses = {"a:1"};

  directory_.on_list(later, kNow);
  directory_.on_list(changes(9, {entry("c", ListedState::Removed)}), kNow);

  ASSERT_NE(directory_.address_of("a"), nullptr);
  EXPECT_EQ(*directory_.address_of("a"), "a:1");
}

TEST_F(EndpointDirectoryTest, KeepsAnExcludedEndpointOutWhateverIsListed) {
  directory_.exclude("a");
  directory_.on_list(changes(8, {entry("a", ListedState::Ready, 1)}), kNow);

  EXPECT_THAT(unusable_, ElementsAre("a"));
  EXPECT_THAT(notified_, ElementsAre("a draining", "a draining"));
}

TEST_F(EndpointDirectoryTest, StartsAnIncludedEndpointNowUnlessItIsListedAsStartedSince) {
  directory_.exclude("a");
  directory_.include("a", kNow - 10, kNow);
  EXPECT_EQ(last_notified_.online_since_s, kNow);

  directory_.exclude("b");
  directory_.on_list(changes(8, {entry("b", ListedState::Ready, kNow - 5)}), kNow);
  directory_.include("b", kNow - 10, kNow);
  EXPECT_EQ(last_notified_.online_since_s, kNow - 5);
}

TEST_F(EndpointDirectoryTest, GivesEndpointsOutsideTheShareNextToNoWeight) {
  directory_.set_shares({{"a", 0.5}});
  EXPECT_THAT(notified_, ElementsAre("a ready", "b ready"));
  EXPECT_LT(last_notified_.weight, 1e-3);

  directory_.on_list(changes(8, {entry("a", ListedState::Ready, 1)}), kNow);
  EXPECT_EQ(last_notified_.weight, 0.5);
}

}  // namespace
}  // namespace puffinvane
