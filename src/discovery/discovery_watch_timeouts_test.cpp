// How long the watch waits for a discovery service that is silent, slow or can't be connected to.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "src/discovery/discovery_watch.h"
#include "testing/discovery_stand_ins.h"

namespace puffinvane {
namespace {

using namespace test;

// From when discovery has a change and can be reached until the change is received.
constexpr double kMaxChangeDelaySeconds = 6;

// Sends a list in 12 pieces, one every 0.1 s, and keeps the call open for 0.3 s after the last one.
void send_slowly(TestConnection& call, const std::string& list) {
  std::size_t piece_size = list.size() / 12 + 1;
  for (std::size_t begin = 0; begin < list.size(); begin += piece_size) {
    call.send_text(http_chunk(list.substr(begin, piece_size)));
    if (call.ends_within(0.1)) return;
  }
  call.ends_within(0.3);
}

// The list takes longer than the initial timeout. Without a longer timeout for the next call it would be cut
// off each time and never be received.
TEST(DiscoveryWatchTimeouts, ReceivesAListThatArrivesSlowly) {
  Listener discovery(kDiscoveryHost);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 3, DiscoveryMode::Pushed);
  std::atomic<bool> is_over = false;
  std::thread answers([&] {
    while (!is_over) {
      if (!discovery.has_connection_within(0.1)) continue;
      TestConnection call = discovery.accept_connection();
      if (!call.receive_message(HttpReader::Side::Request)) continue;  // the test has ended meanwhile
      call.send_text(kResponseHead);
      send_slowly(call, snapshot_line(1));
    }
  });

  bool is_received = events.run_until([&] { return !owner.received_at_s().empty(); }, 15);
  is_over = true;
  answers.join();

  EXPECT_TRUE(is_received);
}

// An agent that was unresponsive sends its changes to the calls that are open when it recovers, and considers
// them delivered. A backoff could make the watch miss them.
TEST(DiscoveryWatchTimeouts, OpensTheNextCallAtOnceAfterASilentOneInPushedMode) {
  Listener discovery(kDiscoveryHost);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 3, DiscoveryMode::Pushed);
  bool has_ended = false;
  bool is_next_waiting = false;

  events.run_beside(
      [&] {
        TestConnection silent = take_call(discovery);
        has_ended = silent.ends_within(2);
        is_next_waiting = has_ended && discovery.has_connection_within(0.1);
        take_call(discovery).send_text(kResponseHead + http_chunk(snapshot_line(1)));
      },
      2.5);

  EXPECT_TRUE(has_ended);
  EXPECT_TRUE(is_next_waiting);
  EXPECT_FALSE(owner.received_at_s().empty());
}

TEST(DiscoveryWatchTimeouts, DoesNotAcceptBlankLinesAsAnswerToACallForTheFullList) {
  Listener discovery(kDiscoveryHost);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 3, DiscoveryMode::OnRequest);
  double started_at = now();

  events.run_beside(
      [&] {
        TestConnection watch = take_call(discovery);
        watch.send_text(kResponseHead);
        for (int i = 0; i < 30 && !discovery.has_connection_within(0.1); ++i) {
          watch.send_text(http_chunk("\n"));
        }
        TestConnection next = take_call(discovery);
        next.send_text(kResponseHead + http_chunk(snapshot_line(1)));
        next.ends_within(0.2);
      },
      3.5);

  ASSERT_EQ(owner.received_at_s().size(), 1u);
  EXPECT_LT(owner.received_at_s().front(), started_at + 3.3);
}

// On request: the watch falls silent, the next connection is never established, and the call after it is
// silent.
TEST(DiscoveryWatchTimeouts, ReceivesAChangeInTimeAfterASilentWatchALostConnectionAndASilentCall) {
  Listener discovery(kDiscoveryHost, 0);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 3, DiscoveryMode::OnRequest);
  double silent_since = 0;
  bool is_watch_ended = false;

  events.run_beside(
      [&] {
        TestConnection watch = answer_call(discovery, "0", http_chunk(snapshot_line(1)));
        silent_since = now();
        is_watch_ended = refuse_connection_after(discovery, watch, 4);
        EXPECT_TRUE(take_call(discovery).ends_within(3));
        TestConnection last = take_call(discovery);
        last.send_text(kResponseHead + http_chunk(snapshot_line(2)));
        last.ends_within(0.2);
      },
      7.5);

  EXPECT_TRUE(is_watch_ended);
  ASSERT_EQ(owner.received_at_s().size(), 2u);
  EXPECT_LT(owner.received_at_s().back(), silent_since + kMaxChangeDelaySeconds);
}

// On request, after discovery has moved: the call is queued for nearly the maximum time, and then its list
// arrives in pieces. If the call timed out in the middle of the list, the next one would be queued again.
TEST(DiscoveryWatchTimeouts, ReceivesAListInPiecesAfterALongQueueInTimeAfterAMove) {
  constexpr double kMaxDelayAfterMoveSeconds = 4;
  constexpr double kQueueSeconds = 1.95;
  constexpr int kPieces = 5;
  Listener discovery(kDiscoveryHost);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 3, DiscoveryMode::OnRequest);
  const double moved_at = now();

  events.run_beside(
      [&] {
        TestConnection call = take_call(discovery);
        call.ends_within(kQueueSeconds);
        call.send_text(kResponseHead);
        const std::string list = snapshot_line(1);
        const std::size_t piece_size = list.size() / kPieces + 1;
        for (std::size_t begin = 0; begin < list.size(); begin += piece_size) {
          call.send_text(http_chunk(list.substr(begin, piece_size)));
          call.ends_within(0.12);
        }
        call.ends_within(1);
        EXPECT_FALSE(discovery.has_connection_within(0));
      },
      4);

  ASSERT_EQ(owner.received_at_s().size(), 1u);
  EXPECT_LT(owner.received_at_s().front(), moved_at + kMaxDelayAfterMoveSeconds);
}

// Pushed mode: a watch that no longer sends lists, a connection that is never established, a call that gets
// only the response head, another connection that is never established, and a silent call.
TEST(DiscoveryWatchTimeouts, ReceivesAChangeInTimeAfterACallWithOnlyAResponseHead) {
  Listener discovery(kDiscoveryHost, 0);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 3, DiscoveryMode::Pushed);
  double changed_at = 0;

  events.run_during([&] {
    TestConnection watch = answer_call(discovery, "0", http_chunk(snapshot_line(1)));
    changed_at = now();
    EXPECT_TRUE(refuse_connection_after(discovery, watch));
    TestConnection head_only = answer_call(discovery, "1", "");
    EXPECT_TRUE(refuse_connection_after(discovery, head_only));
    EXPECT_TRUE(take_call(discovery).ends_within());
    answer_call(discovery, "0", http_chunk(snapshot_line(2))).ends_within(0.2);
  });

  ASSERT_EQ(owner.received_at_s().size(), 2u);
  EXPECT_LT(owner.received_at_s().back(), changed_at + kMaxChangeDelaySeconds);
}

}  // namespace
}  // namespace puffinvane
