// Tests with system calls that fail temporarily in the real program (docs/system-calls.md): no client
// notices, no endpoint is ejected, and nothing busy-loops.
// Arguments: the program under test, the fault injection library and, optionally, the name of the only test
// to run.
#undef NDEBUG
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <streambuf>
#include <string>
#include <vector>

#include "src/net/log.h"
#include "testing/answering_endpoint.h"
#include "testing/faults/faults.h"
#include "testing/sidecar_process.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

std::string library;

constexpr double kPromptSeconds = 0.3;  // well under the longest time-out of the sidecar

// Sent by endpoints that serve one request per connection, so that each attempt has to connect.
const std::string kClosingResponse = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx";

SidecarProcess::Options options_with(const Faults& faults) {
  SidecarProcess::Options options;
  options.environment = faults.environment();
  return options;
}

std::string admin_address(int number) { return loopback_address(3) + ":" + std::to_string(5100 + number); }

// A few endpoints and the sidecar under test in front of them.
struct SidecarWithEndpoints {
  explicit SidecarWithEndpoints(const Faults& faults, const std::string& answer = ok_response("x"),
                                int number = 3) {
    std::string known;
    for (int i = 0; i < number; ++i) {
      endpoints.push_back(std::make_unique<AnsweringEndpoint>(2 + i, answer));
      known +=
          (i > 0 ? "," : "") + list_entry_json("e" + std::to_string(i), endpoints.back()->listener.address);
    }
    SidecarProcess::Options options = options_with(faults);
    options.admin = admin_address(0);
    sidecar.emplace(known, options);
  }
  // Sends the request on a new connection and returns the response status, 0 if none came within three
  // seconds. Counts responses that came later than `within`.
  int ask(const std::string& request, double within = kPromptSeconds) {
    double started_at = now();
    int status = sidecar->status_of(request);
    slowest = std::max(slowest, now() - started_at);
    late += now() - started_at > within;
    return status;
  }
  // How many endpoints the sidecar considers unhealthy.
  int unhealthy_count() const {
    const std::string name = "\nsidecar_cluster_unhealthy ";
    TestConnection connection(admin_address(0));
    connection.send_text("GET /api/telemetry HTTP/1.1\r\n\r\n");
    auto answer = connection.receive_message(HttpReader::Side::Response);
    assert(answer);
    const std::string text = answer->body.text();
    return std::stoi(text.substr(text.find(name) + name.size()));
  }
  // Sends that many requests on new connections; all have to be answered 200 and in time.
  void expect_all_served(int count) {
    std::map<int, int> statuses;
    for (int i = 0; i < count; ++i)
      ++statuses[ask(i % 2 ? post_request("x") : get_request("", std::to_string(i)))];
    if (statuses[200] != count || late > 0) {
      for (auto [status, times] : statuses) std::printf("  status %d: %d times\n", status, times);
      std::printf("  %d late, the slowest after %.3f s\n", late, slowest);
    }
    assert(statuses[200] == count && late == 0);
  }

  std::vector<std::unique_ptr<AnsweringEndpoint>> endpoints;
  std::optional<SidecarProcess> sidecar;
  int late = 0;
  double slowest = 0;
};

void wait_for_injected(const Faults& faults, const std::string& what, int times = 1) {
  for (double until = now() + 3; faults.injected_count(what) < times; sleep_for(0.002)) assert(now() < until);
}

// ---- startup

