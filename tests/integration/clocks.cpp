// The wall clock of the program is wrong, or is stepped while it runs: slow start still begins and ends on
// time. Discovery states start times by the clock of this test, which is right.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <mutex>
#include <thread>
#include <vector>

#include "testing/answering_endpoint.h"
#include "testing/faults/faults.h"
#include "testing/sidecar_process.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

constexpr double kSlowStartSeconds = 2;
const std::string kRules = R"({"ColdShare":0.1,"ColdS":2})";
constexpr int kRequests = 60, kConcurrentRequests = 6;
// Of two endpoints, one in slow start gets a tenth of what the other gets at first, and about half of it on
// average over the whole time.
constexpr int kMaxRequestsInSlowStart = kRequests / 4, kMinRequestsWhenWarm = kRequests / 3;
const char* const kClockErrors[] = {"clock +3600", "clock -3600", "clock +5", "clock -5"};

std::string library;  // path of the fault injection library, from the command line

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Sends the full list to each new watch, and again to all watches on each change.
class Discovery {
 public:
  explicit Discovery(std::string entries)
      : entries_(std::move(entries)), serving_([this] { serve_lists(); }) {}
  ~Discovery() {
    is_stopping_ = true;
    serving_.join();
  }
  void change(std::string entries) {
    std::lock_guard lock(mutex_);
    entries_ = std::move(entries), ++index_;
  }
  // Waits until all watches have been sent the current list.
  void wait_until_sent() const {
    for (double until = now() + 6; sent_index_ != index_; sleep_for(0.005)) assert(now() < until);
  }
  Listener listener{9};

 private:
  struct Watcher {
    TestConnection connection;
    int sent_index = 0;
  };
  void serve_lists() {
    std::vector<Watcher> watchers;
    while (!is_stopping_) {
      if (listener.has_connection_within(0.01)) {
        Watcher next{listener.accept_connection()};
        if (!next.connection.receive_message(HttpReader::Side::Request)) continue;
        next.connection.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watchers.push_back(std::move(next));
      }
      std::lock_guard lock(mutex_);
      for (Watcher& one : watchers) {
        if (one.sent_index == index_) continue;
        one.connection.send_text(http_chunk(R"({"index":)" + std::to_string(index_) +
                                            R"(,"snapshot":true,"endpoints":[)" + entries_ + "]}\n"));
        one.sent_index = index_;
      }
      std::erase_if(watchers, [](Watcher& one) {
        return one.connection.has_input_within(0);
      });  // its connection has ended
      sent_index_ = index_.load();
    }
  }
  std::mutex mutex_;
  std::string entries_;
  std::atomic<int> index_ = 8, sent_index_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::thread serving_;
};

// Two endpoints of the same weight, and one sidecar in front of them.
struct Fixture {
  AnsweringEndpoint fresh{2}, other{3};
  std::int64_t since_ms = 0;  // start time of `fresh`
  Discovery discovery{entries()};
  int request_count = 0;

  std::string entries() const {
    std::string first = list_entry_json("fresh", fresh.listener.address);
    first.replace(first.find(R"("since_ms":0)"), 12, R"("since_ms":)" + std::to_string(since_ms));
    return first + "," + list_entry_json("other", other.listener.address);
  }
  SidecarProcess::Options options(const Faults& faults, int number = 0) {
    SidecarProcess::Options made;
    made.admin = loopback_address(5) + ":" + std::to_string(5100 + number);
    made.number = number, made.discovery = &discovery.listener;
    made.environment = faults.environment(), made.rules = kRules;
    return made;
  }
  void restart_fresh_endpoint() {
    since_ms = unix_ms();
    discovery.change(entries());
    discovery.wait_until_sent();
  }
  // How many of the next requests `fresh` gets. Several are sent in parallel, else the faster endpoint gets
  // them all.
  int share_of_fresh(const SidecarProcess& sidecar) {
    int before = fresh.served;
    for (int i = 0; i < kRequests; i += kConcurrentRequests) {
      std::vector<TestConnection> clients;
      for (int k = 0; k < kConcurrentRequests; ++k) {
        clients.emplace_back(sidecar.listen);
        ++request_count;
        assert(clients.back().send_text(get_request("", std::to_string(request_count))));
      }
      for (TestConnection& client : clients) assert(client.response_status() == 200);
    }
    return fresh.served - before;
  }
  // The largest share in a few rounds. A single round may be low by chance, or use connections that have just
  // been opened; in slow start no round comes near the share of a warm endpoint.
  int largest_share_of_fresh(const SidecarProcess& sidecar) {
    constexpr int kRounds = 5;
    int largest = 0;
    for (int i = 0; i < kRounds && largest < kMinRequestsWhenWarm; ++i)
      largest = std::max(largest, share_of_fresh(sidecar));
    return largest;
  }
};

