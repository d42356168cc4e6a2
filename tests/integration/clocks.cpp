// The wall clock of the real program is wrong, or is stepped while it runs: slow start begins and ends as it
// should. Discovery's stamps are by this process's clock, which is right.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <mutex>
#include <thread>
#include <vector>

#include "testing/answering.h"
#include "testing/faults/faults.h"
#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

constexpr double kWarmAfter = 2;
const std::string kRules = R"({"ColdShare":0.1,"ColdS":2})";
constexpr int kRequests = 60, kAtOnce = 6;
// Of two endpoints a cold one gets a tenth of the other's at first, and a half more on average over the whole
// time.
constexpr int kMostInSlowStart = kRequests / 4, kLeastOnceWarm = kRequests / 3;
const char* const kWrong[] = {"clock +3600", "clock -3600", "clock +5", "clock -5"};

std::string library;  // of faults, from the command line

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Tells whoever asks the whole list, and those who watch each change of it.
class Discovery {
 public:
  explicit Discovery(std::string entries) : entries_(std::move(entries)), telling_([this] { tell(); }) {}
  ~Discovery() {
    over_ = true;
    telling_.join();
  }
  void change(std::string entries) {
    std::lock_guard lock(mutex_);
    entries_ = std::move(entries), ++index_;
  }
  // Until all who watch have been told the list as it is now.
  void wait_until_notified() const {
    for (double until = now() + 6; notified_ != index_; sleep_for(0.005)) assert(now() < until);
  }
  Listener listener{9};

 private:
  struct Watcher {
    TestConnection line;
    int notified = 0;
  };
  void tell() {
    std::vector<Watcher> watchers;
    while (!over_) {
      if (listener.has_connection_within(0.01)) {
        Watcher next{listener.accept_connection()};
        if (!next.line.receive_message(HttpReader::Side::Request)) continue;
        next.line.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watchers.push_back(std::move(next));
      }
      std::lock_guard lock(mutex_);
      for (Watcher& one : watchers) {
        if (one.notified == index_) continue;
        one.line.send_text(http_chunk(R"({"index":)" + std::to_string(index_) +
                                      R"(,"snapshot":true,"endpoints":[)" + entries_ + "]}\n"));
        one.notified = index_;
      }
      std::erase_if(watchers, [](Watcher& one) { return one.line.has_input_within(0); });  // it has left
      notified_ = index_.load();
    }
  }
  std::mutex mutex_;
  std::string entries_;
  std::atomic<int> index_ = 8, notified_ = 0;
  std::atomic<bool> over_ = false;
  std::thread telling_;
};

// Two endpoints of one size, and one sidecar before them.
struct Fixture {
  AnsweringEndpoint fresh{2}, other{3};
  std::int64_t since_ms = 0;  // of `fresh`
  Discovery discovery{entries()};
  int asked = 0;

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
  void start_anew() {
    since_ms = unix_ms();
    discovery.change(entries());
    discovery.wait_until_notified();
  }
  // How many of the next requests `fresh` gets. Several are out at a time, else the faster one gets them all.
  int share_of_fresh(const SidecarProcess& sidecar) {
    int before = fresh.served;
    for (int i = 0; i < kRequests; i += kAtOnce) {
      std::vector<TestConnection> clients;
      for (int k = 0; k < kAtOnce; ++k) {
        clients.emplace_back(sidecar.listen);
        ++asked;
        assert(clients.back().send_text(get_request("", std::to_string(asked))));
      }
      for (TestConnection& client : clients) assert(client.response_status() == 200);
    }
    return fresh.served - before;
  }
  // The largest share of a few rounds. One alone may be drawn low, or fall on connections that are just
  // opened; in slow start none of them comes near to what a warm endpoint gets.
  int largest_share_of_fresh(const SidecarProcess& sidecar) {
    constexpr int kRounds = 5;
    int largest = 0;
    for (int i = 0; i < kRounds && largest < kLeastOnceWarm; ++i)
      largest = std::max(largest, share_of_fresh(sidecar));
    return largest;
  }
};

// Wrong before the process starts, and all the time.
void slow_start_begins_and_ends_on_time_under_a_wrong_wall_clock() {
  for (const char* wrong : kWrong) {
    Fixture fixture;
    Faults faults(library, wrong);
    SidecarProcess sidecar(fixture.entries(), fixture.options(faults));
    assert(fixture.largest_share_of_fresh(sidecar) >= kLeastOnceWarm);
    fixture.start_anew();
    double started = now();
    int slow_start = fixture.share_of_fresh(sidecar);
    std::printf("%s: %d of %d while cold", wrong, slow_start, kRequests);
    assert(slow_start <= kMostInSlowStart);
    sleep_for(std::max(0.0, started + kWarmAfter + 0.5 - now()));
    int warm = fixture.largest_share_of_fresh(sidecar);
    std::printf(", %d once warm\n", warm);
    assert(warm >= kLeastOnceWarm);
  }
}

// Under slow start the clock is stepped, and the same list comes again: no new start, and no end of slow
// start.
void clock_step_during_slow_start_neither_ends_nor_restarts_it() {
  for (const char* step : kWrong) {
    Fixture fixture;
    Faults faults(library);
    SidecarProcess sidecar(fixture.entries(), fixture.options(faults));
    fixture.start_anew();
    double started = now();
    faults.change(step);
    fixture.discovery.change(fixture.entries());
    fixture.discovery.wait_until_notified();
    assert(fixture.share_of_fresh(sidecar) <= kMostInSlowStart);
    sleep_for(std::max(0.0, started + kWarmAfter + 0.5 - now()));
    fixture.discovery.change(fixture.entries());
    fixture.discovery.wait_until_notified();
    assert(fixture.largest_share_of_fresh(sidecar) >= kLeastOnceWarm);
  }
}

// The process that takes over reads another wall clock than the one before.
void clock_step_during_takeover_neither_ends_nor_restarts_slow_start() {
  for (const char* step : kWrong) {
    Fixture fixture;
    Faults right(library), stepped(library, step);
    SidecarProcess predecessor(fixture.entries(), fixture.options(right));
    fixture.start_anew();
    double started = now();
    SidecarProcess successor(fixture.entries(), fixture.options(stepped, 1));
    auto ready = [] {
      TestConnection line(loopback_address(5) + ":5101");
      return line.connected && line.send_text("GET /api/ready HTTP/1.1\r\n\r\n") &&
             line.response_status() == 200;
    };
    for (double until = now() + 6; !ready(); sleep_for(0.01)) assert(now() < until);
    predecessor.terminate();
    assert(predecessor.exit_code(3) == 0);
    assert(now() - started < kWarmAfter / 2);  // it is in slow start yet
    assert(fixture.share_of_fresh(successor) <= kMostInSlowStart);
    sleep_for(std::max(0.0, started + kWarmAfter + 0.5 - now()));
    fixture.discovery.change(fixture.entries());
    fixture.discovery.wait_until_notified();
    assert(fixture.largest_share_of_fresh(successor) >= kLeastOnceWarm);
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
  std::puts("clocks: all stories hold");
}
