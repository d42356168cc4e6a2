// Orders that operators give to both processes of an upgrade while one of them stands still, so that the
// messages of the processes about them cross. Each order that was answered with yes holds in both.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "testing/program_main.h"
#include "testing/sidecar_process.h"
#include "testing/temporary_folder.h"

namespace puffinvane::test {
namespace {

constexpr double kHeldUpSeconds = 0.1;  // the platform names up to 0.15
constexpr double kGraceSeconds = 0.5;   // of an order

std::string order(const std::string& action, const std::string& endpoint = "") {
  return "PUT /api/" + action +
         " HTTP/1.1\r\nHost: admin\r\nContent-Length: " + std::to_string(endpoint.size()) + "\r\n\r\n" +
         endpoint;
}

int status_at(const std::string& address, const std::string& request) {
  TestConnection connection(address);
  connection.send_text(request);
  return connection.response_status();
}

class CrossingOrders : public testing::Test {
 protected:
  explicit CrossingOrders(int endpoints = 4) {
    std::string list;
    for (int i = 0; i < endpoints; ++i)
      list += (list.empty() ? "" : ",") + list_entry_json("e" + std::to_string(i), endpoint_.address);
    predecessor_ = start_process(list, 0);
    successor_ = start_process(list, 1);
    for (const double until = now() + 6; !admin_api_is_ready(admin_of(1)) && now() < until;) sleep_for(0.01);
  }
  static std::string admin_of(int number) {
    return loopback_address(3) + ":" + std::to_string(5100 + number);
  }
  std::unique_ptr<SidecarProcess> start_process(const std::string& list, int number) {
    SidecarProcess::Options options;
    options.admin = admin_of(number);
    options.number = number;
    options.discovery = &discovery_;
    options.environment = {{"TMPDIR", control_sockets_.path()}};
    return std::make_unique<SidecarProcess>(list, options);
  }
  // Gives the order to both, and waits until they agree.
  void give_to_predecessor(const std::string& request) {
    EXPECT_EQ(status_at(admin_of(0), request), 200);
    sleep_for(kHeldUpSeconds);
  }
  // Both orders are answered with yes. The successor reads its own after the predecessor has carried out the
  // other one.
  void give_crossing(const std::string& to_successor, const std::string& to_predecessor) {
    TestConnection at_successor(admin_of(1));
    sleep_for(0.05);
    successor_->while_stopped([&] {
      at_successor.send_text(to_successor);
      sleep_for(0.02);
      EXPECT_EQ(status_at(admin_of(0), to_predecessor), 200);
      sleep_for(kHeldUpSeconds);
    });
    EXPECT_EQ(at_successor.response_status(), 200);
  }
  // Whether the process gets to that number of listed endpoints that it avoids within the grace, and stays.
  static bool avoids(int process, int endpoints) {
    const std::string line = "_cluster_unhealthy " + std::to_string(endpoints) + "\n";
    const auto has_line = [&] {
      TestConnection connection(admin_of(process));
      connection.send_text("GET /api/telemetry HTTP/1.1\r\n\r\n");
      const auto answer = connection.receive_message(HttpReader::Side::Response);
      return answer && answer->body.text().find(line) != std::string::npos;
    };
    for (const double until = now() + kGraceSeconds; !has_line() && now() < until;) sleep_for(0.01);
    sleep_for(0.1);
    return has_line();
  }

  const TemporaryFolder control_sockets_;
  Listener discovery_{9};
  Listener endpoint_{2};
  std::unique_ptr<SidecarProcess> predecessor_;
  std::unique_ptr<SidecarProcess> successor_;
};

class ManyOrders : public CrossingOrders {
 protected:
  static constexpr int kEndpoints = 300;
  ManyOrders() : CrossingOrders(kEndpoints) {}
};

// Guards against: the set of exclusions that the predecessor sent before it knew of the successor's replaces
// it.
TEST_F(CrossingOrders, ExclusionsOfTwoEndpointsHoldInBothProcesses) {
  give_crossing(order("exclude", "e1"), order("exclude", "e2"));

  EXPECT_TRUE(avoids(0, 2));
  EXPECT_TRUE(avoids(1, 2));
}

// Guards against: the end of an exclusion is undone by an older exclusion of another endpoint.
TEST_F(CrossingOrders, AnInclusionAndAnExclusionHoldInBothProcesses) {
  give_to_predecessor(order("exclude", "e1"));
  give_to_predecessor(order("exclude", "e3"));

  give_crossing(order("include", "e1"), order("exclude", "e2"));

  EXPECT_TRUE(avoids(0, 2));
  EXPECT_TRUE(avoids(1, 2));
  EXPECT_EQ(status_at(admin_of(1), order("include", "e2")), 200);
  EXPECT_EQ(status_at(admin_of(0), order("include", "e3")), 200);
  EXPECT_TRUE(avoids(0, 0));
  EXPECT_TRUE(avoids(1, 0));
}

// Guards against: an exclusion ends an evacuation that was ordered at the other process.
TEST_F(CrossingOrders, AnEvacuationAndAnExclusionHoldInBothProcesses) {
  give_crossing(order("evacuate"), order("exclude", "e2"));

  EXPECT_TRUE(avoids(0, 1));
  EXPECT_TRUE(avoids(1, 1));
  for (int i = 0; i < 6; ++i)  // each new connection reaches either process
    EXPECT_EQ(status_at(predecessor_->listen, "GET /healthz HTTP/1.1\r\n\r\n"), 503);
}

// Guards against: orders that wait for room in the channel to the successor are lost when the predecessor
// ends.
TEST_F(ManyOrders, HoldInASuccessorThatStoodStillWhenThePredecessorWasTerminated) {
  successor_->while_stopped([&] {
    for (int i = 0; i < kEndpoints; ++i)
      ASSERT_EQ(status_at(admin_of(0), order("exclude", "e" + std::to_string(i))), 200);
    predecessor_->terminate();
    sleep_for(kHeldUpSeconds);
  });

  EXPECT_EQ(predecessor_->exit_code(3), 0);
  EXPECT_TRUE(avoids(1, kEndpoints));
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