// The clock is wrong from before the process starts.
void slow_start_begins_and_ends_on_time_under_a_wrong_wall_clock() {
  for (const char* wrong : kClockErrors) {
    Fixture fixture;
    Faults faults(library, wrong);
    SidecarProcess sidecar(fixture.entries(), fixture.options(faults));
    assert(fixture.largest_share_of_fresh(sidecar) >= kMinRequestsWhenWarm);
    fixture.restart_fresh_endpoint();
    double started = now();
    int slow_start = fixture.share_of_fresh(sidecar);
    std::printf("%s: %d of %d in slow start", wrong, slow_start, kRequests);
    assert(slow_start <= kMaxRequestsInSlowStart);
    sleep_for(std::max(0.0, started + kSlowStartSeconds + 0.5 - now()));
    int warm = fixture.largest_share_of_fresh(sidecar);
    std::printf(", %d when warm\n", warm);
    assert(warm >= kMinRequestsWhenWarm);
  }
}

// During slow start the clock is stepped and the same list repeated: this is neither a new start nor the end
// of slow start.
void clock_step_during_slow_start_neither_ends_nor_restarts_it() {
  for (const char* step : kClockErrors) {
    Fixture fixture;
    Faults faults(library);
    SidecarProcess sidecar(fixture.entries(), fixture.options(faults));
    fixture.restart_fresh_endpoint();
    double started = now();
    faults.change(step);
    fixture.discovery.change(fixture.entries());
    fixture.discovery.wait_until_sent();
    assert(fixture.share_of_fresh(sidecar) <= kMaxRequestsInSlowStart);
    sleep_for(std::max(0.0, started + kSlowStartSeconds + 0.5 - now()));
    fixture.discovery.change(fixture.entries());
    fixture.discovery.wait_until_sent();
    assert(fixture.largest_share_of_fresh(sidecar) >= kMinRequestsWhenWarm);
  }
}

// The successor reads another wall clock than its predecessor.
void clock_step_during_takeover_neither_ends_nor_restarts_slow_start() {
  for (const char* step : kClockErrors) {
    Fixture fixture;
    Faults right(library), stepped(library, step);
    SidecarProcess predecessor(fixture.entries(), fixture.options(right));
    fixture.restart_fresh_endpoint();
    double started = now();
    SidecarProcess successor(fixture.entries(), fixture.options(stepped, 1));
    auto ready = [] {
      TestConnection connection(loopback_address(5) + ":5101");
      return connection.connected && connection.send_text("GET /api/ready HTTP/1.1\r\n\r\n") &&
             connection.response_status() == 200;
    };
    for (double until = now() + 6; !ready(); sleep_for(0.01)) assert(now() < until);
    predecessor.terminate();
    assert(predecessor.exit_code(3) == 0);
    assert(now() - started < kSlowStartSeconds / 2);  // slow start is not over
    assert(fixture.share_of_fresh(successor) <= kMaxRequestsInSlowStart);
    sleep_for(std::max(0.0, started + kSlowStartSeconds + 0.5 - now()));
    fixture.discovery.change(fixture.entries());
    fixture.discovery.wait_until_sent();
    assert(fixture.largest_share_of_fresh(successor) >= kMinRequestsWhenWarm);
  }
}

}  // namespace

int main(int count, char** words) {
  assert(count == 3);
  signal(SIGPIPE, SIG_IGN);
  program = words[1], library = words[2];
  std::string folder = "/tmp/puffinvane-clocks-" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  setenv("TMPDIR", folder.c_str(), 1);
  slow_start_begins_and_ends_on_time_under_a_wrong_wall_clock();
  clock_step_during_slow_start_neither_ends_nor_restarts_it();
  clock_step_during_takeover_neither_ends_nor_restarts_slow_start();
  std::filesystem::remove_all(folder);
  std::puts("clocks: all tests passed");
}
