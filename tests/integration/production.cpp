// Integration tests of conditions met in production, on real sockets: rapid configuration reloads, outages of
// discovery, endpoints that hang through a whole shutdown, and stalls of the process.
// Arguments: the program under test and, optionally, the name of the only test to run.
#include <filesystem>
#include <memory>
#include <thread>
#include <vector>

#include "testing/sidecar_process.h"

using namespace puffinvane;
using namespace puffinvane::test;
using Side = HttpReader::Side;

namespace {

constexpr double kMaxStallSeconds = 0.15;  // by the platform's terms, a process may stall this long
constexpr double kKillDelaySeconds =
    0.7;  // by the same terms, SIGKILL follows SIGTERM after the longest deadline plus this
constexpr double kMaxCountedTimeoutSeconds = 3;  // the most of a deadline that SIGKILL waits for
constexpr double kListReadSeconds = 0.2;  // a list that is ready is requested and read within this time

const std::string kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kClosingResponse = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

std::string list_line(int index, const std::string& entries, bool is_snapshot = true) {
  return http_chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" +
                    (is_snapshot ? "true" : "false") + R"(,"endpoints":[)" + entries + "]}\n");
}

SidecarProcess::Options on_request_mode() {
  SidecarProcess::Options options;
  options.discovery_mode = "on_request";
  return options;
}

TestConnection open_watch(Listener& discovery, const std::string& said) {
  TestConnection watch = discovery.accept_request().first;
  watch.send_text(kChunkedResponseHead + said);
  return watch;
}

bool request_reaches(Listener& where, const SidecarProcess& sidecar, const std::string& id) {
  TestConnection client(sidecar.listen);
  client.send_text(get_request("", id));
  if (!where.has_connection_within(1)) return false;
  TestConnection attempt = where.accept_connection();
  return attempt.receive_message(Side::Request) && attempt.send_text(kClosingResponse) &&
         client.response_status() == 200;
}

// ---- configuration reloads

// Another process still holds the listener, as it does for 3.7 s at a restart. A SIGHUP that arrived in that
// time was ignored.
void configuration_is_reloaded_while_another_process_holds_the_listener() {
  Listener endpoint(2), first(4), second(5);
  auto listener_holder = std::make_unique<Listener>(1);
  SidecarProcess::Options options = on_request_mode();
  options.number = 1;
  options.discovery = &first;
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
  TestConnection watch = open_watch(first, list_line(8, list_entry_json("a", endpoint.address)));
  sidecar.write_configuration(second.address);
  sidecar.reload();
  assert(second.has_connection_within(2));
  TestConnection moved = open_watch(second, list_line(9, list_entry_json("a", endpoint.address)));
  assert(watch.ends_within(1));
  listener_holder.reset();
  double until = now() + 3;
  while (sidecar.status_of("GET /healthz HTTP/1.1\r\n\r\n") != 200 && now() < until) sleep_for(0.01);
  assert(request_reaches(endpoint, sidecar, "1"));
}

// Ten reloads within some milliseconds, invalid files among them: the last valid one is used and no request
// is lost.
void last_of_many_rapid_configuration_reloads_is_used() {
  Listener endpoint(2), fresh(3);
  std::vector<std::unique_ptr<Listener>> discoveries;
  for (int i = 0; i < 5; ++i) discoveries.push_back(std::make_unique<Listener>(20 + i));
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), on_request_mode());
  TestConnection before =
      open_watch(sidecar.discovery(), list_line(8, list_entry_json("a", endpoint.address)));
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  auto [attempt, request] = endpoint.accept_request();
  for (int round = 0; round < 2; ++round) {
    for (auto& discovery : discoveries) {
      sidecar.write_configuration("half a file \"");
      sidecar.reload();
      sidecar.write_configuration(discovery->address);
      sidecar.reload();
      sleep_for(0.001);
    }
  }
  Listener& last = *discoveries.back();
  std::optional<TestConnection> watch;
  for (double until = now() + 2; now() < until && last.has_connection_within(0.3);) {
    TestConnection call = last.accept_connection();
    if (call.receive_message(Side::Request)) watch.emplace(std::move(call));
  }
  assert(watch && before.ends_within(1));
  watch->send_text(kChunkedResponseHead + list_line(9, list_entry_json("a", endpoint.address, "leaving") +
                                                           "," + list_entry_json("b", fresh.address)));
  sleep_for(kListReadSeconds);
  assert(request_reaches(fresh, sidecar, "1") && !endpoint.has_connection_within(0));
  attempt.send_text(ok_response("x"));
  assert(client.response_status() == 200);
}