void program_starts_when_its_first_system_calls_fail() {
  const struct {
    const char* schedule;
    const char* played;
  } kRows[] = {{"socket ENFILE to=4", "socket ENFILE"},
               {"socket ENOBUFS n=2", "socket ENOBUFS"},
               {"bind ENOMEM n=1", "bind ENOMEM"},
               {"listen ENOBUFS n=1", "listen ENOBUFS"},
               {"eventfd ENFILE to=2", "eventfd ENFILE"},
               {"eventfd EMFILE to=2; pipe EMFILE to=2", "eventfd EMFILE"},
               {"epoll_create EMFILE to=2", "epoll_create EMFILE"},
               {"epoll_create ENOMEM n=1", "epoll_create ENOMEM"},
               {"epoll_ctl ENOMEM to=3", "epoll_ctl ENOMEM"},
               {"epoll_ctl ENOSPC to=3", "epoll_ctl ENOSPC"},
               {"signalfd ENFILE to=2", "signalfd ENFILE"},
               {"signalfd ENOMEM n=1", "signalfd ENOMEM"},
               {"open EMFILE to=2", "open EMFILE"},
               {"open EINTR n=1", "open EINTR"},
               {"read EINTR to=2 only=file", "read EINTR"},
               {"read short=7 only=file", "read short"},
               {"poll ENOMEM to=3", "poll ENOMEM"},
               {"connect ENOBUFS to=3", "connect ENOBUFS"}};
  for (const auto& [schedule, played] : kRows) {
    std::printf("  %s\n", schedule);
    Faults faults(library, schedule);
    SidecarWithEndpoints setup(faults, ok_response("x"), 1);
    assert(setup.ask(get_request()) == 200);
    assert(faults.injected_count(played) > 0);
    setup.sidecar->terminate();
    assert(setup.sidecar->exit_code(3) == 0);
  }
}

void configuration_that_cannot_be_opened_is_read_later() {
  Faults faults(library);
  SidecarWithEndpoints setup(faults, ok_response("x"), 1);
  Listener moved(8);
  for (const char* error : {"EMFILE", "ENFILE", "EINTR", "ENOMEM"}) {
    faults.change(std::string("open ") + error);
    setup.sidecar->write_configuration(moved.address);
    setup.sidecar->reload();
    wait_for_injected(faults, std::string("open ") + error, 2);
    faults.stop();
    TestConnection watch = moved.accept_connection();
    setup.sidecar->write_configuration(setup.sidecar->discovery().address);
    setup.sidecar->reload();
    assert(watch.ends_within());
  }
}

// ---- connections to endpoints

