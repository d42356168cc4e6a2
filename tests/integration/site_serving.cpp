// Integration tests of `serve` with a site file, on loopback: reloads while requests are pending, listeners
// that cannot be opened, pools that are added and removed, and ordinary HTTP servers as endpoints.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "testing/faults/faults.h"
#include "testing/peers.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

std::string program,
    library;  // paths of the program and of the fault injection library, from the command line

const std::string kPrefixes =
    "prefix status { kind read-like; target-latency 500ms; client-timeout 1s }\n"
    "prefix consent { kind mutating; target-latency 500ms; client-timeout 1s }\n";

std::string listener(const std::string& name, const std::string& address) {
  return "listener " + name + " { address " + address + " }\n";
}
std::string pool(const std::string& name, const std::vector<std::pair<std::string, std::string>>& endpoints) {
  std::string text = "pool " + name + " {\n";
  for (const auto& [endpoint_name, address] : endpoints)
    text += "  endpoint " + endpoint_name + " " + address + "\n";
  return text + "}\n";
}
std::string route(const std::string& name, const std::string& body) {
  return "route " + name + " { " + body + " }\n";
}

class SiteProcess {
 public:
  explicit SiteProcess(const std::string& body, const std::vector<std::string>& more = {})
      : listen(loopback_address(1) + ":5001"),
        file_("/tmp/serving-" + std::to_string(getpid()) + ".site"),
        log_(file_ + ".log") {
    write(body);
    std::fflush(stdout);
    child_ = fork();
    if (child_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (!std::freopen(log_.c_str(), "w", stdout)) _exit(127);
      std::vector<const char*> words{program.c_str(), "serve", file_.c_str()};
      for (const std::string& word : more) words.push_back(word.c_str());
      words.push_back(nullptr);
      execv(program.c_str(), const_cast<char* const*>(words.data()));
      _exit(127);
    }
    wait_for("site.serving");
  }
  SiteProcess(const SiteProcess&) = delete;
  ~SiteProcess() {
    if (child_ > 0) kill(child_, SIGKILL), waitpid(child_, nullptr, 0);
    std::remove(file_.c_str()), std::remove(log_.c_str());
  }
  void write(const std::string& body) {
    std::ofstream(file_) << listener("main", listen) << kPrefixes << body;
  }
  void write_whole_file(const std::string& all) { std::ofstream(file_) << all; }
  std::string log() const {
    std::ifstream file(log_);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
  }
  int count(const std::string& word) const {
    int found = 0;
    std::string text = log();
    for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) ++found;
    return found;
  }
  void wait_for(const std::string& word, int times = 1) const {
    double until = now() + 5;
    while (count(word) < times && now() < until) sleep_for(0.005);
    if (now() >= until) std::fputs(log().c_str(), stderr);
    assert(now() < until);
  }
  // Writes the file, sends SIGHUP and waits for the log line that contains `word`: the new version is used,
  // or the old one kept.
  void reload(const std::string& body, const std::string& word = "site.reloaded") {
    int before = count(word);
    write(body);
    kill(child_, SIGHUP);
    wait_for(word, before + 1);
  }
  void send_sighup() { kill(child_, SIGHUP); }
  void terminate() { kill(child_, SIGTERM); }
  int exit_code(double within) {
    int status = 0;
    for (double until = now() + within; now() < until; sleep_for(0.005)) {
      if (waitpid(child_, &status, WNOHANG) == child_)
        return child_ = 0, WIFEXITED(status) ? WEXITSTATUS(status) : 256;
    }
    return -1;
  }
  int descriptors() const {
    int count = 0;
    for ([[maybe_unused]] const auto& one :
         std::filesystem::directory_iterator("/proc/" + std::to_string(child_) + "/fd"))
      ++count;
    return count;
  }
  const std::string listen;

 private:
  std::string file_, log_;
  pid_t child_ = 0;
};