// An invalid file changes nothing: the watch stays open, and the next valid file is used.
void invalid_configuration_changes_nothing() {
  Listener endpoint(2), second(4);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), on_request_mode());
  TestConnection watch =
      open_watch(sidecar.discovery(), list_line(8, list_entry_json("a", endpoint.address)));
  for (std::string file : {"half \"", "nowhere", "10.0.0.1:0", "10.0.0.1:99999", "[", ":", "\\u0000"}) {
    sidecar.write_configuration(file);
    sidecar.reload();
    assert(!watch.ends_within(0.1));
    watch.send_text(http_chunk("\n"));
  }
  sidecar.write_configuration(second.address);
  sidecar.reload();
  open_watch(second, list_line(9, list_entry_json("a", endpoint.address)));
  assert(watch.ends_within(1) && request_reaches(endpoint, sidecar, "1"));
}

// A process whose listener was taken over still has pending requests, whose retries need the current list.
void configuration_is_reloaded_by_the_predecessor_during_a_takeover() {
  Listener discovery(9), moved(4), silent(2), fresh(3);
  SidecarProcess::Options first, second;
  first.discovery = second.discovery = &discovery;
  first.discovery_mode = second.discovery_mode = "on_request";
  first.client_timeout = second.client_timeout = "3.0";
  first.admin = loopback_address(8) + ":5108";
  second.admin = loopback_address(8) + ":5109";
  second.number = 1;
  SidecarProcess predecessor(list_entry_json("a", silent.address), first);
  TestConnection watch = open_watch(discovery, list_line(8, list_entry_json("a", silent.address)));
  TestConnection client(predecessor.listen);
  client.send_text(get_request("", "1"));
  auto [attempt, request] = silent.accept_request();
  SidecarProcess successor(list_entry_json("a", silent.address), second);
  TestConnection other = open_watch(discovery, list_line(8, list_entry_json("a", silent.address)));
  auto ready = [&] {
    TestConnection connection(second.admin);
    return connection.connected && connection.send_text("GET /api/ready HTTP/1.1\r\n\r\n") &&
           connection.response_status() == 200;
  };
  for (double until = now() + 5; !ready(); sleep_for(0.01)) assert(now() < until);
  sleep_for(0.1);
  predecessor.terminate();
  sleep_for(0.1);
  predecessor.write_configuration(moved.address);
  predecessor.reload();
  assert(moved.has_connection_within(2));
  TestConnection moved_watch =
      open_watch(moved, list_line(9, list_entry_json("b", fresh.address) + "," +
                                         list_entry_json("a", silent.address, "leaving")));
  sleep_for(kListReadSeconds);
  attempt.reset();  // the retry uses the new list
  auto [retry, again] = fresh.accept_request();
  retry.send_text(ok_response("x"));
  assert(client.response_status() == 200 && predecessor.exit_code(2) == 0);
}

// ---- outages of discovery

struct CallStatistics {
  int calls = 0;
  double longest_pause = 0;
};

