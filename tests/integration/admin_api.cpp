// Tests of operators' calls, on the whole program over loopback: figures, exclusions, drains.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <iterator>
#include <set>
#include <sstream>
#include <vector>

#include "testing/answering.h"
#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

const std::string kAdmin = here(3) + ":5003";

std::string call(const std::string& method, const std::string& path, const std::string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: c\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
int ask(const std::string& method, const std::string& path, const std::string& body = "") {
  Line line(kAdmin);
  line.say(call(method, path, body));
  return line.answer_status();
}
std::string figures() {
  Line line(kAdmin);
  line.say(call("GET", "/api/telemetry"));
  auto answer = line.hear(HttpReader::Side::Response);
  return answer && answer->status == 200 ? answer->body.text() : "";
}
bool shows(const std::string& line) { return figures().find("\n" + line + "\n") != std::string::npos; }

Running::Options with_admin() {
  Running::Options options;
  options.admin = kAdmin;
  return options;
}

void figures_agree_with_what_peers_saw() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), with_admin());
  assert(ask("GET", "/api/ready") == 200);
  Line client(sidecar.listen);
  client.say(get());
  auto [attempt, request] = endpoint.take_request();
  assert(shows("sidecar_current 1") && shows("sidecar_sends_total 1"));
  attempt.say(ok("x"));
  assert(client.answer_status() == 200);
  assert(shows("sidecar_answered_total{group=\"read\"} 1") && shows("sidecar_current 0"));
  assert(shows("sidecar_errored_total{group=\"write\"} 0") && shows("sidecar_cluster_size 1"));
  // Written and broken: it may have run.
  settle();
  client.say(post("b"));
  assert(attempt.hear(HttpReader::Side::Request));
  sleep_for(0.15);
  attempt.reset();
  assert(client.answer_status() == 502 && shows("sidecar_errored_total{group=\"write\"} 1"));
  // What the listener turns away for its own faults has ended too, in its request class and in no other.
  assert(sidecar.status_of("GET /read/a HTTP/1.1\r\n\r\n") == 400);
  assert(sidecar.status_of("GET /stranger HTTP/1.1\r\n\r\n") == 404);
  assert(shows("sidecar_errored_total{group=\"read\"} 1") && figures().find("stranger") == std::string::npos);
}

void bad_calls_are_told_what_is_wrong() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), with_admin());
  assert(ask("GET", "/api/nothing") == 404 && ask("GET", "/api/exclude") == 405);
  assert(ask("PUT", "/api/ready") == 405 && ask("PUT", "/api/exclude", "stranger") == 404);
  assert(ask("PUT", "/api/include", "stranger") == 404 && ask("PUT", "/api/exclude", "") == 404);
  assert(ask("PUT", "/api/exclude", std::string(5000, 'a')) == 413);
  Line line(kAdmin);
  line.say("nonsense\r\n\r\n");
  assert(line.answer_status() == 400);
}

void clients_that_hold_a_connection_keep_nobody_out() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), with_admin());
  std::vector<Line> holding;
  for (int i = 0; i < 60; ++i) holding.emplace_back(kAdmin).say("PUT /api/excl");
  double asked = now();
  assert(ask("GET", "/api/ready") == 200 && now() - asked < 0.9);
}

