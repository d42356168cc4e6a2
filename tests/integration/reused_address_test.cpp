// Addresses and names of endpoints that are used again: a request goes to the process that the list names,
// not to the one that was at its address, or had its name, before.
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testing/program_main.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {
namespace {

constexpr int kFirstIndex = 8;
constexpr double kListArrivesWithinSeconds = 0.3;

// Answers each call with the whole list, and sends it to the open watches whenever it changes.
class ChangingList {
 public:
  ChangingList(Listener& listener, std::string entries)
      : listener_(listener), entries_(std::move(entries)), serving_([this] { serve(); }) {}
  ChangingList(const ChangingList&) = delete;
  ChangingList& operator=(const ChangingList&) = delete;
  ~ChangingList() {
    is_over_ = true;
    serving_.join();
  }
  // Returns once the sidecar has had time to apply the list.
  void publish(std::string entries) {
    {
      std::lock_guard lock(mutex_);
      ++index_;
      entries_ = std::move(entries);
      for (TestConnection& watch : watches_) watch.send_text(http_chunk(line()));
    }
    sleep_for(kListArrivesWithinSeconds);
  }

 private:
  std::string line() const {
    return R"({"index":)" + std::to_string(index_) + R"(,"snapshot":true,"endpoints":[)" + entries_ + "]}\n";
  }
  void serve() {
    while (!is_over_) {
      if (!listener_.has_connection_within(0.02)) continue;
      TestConnection call = listener_.accept_connection();
      if (!call.receive_message(HttpReader::Side::Request)) continue;
      std::lock_guard lock(mutex_);
      call.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http_chunk(line()));
      watches_.push_back(std::move(call));
    }
  }

  Listener& listener_;
  std::mutex mutex_;
  int index_ = kFirstIndex;
  std::string entries_;
  std::vector<TestConnection> watches_;
  std::atomic<bool> is_over_ = false;
  std::thread serving_;
};

class ReusedAddress : public testing::Test {
 protected:
  ReusedAddress() {
    SidecarProcess::Options options;
    options.discovery = &discovery_;
    sidecar_ = std::make_unique<SidecarProcess>(list_entry_json("a", former_.address), options);
  }
  // Sends a request, which the endpoint at the former address receives.
  TestConnection begin_attempt(TestConnection& client) {
    client.send_text(get_request("", "first"));
    return former_.accept_request().first;
  }
  static void finish_attempt(TestConnection& attempt, TestConnection& client) {
    attempt.send_text(ok_response("x"));
    ASSERT_EQ(client.response_status(), 200);
    wait_until_reusable();
  }
  // The next request has to reach the endpoint at the present address, on a connection of its own.
  void expect_next_request_at_the_present_address() {
    TestConnection client(sidecar_->listen);
    client.send_text(get_request("", "second"));
    ASSERT_TRUE(present_.has_connection_within(1)) << "it went elsewhere";
    auto [attempt, request] = present_.accept_request();
    attempt.send_text(ok_response("y"));
    EXPECT_EQ(client.response_status(), 200);
  }

  Listener discovery_{9};
  Listener former_{2};
  Listener present_{3};
  ChangingList list_{discovery_, list_entry_json("a", former_.address)};
  std::unique_ptr<SidecarProcess> sidecar_;
};

// Guards against: a connection that was busy when its endpoint moved is kept under the endpoint's name, and
// later requests go to the process that is at the former address.
TEST_F(ReusedAddress, GetsNoRequestForAnEndpointThatMovedWhileItsConnectionWasBusy) {
  TestConnection client(sidecar_->listen);
  TestConnection attempt = begin_attempt(client);
  list_.publish(list_entry_json("a", present_.address));
  finish_attempt(attempt, client);

  expect_next_request_at_the_present_address();
}

// Guards against: the same for an endpoint that left and came back elsewhere.
TEST_F(ReusedAddress, GetsNoRequestForAnEndpointThatCameBackElsewhere) {
  TestConnection client(sidecar_->listen);
  TestConnection attempt = begin_attempt(client);
  list_.publish(list_entry_json("other", "127.0.0.1:1"));
  finish_attempt(attempt, client);
  list_.publish(list_entry_json("a", present_.address));

  expect_next_request_at_the_present_address();
}

TEST_F(ReusedAddress, GetsNoRequestForAnEndpointThatMovedWhileItsConnectionWasIdle) {
  TestConnection client(sidecar_->listen);
  TestConnection attempt = begin_attempt(client);
  finish_attempt(attempt, client);
  list_.publish(list_entry_json("a", present_.address));

  expect_next_request_at_the_present_address();
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