// Counts the calls to discovery during that time. `act` handles each and returns whether it has ended it.
template <typename Act>
CallStatistics count_calls(Listener& discovery, double seconds, Act act) {
  CallStatistics statistics;
  std::vector<TestConnection> silent;
  double last = now();
  for (double until = now() + seconds; now() < until;) {
    if (!discovery.has_connection_within(0.02)) continue;
    TestConnection connection = discovery.accept_connection();
    statistics.longest_pause = std::max(statistics.longest_pause, now() - last);
    last = now();
    ++statistics.calls;
    if (!act(connection)) silent.push_back(std::move(connection));
  }
  return statistics;
}

// Pauses between calls grow to a bound, so that the rate after minutes is the same as after seconds.
// Meanwhile requests are served by the known list, and discovery is used again as soon as it returns.
void unavailable_discovery_is_retried_at_a_bounded_rate_and_used_on_return() {
  struct Outage {
    const char* discovery_mode;
    bool refuses;  // else it accepts and stays silent
    double max_calls_per_second, longest_pause;
  };
  // In pushed mode: pauses of 0.15 s, or 0.85 s while waiting for a response. In on-request mode: 1.1 s plus
  // up to a quarter, or 2.25 s more while waiting.
  for (Outage outage : {Outage{"pushed", true, 7.5, 1}, Outage{"pushed", false, 2.5, 1.5},
                        Outage{"on_request", true, 1.5, 1.8}, Outage{"on_request", false, 1, 4.2}}) {
    Listener endpoint(2), fresh(3);
    SidecarProcess::Options options;
    options.discovery_mode = outage.discovery_mode;
    SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
    auto act = [&](TestConnection& connection) {
      if (outage.refuses) connection.reset();
      return outage.refuses;
    };
    count_calls(sidecar.discovery(), 3, act);  // the first pauses are shorter
    constexpr double kMeasuredSeconds = 6;
    CallStatistics statistics = count_calls(sidecar.discovery(), kMeasuredSeconds, act);
    assert(statistics.calls >= 1 && statistics.calls <= outage.max_calls_per_second * kMeasuredSeconds + 1);
    assert(statistics.longest_pause < outage.longest_pause);
    assert(request_reaches(endpoint, sidecar, "1"));
    while (sidecar.discovery().has_connection_within(0))
      sidecar.discovery().accept_connection();  // calls that are abandoned
    double back = now();
    TestConnection watch =
        open_watch(sidecar.discovery(), list_line(9, list_entry_json("b", fresh.address) + "," +
                                                         list_entry_json("a", endpoint.address, "leaving")));
    sleep_for(kListReadSeconds);
    assert(now() - back < 6 && request_reaches(fresh, sidecar, "2") && !endpoint.has_connection_within(0));
  }
}

// The configuration names another address during a long outage: the new address is called at once, however
// long the pause between calls to the old one had become.
void newly_configured_discovery_is_called_at_once_during_an_outage() {
  for (std::string registry : {"pushed", "on_request"}) {
    Listener endpoint(2), fresh(3), moved(4);
    SidecarProcess::Options options;
    options.discovery_mode = registry;
    SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
    count_calls(sidecar.discovery(), 3, [](TestConnection& connection) {
      connection.reset();
      return true;
    });
    sidecar.write_configuration(moved.address);
    double signalled_at = now();
    sidecar.reload();
    assert(moved.has_connection_within(0.5));
    open_watch(moved, list_line(9, list_entry_json("b", fresh.address) + "," +
                                       list_entry_json("a", endpoint.address, "leaving")));
    sleep_for(kListReadSeconds);
    assert(now() - signalled_at < 4 && request_reaches(fresh, sidecar, "1") &&
           !endpoint.has_connection_within(0));
  }
}