void an_excluded_endpoint_gets_nothing_until_it_is_included() {
  Listener first(2), second(4);
  Running::Options options = with_admin();
  options.registry = "on_request";
  Running sidecar(entry("a", first.address) + "," + entry("b", second.address), options);
  assert(ask("PUT", "/api/exclude", "a\n") == 200 && ask("PUT", "/api/exclude", "a") == 200);
  assert(shows("sidecar_cluster_unhealthy 1") && shows("sidecar_cluster_size 2"));
  Line client(sidecar.listen);
  std::optional<Line> kept;
  for (int i = 0; i < 8; ++i) {
    settle();
    client.say(get());
    if (!kept) kept = second.take();
    assert(kept->hear(HttpReader::Side::Request));
    kept->say(ok("b"));
    assert(client.answer_status() == 200);
  }
  // The list's word does not end the order: restarted, it is listed anew, and still gets nothing.
  auto [watch, asked] = sidecar.discovery().take_request();
  std::string line = R"({"index":9,"snapshot":false,"endpoints":[)" + entry("a", first.address) + "]}\n";
  char size[16];
  std::snprintf(size, sizeof size, "%zx", line.size());
  watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" + line +
            "\r\n");
  sleep_for(0.05);
  assert(shows("sidecar_cluster_unhealthy 1") && !first.connection_waits(0));
  // Taken back, it is in slow start, and used again within the time that operators are promised.
  assert(ask("PUT", "/api/include", "a") == 200 && shows("sidecar_cluster_unhealthy 0"));
  std::vector<std::pair<bool, Line>> lines;  // whether at the one taken back
  lines.emplace_back(false, std::move(*kept));
  bool back = false;
  Line beside(sidecar.listen);  // two at a time: the second finds the other endpoint busy
  int requests = 0;
  for (double until = now() + 5; !back && now() < until;) {
    std::string id = "n" + std::to_string(++requests);
    settle();
    client.say(get("", id)), beside.say(get("", id + "b"));
    while (!client.anything(0) || !beside.anything(0)) {
      if (first.connection_waits(0)) lines.emplace_back(true, first.take());
      if (second.connection_waits(0)) lines.emplace_back(false, second.take());
      for (std::size_t i = 0; i < lines.size();) {
        auto& [there, line] = lines[i];
        if (!line.anything(0.001)) {
          ++i;
          continue;
        }
        bool asked = line.hear(HttpReader::Side::Request) && line.say(ok("c"));  // or it was called off
        back |= asked && there;
        asked ? void(++i) : void(lines.erase(lines.begin() + std::ptrdiff_t(i)));
      }
    }
    assert(client.answer_status() == 200 && beside.answer_status() == 200);
  }
  assert(back);
  // With nobody left the order is obeyed all the same.
  assert(ask("PUT", "/api/exclude", "a") == 200 && ask("PUT", "/api/exclude", "b") == 200);
  client.say(get());
  assert(client.answer_status() == 503 && !first.connection_waits(0) && !second.connection_waits(0));
}

void a_drained_sidecar_says_no_serves_on_and_parts() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), with_admin());
  Line busy(sidecar.listen), idle(sidecar.listen);
  idle.say("GET /healthz HTTP/1.1\r\n\r\n");
  assert(idle.answer_status() == 200);
  assert(ask("PUT", "/api/evacuate") == 200 && ask("PUT", "/api/evacuate") == 200);
  busy.say("GET /healthz HTTP/1.1\r\n\r\n");
  assert(busy.answer_status() == 503);
  assert(!idle.anything(0.3));  // the front has had no time to notice yet
  sleep_for(0.2);
  busy.say(get());
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("x"));
  auto answer = busy.hear(HttpReader::Side::Response);
  assert(answer && answer->status == 200 && !answer->keep_alive && busy.ended(1) && idle.ended(2));
  assert(ask("PUT", "/api/rejoin") == 200 && ask("PUT", "/api/rejoin") == 200);
  Line again(sidecar.listen);
  again.say("GET /healthz HTTP/1.1\r\n\r\n");
  auto yes = again.hear(HttpReader::Side::Response);
  assert(yes && yes->status == 200 && yes->keep_alive && !again.anything(1.5));
}

// A client whose head comes in pieces, from a thread of its own.
class SlowClient {
 public:
  // The whole head takes that long, unless it is finished earlier. Its first line is sent at once: where all
  // connections are taken, one that says nothing is closed.
  SlowClient(const std::string& address, const std::string& id, double head_s)
      : line_(address), began_s_(now()) {
    line_.say("GET /read/a HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\n");
    sending_ = std::jthread([this, head_s](const std::stop_token& finish) { send_rest(finish, head_s); });
  }
  // Finishes the head and waits for the answer.
  int finish() {
    sending_.request_stop();
    sending_.join();
    return status_;
  }
  double head_s() const { return head_s_; }                      // once it is finished
  double answered_after_s() const { return answered_after_s_; }  // from the first byte of the head