std::string get_request(const std::string& target, const std::string& more = "",
                        const std::string& method = "GET") {
  return method + " " + target + " HTTP/1.1\r\nHost: a.example.org\r\n" + more + "\r\n";
}
std::string post_request(const std::string& target, const std::string& body) {
  return get_request(target, "Content-Length: " + std::to_string(body.size()) + "\r\n", "POST") + body;
}
std::string answer(const std::string& status, const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Endpoints that answer every request with 200, on any number of connections.
class RespondingEndpoints {
 public:
  explicit RespondingEndpoints(std::vector<Listener*> listeners)
      : listeners_(std::move(listeners)), delivered(listeners_.size()) {}
  // Serves until the client has its response, and returns its status.
  int serve(TestConnection& client) {
    while (!client.has_input_within(0)) {
      for (std::size_t i = 0; i < listeners_.size(); ++i) {
        if (listeners_[i]->has_connection_within(0))
          lines_.emplace_back(i, listeners_[i]->accept_connection());
      }
      for (std::size_t i = 0; i < lines_.size();) {
        auto& [of, connection] = lines_[i];
        bool over = false;
        if (connection.has_input_within(0)) {
          over = !connection.receive_message(HttpReader::Side::Request);
          if (!over) connection.send_text(answer("200 OK", "x")), ++delivered[of];
        }
        over ? void(lines_.erase(lines_.begin() + std::ptrdiff_t(i))) : void(++i);
      }
      sleep_for(0.0002);
    }
    return client.response_status();
  }
  void disconnect() { lines_.clear(); }
  void adopt(TestConnection connection) { lines_.emplace_back(0, std::move(connection)); }

 private:
  std::vector<Listener*> listeners_;
  std::vector<std::pair<std::size_t, TestConnection>> lines_;

 public:
  std::vector<int> delivered;
};

void routes_select_pools_and_responses_pass_through() {
  Listener one(2), two(3);
  SiteProcess site(pool("a", {{"one", one.address}}) + pool("b", {{"two", two.address}}) +
                   route("a", "path /a; to a; as status") +
                   route("b", "path /b; rewrite /v2; method POST; to b; as consent") +
                   route("gone", "exact /gone; answer 410 \"no more\""));
  TestConnection client(site.listen);
  client.send_text(get_request("/a/1?x"));
  auto [attempt, request] = one.accept_request();
  assert(request.target == "/a/1?x" && request.header("X-Correlation-Id").size() == 32);
  attempt.send_text(answer("404 Not Found", "none", "X-Own: 1\r\n"));
  auto response = client.receive_message(HttpReader::Side::Response);
  assert(response && response->status == 404 && response->header("X-Own") == "1" &&
         response->body.text() == "none");
  client.send_text(post_request("/b/x", "effect"));
  auto [second, changed] = two.accept_request();
  assert(changed.target == "/v2/x" && changed.body.text() == "effect");
  second.send_text(answer("201 Created", ""));
  assert(client.response_status() == 201);
  client.send_text(get_request("/gone"));
  response = client.receive_message(HttpReader::Side::Response);
  assert(response->status == 410 && response->body.text() == "no more\n");
  client.send_text(get_request("/elsewhere"));
  assert(client.response_status() == 404);
  client.send_text(get_request("/b/x"));  // not POST
  assert(client.response_status() == 404);
  client.send_text(get_request("/a/%2e%2e/b"));
  assert(client.response_status() == 400);
}

void endpoint_error_response_reaches_the_client_of_an_unsafe_request() {
  Listener one(2), two(3);
  SiteProcess site(pool("a", {{"one", one.address}, {"two", two.address}}) +
                   route("a", "path /; to a; as consent"));
  TestConnection client(site.listen);
  client.send_text(post_request("/x", "effect"));
  while (!one.has_connection_within(0) && !two.has_connection_within(0)) sleep_for(0.001);
  Listener &first = one.has_connection_within(0) ? one : two, &other = &first == &one ? two : one;
  auto [attempt, request] = first.accept_request();
  attempt.send_text(answer("500 Oops", "the reason", "X-Own: 1\r\n"));
  auto response = client.receive_message(HttpReader::Side::Response);
  assert(response && response->status == 500 && response->body.text() == "the reason" &&
         response->header("X-Own") == "1");
  assert(!other.has_connection_within(0.1));  // rule 2: an unsafe request that may have run is not retried
}

void head_response_has_no_body_and_the_connection_is_reused() {
  Listener one(2);
  SiteProcess site(pool("a", {{"one", one.address}}) + route("a", "path /; to a; as status"));
  TestConnection client(site.listen);
  client.send_text(get_request("/x", "", "HEAD"));
  auto [attempt, request] = one.accept_request();
  assert(request.method == "HEAD");
  attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n");
  sleep_for(0.05);
  client.send_text(get_request("/y"));
  auto second = attempt.receive_message(
      HttpReader::Side::Request);  // on the same connection: the sidecar waited for no body
  assert(second && second->target == "/y");
  attempt.send_text(answer("204 No Content", ""));
  std::string text = client.receive_until("204", 3);
  assert(text.find("Content-Length: 1234\r\n") != std::string::npos);
  assert(text.find("\r\n\r\nHTTP/1.1 204") != std::string::npos);
}

void invalid_site_version_changes_nothing() {
  Listener one(2);
  const std::string good = pool("a", {{"one", one.address}}) + route("a", "path /; to a; as status");
  SiteProcess site(good);
  site.reload(good + "route b { path /b; to nowhere; as status }\n", "site.kept");
  assert(site.count("site.fault") == 1 && site.count("no pool `nowhere`") == 1);
  TestConnection client(site.listen);
  client.send_text(get_request("/b"));
  auto [attempt, request] = one.accept_request();
  attempt.send_text(answer("200 OK", "x"));
  assert(client.response_status() == 200);
}

void bind_failure_keeps_the_old_site_version() {
  Listener one(2), occupied(8);
  const std::string good = pool("a", {{"one", one.address}}) + route("a", "path /; to a; as status");
  SiteProcess site(good);
  int before = site.descriptors();
  // The first new listener can be opened, and has to be closed again.
  site.reload(good + listener("free", loopback_address(7) + ":5007") + listener("taken", occupied.address),
              "site.kept");
  assert(site.count("Error binding") == 1);
  assert(site.descriptors() == before && !TestConnection(loopback_address(7) + ":5007").connected);
  TestConnection client(site.listen);
  client.send_text(get_request("/x"));
  auto [attempt, request] = one.accept_request();
  attempt.send_text(answer("200 OK", "x"));
  assert(client.response_status() == 200);
}

void removed_listener_still_answers_its_pending_requests() {
  Listener one(2);
  const std::string base = pool("a", {{"one", one.address}}) + route("a", "path /; to a; as status");
  const std::string second = loopback_address(7) + ":5007";
  SiteProcess site(base + listener("second", second));
  TestConnection waiting(second), idle(second);
  assert(waiting.connected && idle.connected);
  idle.send_text(get_request("/healthz-is-routed"));
  auto [first, ignored] = one.accept_request();
  first.send_text(answer("200 OK", "x"));
  assert(idle.response_status() == 200);
  wait_until_reusable();
  waiting.send_text(get_request("/x"));
  auto request = first.receive_message(HttpReader::Side::Request);
  assert(request);
  site.reload(base);
  assert(idle.ends_within(1) && !TestConnection(second).connected);
  first.send_text(answer("200 OK", "in time"));
  auto response = waiting.receive_message(HttpReader::Side::Response);
  assert(response && response->body.text() == "in time" && response->header("Connection") == "close" &&
         waiting.ends_within(2));
}

// Rules 2 and 3 across a reload: pending requests end where they were sent, once; later ones follow the new
// version.
void pools_swap_endpoints_while_unsafe_requests_are_pending() {
  Listener one(2), two(3);
  auto body = [&](const std::string& a, const std::string& b) {
    return pool("a", {{"x", a}}) + pool("b", {{"x", b}}) + route("a", "path /a; to a; as consent") +
           route("b", "path /b; to b; as consent");
  };
  SiteProcess site(body(one.address, two.address));
  TestConnection out(site.listen), other(site.listen);
  out.send_text(post_request("/a/1", "effect"));
  auto [attempt, request] = one.accept_request();
  site.reload(body(two.address, one.address));
  other.send_text(post_request("/a/2", "effect"));
  auto [next, second] = two.accept_request();
  assert(second.target == "/a/2");
  attempt.send_text(answer("200 OK", "first"));
  next.send_text(answer("200 OK", "second"));
  assert(out.receive_message(HttpReader::Side::Response)->body.text() == "first");
  assert(other.receive_message(HttpReader::Side::Response)->body.text() == "second");
  assert(!one.has_connection_within(0.1) && !two.has_connection_within(0) && !next.has_input_within(0));
  other.send_text(post_request("/b/3", "effect"));
  auto [last, third] = one.accept_request();
  assert(third.target == "/b/3");
  last.send_text(answer("200 OK", "third"));
  assert(other.response_status() == 200);
}

void unchanged_pool_keeps_connections_and_removed_pool_finishes_its_requests() {
  Listener one(2), two(3);
  const std::string a = pool("a", {{"one", one.address}}) + route("a", "path /a; to a; as status");
  SiteProcess site(a + pool("b", {{"two", two.address}}) + route("b", "path /b; to b; as consent"));
  TestConnection client(site.listen), out(site.listen);
  client.send_text(get_request("/a"));
  auto [attempt, request] = one.accept_request();
  attempt.send_text(answer("200 OK", "x"));
  assert(client.response_status() == 200);
  out.send_text(post_request("/b", "effect"));
  auto [last, endpoint_name] = two.accept_request();
  site.reload(a);
  wait_until_reusable();
  client.send_text(get_request("/a"));
  auto again =
      attempt.receive_message(HttpReader::Side::Request);  // on the connection from before the reload
  assert(again && !one.has_connection_within(0));
  attempt.send_text(answer("200 OK", "y"));
  assert(client.response_status() == 200);
  client.send_text(get_request("/b"));
  assert(client.response_status() == 404);
  last.send_text(answer("200 OK", "ended under its own version"));
  assert(out.receive_message(HttpReader::Side::Response)->body.text() == "ended under its own version");
  assert(last.ends_within(2));  // its connection is closed
}

void changed_pool_finishes_pending_requests_under_the_old_settings() {
  Listener one(2);
  auto body = [&](const std::string& hedging) {
    return "pool a { endpoint one " + one.address + "; copies " + hedging + " }\n" +
           route("a", "path /; to a; as consent");
  };
  SiteProcess site(body("on"));
  TestConnection out(site.listen);
  out.send_text(post_request("/x", "effect"));
  auto [attempt, request] = one.accept_request();
  site.reload(body("off"));
  assert(site.count("pool.ending pool=a") == 1);
  attempt.send_text(answer("200 OK", "x"));
  assert(out.response_status() == 200);
  wait_until_reusable();
  out.send_text(post_request("/y", "effect"));  // the new pool takes over the connection
  assert(attempt.receive_message(HttpReader::Side::Request) && !one.has_connection_within(0));
  attempt.send_text(answer("200 OK", "y"));
  assert(out.response_status() == 200);
  site.reload(body("on"));  // the connection is idle this time
  wait_until_reusable();
  out.send_text(post_request("/z", "effect"));
  assert(attempt.receive_message(HttpReader::Side::Request) && !one.has_connection_within(0));
  attempt.send_text(answer("200 OK", "z"));
  assert(out.response_status() == 200);
}

void refusing_static_endpoint_is_ejected_and_used_again_on_recovery() {
  Listener one(2);
  const std::string dead = loopback_address(5) + ":5005";
  SiteProcess site(pool("a", {{"one", one.address}, {"two", dead}}) + route("a", "path /; to a; as status"));
  TestConnection client(site.listen);
  std::optional<TestConnection> attempt;
  auto served = [&] {
    if (attempt) wait_until_reusable();
    client.send_text(get_request("/x"));
    if (!attempt) attempt = one.accept_connection();
    auto request = attempt->receive_message(HttpReader::Side::Request);
    assert(request);
    attempt->send_text(answer("200 OK", "x"));
    return client.response_status();
  };
  // Whichever endpoint is tried first: the failed connect means that nothing ran, and the other one serves.
  for (int i = 0; i < 20; ++i) assert(served() == 200);
  Listener back(5);
  RespondingEndpoints endpoints({&one, &back});
  endpoints.adopt(std::move(*attempt));
  for (double until = now() + 20; endpoints.delivered[1] == 0 && now() < until;) {
    client.send_text(get_request("/x"));
    assert(endpoints.serve(client) == 200);
  }
  assert(endpoints.delivered[1] > 0);
}

void ten_reloads_a_second_lose_no_request() {
  Listener one(2);
  auto body = [&](int version) {
    std::string name = version % 2 ? "a" : "b";
    return "pool " + name + " { endpoint one " + one.address + "; max-fetches " +
           std::to_string(1 + version % 3) + " }\n" + route("a", "path /; to " + name + "; as consent");
  };
  SiteProcess site(body(0));
  TestConnection client(site.listen);
  RespondingEndpoints endpoint({&one});
  int before = site.descriptors(), served = 0;
  double until = now() + 3;
  for (int version = 1; now() < until; ++version) {
    site.write(body(version));
    site.send_sighup();
    for (double next = now() + 0.1; now() < next; ++served) {
      client.send_text(post_request("/x", "effect"));
      assert(endpoint.serve(client) == 200);
    }
  }
  std::printf("%d requests during %d reloads\n", served, site.count("site.reloaded"));
  assert(endpoint.delivered[0] == served);  // no request was sent twice
  assert(site.count("site.reloaded") >= 20 && site.count("site.kept") == 0);
  endpoint.disconnect();
  sleep_for(2.2);  // retired pools are destroyed by now, with their connections
  assert(site.descriptors() <= before + 3);
  site.reload(body(1000));
  assert(site.count("pools_ending=1\n") > 0 &&
         site.log().find("pools_ending=1\n", site.log().rfind("site.reloaded")) != std::string::npos);
}

// Rule 4 where nothing states how old an endpoint is.
void new_static_endpoint_of_a_busy_pool_gets_a_slow_start() {
  Listener one(2), fresh(3);
  auto body = [&](bool both) {
    std::string text = "pool a { endpoint one " + one.address + "; warm-after 30s; cold-share 5%";
    return text + (both ? "; endpoint two " + fresh.address : "") + " }\n" +
           route("a", "path /; to a; as status");
  };
  SiteProcess site(body(false));
  TestConnection client(site.listen);
  RespondingEndpoints endpoints({&one, &fresh});
  auto requests_for = [&](double seconds) {
    int count = 0;
    for (double until = now() + seconds; now() < until; ++count) {
      client.send_text(get_request("/x"));
      assert(endpoints.serve(client) == 200);
    }
    return count;
  };
  requests_for(0.5);
  site.reload(body(true));
  int all = requests_for(2);
  std::printf("%d of %d requests to the new endpoint\n", endpoints.delivered[1], all);
  assert(all > 100 && endpoints.delivered[1] > 0 && endpoints.delivered[1] < all / 8);
}

// All pools share the descriptors: an idle connection of one pool is reclaimed for an attempt of another.
void idle_connections_of_one_pool_make_room_for_attempts_of_another() {
  std::deque<Listener> listeners;
  std::vector<Listener*> all;
  std::vector<std::pair<std::string, std::string>> endpoints;
  for (int i = 2; i < 10; ++i) {
    all.push_back(&listeners.emplace_back(i));
    endpoints.emplace_back("e" + std::to_string(i), listeners.back().address);
  }
  std::vector<std::pair<std::string, std::string>> last{endpoints.back()};
  endpoints.pop_back();
  SiteProcess site("limits { descriptors 64 }\n" + pool("a", endpoints) + pool("b", last) +
                   route("a", "path /a; to a; as status") + route("b", "path /b; to b; as status"));
  // 40 descriptors are available: a listener, 18 clients and 18 attempts for them.
  std::vector<TestConnection> clients, attempts;
  for (int i = 0; i < 18; ++i) {
    clients.emplace_back(site.listen);
    clients.back().send_text(get_request("/a"));
    while (std::none_of(all.begin(), all.end(), [](Listener* one) { return one->has_connection_within(0); }))
      sleep_for(0.001);
    for (Listener* one : all) {
      if (one->has_connection_within(0)) attempts.push_back(one->accept_connection());
    }
  }
  for (TestConnection& attempt : attempts)
    assert(attempt.receive_message(HttpReader::Side::Request)), attempt.send_text(answer("200 OK", "x"));
  for (TestConnection& client : clients) assert(client.response_status() == 200);
  for (int i = 0; i < 6; ++i) clients[std::size_t(i)].send_text(get_request("/b"));
  std::vector<TestConnection> others;
  for (int i = 0; i < 6; ++i) {
    others.push_back(listeners.back().accept_connection());
    assert(others.back().receive_message(HttpReader::Side::Request));
  }
  for (TestConnection& attempt : others) attempt.send_text(answer("200 OK", "x"));
  for (int i = 0; i < 6; ++i) assert(clients[std::size_t(i)].response_status() == 200);
  assert(std::any_of(attempts.begin(), attempts.end(),
                     [](TestConnection& attempt) { return attempt.ends_within(0.01); }));
}

void reload_during_shutdown_opens_no_listener() {
  Listener one(2);
  const std::string good = pool("a", {{"one", one.address}}) + route("a", "path /; to a; as consent");
  const std::string second = loopback_address(7) + ":5007";
  SiteProcess site(good);
  TestConnection out(site.listen);
  out.send_text(post_request("/x", "effect"));
  auto [attempt, request] = one.accept_request();
  site.terminate();
  site.wait_for("site.leaving");
  site.reload(good + listener("second", second));
  assert(!TestConnection(second).connected);
  attempt.send_text(answer("200 OK", "x"));
  assert(out.response_status() == 200);
  out.disconnect();
  assert(site.exit_code(4) == 0);
}

// This includes the requests of a retired pool, which the current version no longer lists.
void requests_with_long_client_timeouts_are_answered_before_sigkill() {
  Listener one(2), two(3);
  auto site_of = [&](const Listener& to, const std::string& name) {
    return "prefix slow { kind mutating; target-latency 500ms; client-timeout 20s }\n" +
           pool(name, {{"one", to.address}}) + route("a", "path /; to " + name + "; as slow");
  };
  SiteProcess site(site_of(one, "a"));
  TestConnection ended(site.listen), kept(site.listen);
  ended.send_text(post_request("/x", "effect"));
  auto [first, request] = one.accept_request();
  site.reload(site_of(two, "b"));
  kept.send_text(post_request("/y", "effect"));
  auto [second, asked] = two.accept_request();
  double begun = now();
  site.terminate();
  assert(site.exit_code(3.7 - (now() - begun)) == 0);
  assert(ended.response_status() == 502 && kept.response_status() == 502);
}

void json_log_lines_are_objects_with_their_fields() {
  Listener one(2);
  const std::string good = pool("a", {{"one", one.address}}) + route("a", "path /; to a; as status");
  SiteProcess site(good, {"--log-format", "json"});
  site.reload(good + "route \"b\" { path /b; answer 404 }\n");
  site.terminate();
  assert(site.exit_code(4) == 0);
  std::istringstream lines(site.log());
  std::string line;
  std::vector<std::string> events;
  while (std::getline(lines, line)) {
    nlohmann::json notified = nlohmann::json::parse(line);
    assert(notified["time"].is_number() && notified["level"].is_string());
    events.push_back(notified["event"]);
    if (events.back() == "endpoint_list.applied") assert(notified["ready"] == 1 && notified["listed"] == 1);
    if (events.back() == "site.reloaded")
      assert(notified["changes"] == 3 && notified["version"].get<std::string>().size() == 16);
  }
  std::erase(events, "pool.report");
  assert((events == std::vector<std::string>{"endpoint_list.applied", "listener.opened", "site.serving",
                                             "site.reloaded", "site.leaving", "site.gone"}));
}

// The site starts and opens one more listener although no descriptor is available at first.
void listener_is_opened_once_a_descriptor_is_available() {
  Listener endpoint(2);
  const std::string body = pool("a", {{"one", endpoint.address}}) + route("a", "path /a; to a; as status");
  Faults faults(library, "socket ENFILE to=3");
  for (const auto& [name, value] : faults.environment()) setenv(name.c_str(), value.c_str(), 1);
  SiteProcess site(body);
  for (const auto& [name, value] : faults.environment()) unsetenv(name.c_str());
  assert(faults.injected_count("socket ENFILE") == 3);
  faults.change("socket EMFILE to=3");
  site.reload(listener("more", loopback_address(1) + ":5011") + body);
  assert(faults.injected_count("socket EMFILE") == 3);
  TestConnection client(loopback_address(1) + ":5011");
  assert(client.connected && site.count("site.kept") == 0);
}

void invalid_site_does_not_start() {
  const std::string file = "/tmp/serving-bad-" + std::to_string(getpid()) + ".site";
  std::ofstream(file) << "nonsense\n";
  int status = std::system((program + " serve " + file + " > /dev/null 2>&1").c_str());
  std::remove(file.c_str());
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 1);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 3);
  signal(SIGPIPE, SIG_IGN);
  program = words[1];
  library = words[2];
  listener_is_opened_once_a_descriptor_is_available();
  routes_select_pools_and_responses_pass_through();
  endpoint_error_response_reaches_the_client_of_an_unsafe_request();
  head_response_has_no_body_and_the_connection_is_reused();
  invalid_site_version_changes_nothing();
  bind_failure_keeps_the_old_site_version();
  removed_listener_still_answers_its_pending_requests();
  pools_swap_endpoints_while_unsafe_requests_are_pending();
  unchanged_pool_keeps_connections_and_removed_pool_finishes_its_requests();
  changed_pool_finishes_pending_requests_under_the_old_settings();
  refusing_static_endpoint_is_ejected_and_used_again_on_recovery();
  ten_reloads_a_second_lose_no_request();
  new_static_endpoint_of_a_busy_pool_gets_a_slow_start();
  idle_connections_of_one_pool_make_room_for_attempts_of_another();
  reload_during_shutdown_opens_no_listener();
  requests_with_long_client_timeouts_are_answered_before_sigkill();
  json_log_lines_are_objects_with_their_fields();
  invalid_site_does_not_start();
  std::puts("serving: all tests passed");
}