// After a reload, discovery is overloaded by calls from everywhere: it refuses the first call, answers the
// next one late and in pieces.
void overloaded_discovery_is_read_in_time_after_a_reload() {
  Listener endpoint(2), fresh(3), moved(4);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), on_request_mode());
  TestConnection watch =
      open_watch(sidecar.discovery(), list_line(8, list_entry_json("a", endpoint.address)));
  sidecar.write_configuration(moved.address);
  double signalled_at = now();
  sidecar.reload();
  moved.accept_request().first.send_text(
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  TestConnection next = moved.accept_request().first;
  sleep_for(1.8);
  std::string snapshot = list_line(
      9, list_entry_json("b", fresh.address) + "," + list_entry_json("a", endpoint.address, "leaving"));
  next.send_text(kChunkedResponseHead + snapshot.substr(0, snapshot.size() / 2));
  sleep_for(0.15);  // a call may take 2.2 s, of which 2 s are for waiting in the queue
  next.send_text(snapshot.substr(snapshot.size() / 2));
  sleep_for(kListReadSeconds);
  assert(now() - signalled_at < 4 && request_reaches(fresh, sidecar, "1") &&
         !endpoint.has_connection_within(0));
}

// ---- shutdown

// A client that sends its next request on the same connection soon after the last one was answered, until the
// connection ends.
class PersistentClient {
 public:
  PersistentClient(const std::string& to, const std::string& name, bool once)
      : line_(to), sending_([this, name, once] { send(name, once); }) {}
  void join() { sending_.join(); }
  int answered = 0, lost = 0;

 private:
  void send(const std::string& name, bool once) {
    for (int i = 0; !line_.has_input_within(0); ++i) {
      double started_at = now();
      if (!line_.send_text(get_request("", name + "x" + std::to_string(i)))) return;
      std::optional<HttpMessage> answer = line_.receive_message(Side::Response);
      constexpr double kReadTimeoutSeconds = 2.9;  // TestConnection gives up a read after 3 s
      if (!answer && now() - started_at > kReadTimeoutSeconds) answer = line_.receive_message(Side::Response);
      // A close that crosses the request arrives at once: the request was not read and may be sent again.
      constexpr double kCrossingSeconds = 0.03;
      if (!answer && now() - started_at > kCrossingSeconds) ++lost;
      if (!answer) return;
      ++answered;
      if (once || !answer->keep_alive) return;
      sleep_for(0.005);
    }
  }
  TestConnection line_;
  std::thread sending_;
};

struct Shutdown {
  std::string client_timeout;
  double counted_timeout_s;  // the part of it that SIGKILL waits for
};

constexpr int kEarlyClients = 20;  // connected before SIGTERM

// All endpoints hang from before SIGTERM on, and the process stalls as SIGTERM arrives. Requests keep
// arriving on the open connections, and new clients until the listener closes. All have to be answered before
// SIGKILL.
void every_request_is_answered_when_endpoints_hang_during_shutdown() {
  for (Shutdown run :
       {Shutdown{"0.4", 0.4}, Shutdown{"1.0", 1}, Shutdown{"8.0", kMaxCountedTimeoutSeconds}}) {
    Listener one(2, 512), other(3, 512);  // they accept connections and never answer
    SidecarProcess::Options options;
    options.client_timeout = run.client_timeout;
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address),
                           options);
    std::vector<std::unique_ptr<PersistentClient>> clients;
    auto add_client = [&](bool once) {
      std::string name = "c" + std::to_string(clients.size());
      clients.push_back(std::make_unique<PersistentClient>(sidecar.listen, name, once));
    };
    for (int i = 0; i < kEarlyClients; ++i) add_client(i % 4 == 3);
    sleep_for(0.2);
    double signalled_at = now();
    sidecar.while_stopped([&] {
      sidecar.terminate();
      sleep_for(kMaxStallSeconds);
    });
    for (int i = 0; i < 8; ++i) {  // the listener stays open for 0.42 s
      add_client(false);
      sleep_for(0.01);
    }
    sleep_for(signalled_at + run.counted_timeout_s + kKillDelaySeconds - now());
    kill(sidecar.child(), SIGKILL);
    assert(sidecar.exit_code(1) == 0);  // it had ended by itself
    int answered = 0, lost = 0;
    for (auto& client : clients) {
      client->join();
      answered += client->answered;
      lost += client->lost;
    }
    assert(lost == 0 && answered >= kEarlyClients);
  }
}