 private:
  void send_rest(const std::stop_token& finish, double head_s) {
    while (!finish.stop_requested() && now() < began_s_ + head_s && !line_.anything(0.05)) {
      line_.say("X-Piece: x\r\n");
    }
    line_.say("\r\n");
    head_s_ = now() - began_s_;
    status_ = line_.answer_status();
    answered_after_s_ = now() - began_s_;
  }

  Line line_;
  const double began_s_;
  double head_s_ = 0;
  double answered_after_s_ = 0;
  int status_ = 0;
  std::jthread sending_;
};

// By the platform's terms: a client may take this long for a head, and a bad one is answered within so long.
constexpr double kLongestHead = 2;
constexpr double kBadClientAnswered = 3;

// With few descriptors, and more connections than those that say nothing or half a request.
void crowds_keep_neither_requests_nor_orders_out() {
  constexpr double kHead = 1.8;  // seconds
  Answering endpoint(2);
  Running::Options options = with_admin();
  options.limits = R"({"sockets":128,"memory_mb":24})";
  Running sidecar(entry("a", endpoint.listener.address), options);
  // A client in progress is not closed for those that stand still. Where the machine holds this test up for
  // longer than a head may take, it is a bad client.
  auto is_served = [](SlowClient& slow) {
    const int status = slow.finish();
    return status == 200 || (status == 408 && slow.head_s() > kLongestHead);
  };
  SlowClient slow_through_all(sidecar.listen, "slow", kHead);
  std::vector<Line> crowd;
  std::vector<double> took;
  double cpu = sidecar.cpu_seconds();
  for (int i = 0; i < 5; ++i) {
    SlowClient slow(sidecar.listen, "slow" + std::to_string(i), kHead);
    for (int k = 0; k < 60; ++k) {
      crowd.emplace_back(sidecar.listen);
      if (k % 2) crowd.back().say("GET /read/a HTTP/1.1\r\nX-Corr");
    }
    for (int k = 0; k < 4; ++k) crowd.emplace_back(kAdmin).say("PUT /api/excl");
    for (int k = 0; k < 40; ++k) {
      double asked = now();
      assert(k % 2 ? ask("GET", "/api/ready") == 200 : ask("GET", "/api/telemetry") == 200);
      took.push_back(now() - asked);
    }
    double asked = now();
    Line client(sidecar.listen);
    client.say(get("", "n" + std::to_string(i)));
    assert(client.answer_status() == 200 && now() - asked < 1);
    sleep_for(0.1);
    assert(is_served(slow));
  }
  assert(is_served(slow_through_all));
  assert(sidecar.cpu_seconds() - cpu < 0.7);
  std::sort(took.begin(), took.end());
  assert(took.back() < 1);
  std::printf("calls beside 300 idle or half connections: p50 %.5f, p99 %.5f, worst %.5f s\n",
              took[took.size() / 2], took[took.size() * 99 / 100], took.back());
}

void a_head_that_takes_longer_than_it_may_is_answered_408_in_time() {
  Answering endpoint(2);
  Running sidecar(entry("a", endpoint.listener.address), with_admin());
  SlowClient slow(sidecar.listen, "slow", 2 * kBadClientAnswered);  // unless it is answered before
  sleep_for(kBadClientAnswered);
  const int status = slow.finish();
  std::printf("a head that took %.3f s was answered %d after %.3f s\n", slow.head_s(), status,
              slow.answered_after_s());
  std::fflush(stdout);
  assert(status == 408);
  assert(slow.answered_after_s() > kLongestHead && slow.answered_after_s() < kBadClientAnswered);
}