void local_connect_failure_ejects_no_endpoint() {
  for (const char* error : {"ENOBUFS", "ENOMEM", "EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN", "EINTR"}) {
    std::printf("  %s\n", error);
    Faults faults(library);
    SidecarWithEndpoints setup(faults, kClosingResponse);
    faults.change(std::string("connect ") + error + " each=3");
    setup.expect_all_served(60);
    assert(faults.injected_count(std::string("connect ") + error) > 10);
    assert(setup.unhealthy_count() == 0);
  }
  for (const char* error : {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"}) {
    std::printf("  socket %s\n", error);
    Faults faults(library);
    SidecarWithEndpoints setup(faults, kClosingResponse);
    faults.change(std::string("socket ") + error + " each=3");
    setup.expect_all_served(60);
    assert(faults.injected_count(std::string("socket ") + error) > 10);
    assert(setup.unhealthy_count() == 0);
  }
}

// While no connection can be made, requests are rejected, as they have not run. Once connecting works again,
// no endpoint is avoided.
void requests_are_rejected_and_no_endpoint_ejected_while_connect_fails() {
  Faults faults(library);
  SidecarWithEndpoints setup(faults, kClosingResponse, 1);
  for (const char* fault : {"connect EADDRNOTAVAIL", "socket ENFILE"}) {
    faults.change(fault);
    for (int i = 0; i < 5; ++i) assert(setup.ask(post_request("x"), 1) == 503);
    assert(setup.unhealthy_count() == 0);
    faults.stop();
    for (int i = 0; i < 5; ++i) assert(setup.ask(post_request("x")) == 200);
  }
  assert(setup.late == 0);
}

// ---- the event loop

void sockets_are_served_when_epoll_cannot_register_them() {
  for (const char* fault :
       {"ENOMEM each=2", "ENOMEM n=1", "ENOMEM n=2", "ENOMEM n=3", "ENOSPC each=7", "ENOMEM"}) {
    std::printf("  %s\n", fault);
    Faults faults(library);
    SidecarWithEndpoints setup(faults);
    faults.change(std::string("epoll_ctl ") + fault);
    setup.expect_all_served(40);
    assert(faults.injected_count(std::string("epoll_ctl ") + std::string(fault).substr(0, 6)) > 0);
  }
}

void interrupted_or_failing_waits_lose_no_request() {
  for (const char* schedule : {"epoll_wait EINTR each=2", "poll EINTR each=2", "poll ENOMEM each=2",
                               "poll ENOMEM each=3", "poll ENOMEM each=4", "setsockopt ENOBUFS each=2",
                               "shutdown ENOTCONN each=2", "close EINTR each=2", "close EIO each=3"}) {
    std::printf("  %s\n", schedule);
    Faults faults(library);
    SidecarWithEndpoints setup(faults, kClosingResponse);
    faults.change(schedule);
    setup.expect_all_served(40);
  }
}

// ---- sending and receiving

void temporary_send_and_recv_failures_are_retried() {
  for (const char* schedule :
       {"send ENOBUFS each=2", "send ENOMEM each=3", "send EINTR each=2", "send EAGAIN each=2",
        "send short=1", "send short=3 each=2; send ENOBUFS each=5", "recv ENOMEM each=2",
        "recv ENOBUFS each=3", "recv EINTR each=2", "recv EAGAIN each=2", "recv short=1",
        "recv short=5 each=2; recv ENOMEM each=7"}) {
    std::printf("  %s\n", schedule);
    Faults faults(library);
    SidecarWithEndpoints setup(faults);
    faults.change(schedule);
    setup.expect_all_served(40);
  }
}

// A long request body and a long response are sent in many pieces, some of which have to wait.
void long_messages_survive_short_and_failing_calls() {
  const std::string body(60'000, 'b');
  Faults faults(library);
  SidecarWithEndpoints setup(faults, ok_response(std::string(60'000, 'a')), 2);
  faults.change("send ENOBUFS each=5; send short=4000 each=2; recv short=4000 each=2; recv ENOMEM each=9");
  for (int i = 0; i < 5; ++i) {
    TestConnection client(setup.sidecar->listen);
    client.send_text(post_request(body));
    auto answer = client.receive_message(HttpReader::Side::Response);
    assert(answer && answer->status == 200 && answer->body.size() == 60'000);
  }
}

// The first send after an idle period is that of the request. As nothing of it was accepted, it has not run
// and moves to another endpoint, although it is unsafe.
void request_that_could_not_be_sent_moves_to_another_endpoint() {
  for (const char* error : {"EPIPE", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETDOWN", "EPERM"}) {
    std::printf("  %s\n", error);
    Faults faults(library);
    SidecarWithEndpoints setup(faults, kClosingResponse);
    for (int i = 0; i < 4; ++i) {
      faults.change(std::string("send ") + error + " n=1 only=tcp");
      assert(setup.ask(post_request("x"), 0.5) == 200);
      faults.stop();
    }
    assert(faults.injected_count(std::string("send ") + error) == 4 && setup.late == 0);
  }
}

// If the response cannot be sent to a client, its connection is closed and does not stay open forever.
void connection_of_an_unreachable_client_is_closed() {
  for (const char* error : {"ETIMEDOUT", "EHOSTUNREACH", "EPIPE"}) {
    Faults faults(library);
    Listener endpoint(2);
    SidecarProcess sidecar(list_entry_json("a", endpoint.address), options_with(faults));
    TestConnection client(sidecar.listen);
    client.send_text(get_request());
    auto [attempt, request] = endpoint.accept_request();
    faults.change(std::string("send ") + error + " to=2 only=tcp");
    attempt.send_text(ok_response("x"));
    assert(client.ends_within(0.5));
    assert(faults.injected_count(std::string("send ") + error) > 0);
  }
}

// A send that fails for want of memory for longer than the deadline: no endpoint is blamed, and the unsafe
// request, of which nothing was accepted, is rejected and not failed.
void request_that_could_not_be_sent_before_its_deadline_is_rejected() {
  Faults faults(library);
  SidecarWithEndpoints setup(faults, kClosingResponse, 1);
  faults.change("send ENOBUFS from=1");
  TestConnection client(setup.sidecar->listen);
  client.send_text(post_request("x"));
  sleep_for(0.7);  // the send is retried meanwhile
  assert(faults.injected_count("send ENOBUFS") > 5);
  faults.stop();
  int status = client.response_status();
  assert(status == 200 || status == 503);
  assert(setup.unhealthy_count() == 0);
  for (int i = 0; i < 5; ++i) assert(setup.ask(post_request("x")) == 200);
}

// ---- clients

void aborted_connection_does_not_delay_the_next_one() {
  for (const char* error : {"ECONNABORTED", "EPROTO", "EINTR", "EHOSTUNREACH", "ENETDOWN", "EPERM"}) {
    Faults faults(library);
    SidecarWithEndpoints setup(faults);
    faults.change(std::string("accept ") + error + " to=40 only=tcp");
    assert(setup.ask(get_request()) == 200);
    assert(faults.injected_count(std::string("accept ") + error) == 40);
    assert(setup.late == 0);
  }
}

void connection_is_served_once_accept_succeeds() {
  for (const char* error : {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}) {
    Faults faults(library);
    SidecarWithEndpoints setup(faults);
    faults.change(std::string("accept ") + error + " to=4 only=tcp");
    assert(setup.ask(get_request()) == 200);
    assert(faults.injected_count(std::string("accept ") + error) == 4);
    assert(setup.late == 0);
  }
}

// A shutdown begins while waiting clients can't be accepted. Once they can, they are accepted and answered.
void clients_waiting_at_shutdown_are_accepted_once_possible() {
  Faults faults(library);
  SidecarWithEndpoints setup(faults);
  faults.change("accept ENFILE");
  TestConnection client(setup.sidecar->listen);
  client.send_text(get_request());
  setup.sidecar->terminate();
  sleep_for(0.6);  // longer than a shutdown accepts clients
  faults.stop();
  assert(client.response_status() == 200);
}

// ---- calls that keep failing

void persistently_failing_calls_do_not_busy_loop() {
  for (const char* schedule :
       {"send ENOBUFS", "recv ENOMEM", "accept ENFILE", "poll ENOMEM", "epoll_ctl ENOMEM", "connect ENOBUFS",
        "socket EMFILE", "send EINTR", "recv EINTR"}) {
    std::printf("  %s\n", schedule);
    Faults faults(library);
    SidecarWithEndpoints setup(faults, kClosingResponse);
    faults.change(schedule);
    std::vector<TestConnection> clients;
    for (int i = 0; i < 10; ++i)
      clients.emplace_back(setup.sidecar->listen).send_text(get_request("", std::to_string(i)));
    double before = setup.sidecar->cpu_seconds();
    sleep_for(0.5);
    double used = setup.sidecar->cpu_seconds() - before;
    std::printf("    %.2f s of processor in 0.5 s\n", used);
    assert(used < 0.2);
    faults.stop();
    clients.clear();
    sleep_for(0.1);
    assert(setup.ask(get_request(), 0.5) == 200 && setup.late == 0);
  }
}

// ---- takeover

bool ready(int number) {
  TestConnection connection(admin_address(number));
  if (!connection.connected) return false;
  connection.send_text("GET /api/ready HTTP/1.1\r\n\r\n");
  return connection.response_status() == 200;
}

// Idle client connections go over to the successor, which serves the next request on each of them.
void check_takeover_with_faults(const char* predecessor_schedule, const char* successor_schedule) {
  std::printf("  elder: %s; heir: %s\n", predecessor_schedule, successor_schedule);
  Listener discovery(9);
  AnsweringEndpoint endpoint(2);
  Faults predecessor_faults(library), successor_faults(library, successor_schedule);
  auto options = [&](int number, const Faults& faults) {
    SidecarProcess::Options made = options_with(faults);
    made.admin = admin_address(number);
    made.number = number;
    made.discovery = &discovery;
    return made;
  };
  const std::string known = list_entry_json("a", endpoint.listener.address);
  SidecarProcess predecessor(known, options(0, predecessor_faults));
  std::vector<TestConnection> clients;
  for (int i = 0; i < 10; ++i) {
    clients.emplace_back(predecessor.listen).send_text(get_request("", std::to_string(i)));
    assert(clients.back().response_status() == 200);
  }
  predecessor_faults.change(predecessor_schedule);
  SidecarProcess successor(known, options(1, successor_faults));
  for (double until = now() + 6; !ready(1); sleep_for(0.01)) assert(now() < until);
  predecessor.terminate();
  assert(predecessor.exit_code(3) == 0);
  for (TestConnection& client : clients) {
    client.send_text(get_request());
    assert(client.response_status() == 200);
  }
}

void takeover_survives_temporary_failures() {
  check_takeover_with_faults("", "connect EINTR n=1 only=unix");
  check_takeover_with_faults("", "connect EAGAIN to=3 only=unix");
  check_takeover_with_faults("", "socket ENFILE n=1 only=unix");
  check_takeover_with_faults("", "poll EINTR n=1");
  check_takeover_with_faults("", "poll ENOMEM n=1");
  check_takeover_with_faults("", "recv ENOMEM each=2 only=unix");
  check_takeover_with_faults("", "recv EINTR each=2 only=unix");
  check_takeover_with_faults("accept ENFILE n=1 only=unix", "");
  check_takeover_with_faults("send ENOBUFS each=2 only=unix", "");
  check_takeover_with_faults("send EAGAIN each=2 only=unix", "send ENOMEM n=1 only=unix");
  check_takeover_with_faults("recv ENOMEM each=2 only=unix", "recv short=1");
}

// ---- the log

// A stream buffer that rejects writes while `fails` is set.
class FailingBuffer final : public std::streambuf {
 public:
  bool fails = false;
  std::string written;

 private:
  int overflow(int byte) override {
    if (fails) return traits_type::eof();
    written += char(byte);
    return byte;
  }
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    if (fails) return 0;
    written.append(bytes, std::size_t(count));
    return count;
  }
};

void log_recovers_after_a_failed_write() {
  FailingBuffer sink;
  std::ostream out(&sink);
  for (LogFormat format : {LogFormat::Plain, LogFormat::Json}) {
    Log log(out, Level::Info, format);
    sink.fails = true;
    log.info() << "lost";
    log.event(Level::Info, "lost");
    sink.fails = false;
    log.info() << "first line";
    log.event(Level::Info, "second");
  }
  assert(sink.written.find("lost") == std::string::npos);
  for (const char* word : {"first line", "second"}) {
    std::size_t plain = sink.written.find(word);
    assert(plain != std::string::npos && sink.written.find(word, plain + 1) != std::string::npos);
  }
}

}  // namespace

int main(int count, char** words) {
  assert(count == 3 || count == 4);
  program = words[1];
  library = words[2];
  signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);  // so that the output is complete if a test aborts
  const std::string folder = "/tmp/puffinvane-syscalls-" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  setenv("TMPDIR", folder.c_str(), 1);
  struct {
    const char* name;
    void (*run)();
  } const kTests[] = {
#define TEST(name) {#name, name}
      TEST(program_starts_when_its_first_system_calls_fail),
      TEST(configuration_that_cannot_be_opened_is_read_later),
      TEST(local_connect_failure_ejects_no_endpoint),
      TEST(requests_are_rejected_and_no_endpoint_ejected_while_connect_fails),
      TEST(sockets_are_served_when_epoll_cannot_register_them),
      TEST(interrupted_or_failing_waits_lose_no_request),
      TEST(temporary_send_and_recv_failures_are_retried),
      TEST(long_messages_survive_short_and_failing_calls),
      TEST(request_that_could_not_be_sent_moves_to_another_endpoint),
      TEST(connection_of_an_unreachable_client_is_closed),
      TEST(request_that_could_not_be_sent_before_its_deadline_is_rejected),
      TEST(aborted_connection_does_not_delay_the_next_one),
      TEST(connection_is_served_once_accept_succeeds),
      TEST(clients_waiting_at_shutdown_are_accepted_once_possible),
      TEST(persistently_failing_calls_do_not_busy_loop),
      TEST(takeover_survives_temporary_failures),
      TEST(log_recovers_after_a_failed_write),
#undef TEST
  };
  int run_count = 0;
  for (const auto& test : kTests) {
    if (count == 4 && std::string(words[3]) != test.name) continue;
    std::printf("%s\n", test.name);
    std::fflush(stdout);
    test.run();
    ++run_count;
  }
  std::filesystem::remove_all(folder);
  assert(run_count > 0);
  std::printf("all %d tests passed\n", run_count);
}