// A process that stalled just before its last responses were due used to write them only after SIGKILL had
// been sent.
void process_stalled_just_before_sigkill_has_already_answered() {
  Listener silent(2, 64);
  SidecarProcess sidecar(list_entry_json("a", silent.address));
  TestConnection last(sidecar.listen);
  last.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(last.response_status() == 200);
  double signalled_at = now();
  sidecar.terminate();
  sleep_for(signalled_at + 0.8 - now());
  assert(last.send_text(get_request("X-Time-Left: 1000m\r\n")));  // its deadline is that of the shutdown
  sleep_for(signalled_at + 1 + kKillDelaySeconds - kMaxStallSeconds + 0.005 - now());
  sidecar.while_stopped([] { sleep_for(kMaxStallSeconds); });
  kill(sidecar.child(), SIGKILL);
  assert(last.response_status() >= 502);
}

// ---- stalls

// The list that drains the endpoint arrives during the stall, followed by a request: the list has to be
// applied to that request, and to the retry that a response of the same time calls for.
void stalled_process_sends_nothing_to_an_endpoint_drained_meanwhile() {
  Listener old(2), fresh(3);
  SidecarProcess sidecar(list_entry_json("a", old.address), on_request_mode());
  TestConnection watch = open_watch(sidecar.discovery(), list_line(8, list_entry_json("a", old.address)));
  TestConnection first(sidecar.listen), second(sidecar.listen);
  first.send_text(get_request("", "1"));
  auto [attempt, request] = old.accept_request();
  sidecar.while_stopped([&, &connection = attempt] {
    watch.send_text(list_line(
        9, list_entry_json("a", old.address, "leaving") + "," + list_entry_json("b", fresh.address), false));
    connection.send_text("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    second.send_text(get_request("", "2"));
    sleep_for(kMaxStallSeconds);
  });
  for (int i = 0; i < 2; ++i) fresh.accept_request().first.send_text(kClosingResponse);
  assert(first.response_status() == 200 && second.response_status() == 200);
  assert(!old.has_connection_within(0.1) && !attempt.has_input_within(0));
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2 || count == 3);
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = "/tmp/puffinvane-production-" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  setenv("TMPDIR", folder.c_str(), 1);  // where a predecessor and its successor find their control socket
  struct {
    const char* name;
    void (*run)();
  } const test_cases[] = {
#define TEST_CASE(name) {#name, name}
      TEST_CASE(configuration_is_reloaded_while_another_process_holds_the_listener),
      TEST_CASE(last_of_many_rapid_configuration_reloads_is_used),
      TEST_CASE(invalid_configuration_changes_nothing),
      TEST_CASE(configuration_is_reloaded_by_the_predecessor_during_a_takeover),
      TEST_CASE(unavailable_discovery_is_retried_at_a_bounded_rate_and_used_on_return),
      TEST_CASE(newly_configured_discovery_is_called_at_once_during_an_outage),
      TEST_CASE(overloaded_discovery_is_read_in_time_after_a_reload),
      TEST_CASE(every_request_is_answered_when_endpoints_hang_during_shutdown),
      TEST_CASE(process_stalled_just_before_sigkill_has_already_answered),
      TEST_CASE(stalled_process_sends_nothing_to_an_endpoint_drained_meanwhile),
#undef TEST_CASE
  };
  int run_count = 0;
  for (const auto& test_case : test_cases) {
    if (count == 3 && std::string(words[2]) != test_case.name) continue;
    test_case.run();
    ++run_count;
  }
  assert(run_count > 0);
  std::filesystem::remove_all(folder);
  std::printf("all %d tests passed\n", run_count);
}