// Something of it lies unread at nearly every moment.
void a_head_that_comes_byte_by_byte_without_a_pause_is_answered_408_in_time() {
  constexpr double kPause = 0.0002;  // seconds: the head stays under the longest that is read
  Answering endpoint(2);
  Running sidecar(entry("a", endpoint.listener.address), with_admin());
  Line line(sidecar.listen);
  const double began = now();
  line.say("GET /read/a HTTP/1.1\r\nX-Correlation-Id: slow\r\nX-Rest: ");
  while (!line.anything(0) && now() < began + 2 * kBadClientAnswered) {
    line.say("x");
    sleep_for(kPause);
  }
  const double answered_after = now() - began;
  const int status = line.answer_status();
  std::printf("a head without a pause was answered %d after %.3f s\n", status, answered_after);
  std::fflush(stdout);
  assert(status == 408 && answered_after > kLongestHead && answered_after < kBadClientAnswered);
}

// What the platform's bench refuses a sidecar: other listeners, files, Unix sockets, threads.
struct Opened {
  int listeners = 0, files = 0, local = 0, threads = 0;
  friend bool operator==(const Opened&, const Opened&) = default;
};
Opened opened_by(pid_t process) {
  namespace fs = std::filesystem;
  const std::string at = "/proc/" + std::to_string(process);
  Opened found;
  std::set<std::string> sockets;
  for (const auto& one : fs::directory_iterator(at + "/fd")) {
    std::string to = fs::read_symlink(one).string(), name = one.path().filename();
    if (to.starts_with("socket:[")) sockets.insert(to.substr(8, to.size() - 9));
    else found.files += std::stoi(name) > 2 && to.starts_with("/");
  }
  auto rows = [&](const std::string& table, std::size_t inode, auto count) {
    std::ifstream file("/proc/net/" + table);
    for (std::string line; std::getline(file, line);) {
      std::istringstream words(line);
      std::vector<std::string> all{std::istream_iterator<std::string>(words), {}};
      if (all.size() > inode && sockets.contains(all[inode])) count(all);
    }
  };
  rows("tcp", 9, [&](const auto& row) { found.listeners += row[3] == "0A"; });
  rows("unix", 6, [&](const auto&) { ++found.local; });
  for ([[maybe_unused]] const auto& one : fs::directory_iterator(at + "/task")) ++found.threads;
  return found;
}

void without_its_keys_it_opens_nothing_but_its_listener_and_starts_no_thread() {
  char folder[] = "/tmp/puffinvane-off-XXXXXX";
  assert(mkdtemp(folder));
  setenv("TMPDIR", folder, 1);
  for (int open = 3; open < 256; ++open) fcntl(open, F_SETFD, FD_CLOEXEC);  // what the tests' runner left us
  Listener endpoint(2);
  auto serve_one = [&](const Running::Options& admin_options) {
    Running sidecar(entry("a", endpoint.address), admin_options);
    Line client(sidecar.listen);
    client.say(get());
    auto [attempt, request] = endpoint.take_request();
    attempt.say(ok("x"));
    assert(client.answer_status() == 200);
    sidecar.reload();
    sleep_for(0.1);
    return std::pair(opened_by(sidecar.child()), !std::filesystem::is_empty(folder));
  };
  assert((serve_one({}) == std::pair(Opened{1, 0, 0, 1}, false)));
  Running::Options admin_options;
  admin_options.admin = here(3) + ":5103";
  assert((serve_one(admin_options) == std::pair(Opened{2, 0, 1, 1}, true)));  // the look sees what there is
  unsetenv("TMPDIR");
  std::filesystem::remove_all(folder);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2);
  program = words[1];
  figures_agree_with_what_peers_saw();
  bad_calls_are_told_what_is_wrong();
  clients_that_hold_a_connection_keep_nobody_out();
  an_excluded_endpoint_gets_nothing_until_it_is_included();
  a_drained_sidecar_says_no_serves_on_and_parts();
  crowds_keep_neither_requests_nor_orders_out();
  a_head_that_takes_longer_than_it_may_is_answered_408_in_time();
  a_head_that_comes_byte_by_byte_without_a_pause_is_answered_408_in_time();
  without_its_keys_it_opens_nothing_but_its_listener_and_starts_no_thread();
}
