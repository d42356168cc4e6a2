// Tests of a second process of one sidecar that takes over under load: no request is lost, orders stand.
#undef NDEBUG
#include <sys/un.h>

#include <atomic>
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <set>
#include <thread>
#include <vector>

#include "testing/answering.h"
#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

std::string admin_of(int number) { return here(3) + ":" + std::to_string(5100 + number); }

Running::Options options(int number, Listener& discovery) {
  Running::Options made;
  made.admin = admin_of(number);
  made.number = number;
  made.discovery = &discovery;
  return made;
}
int ask(int number, const std::string& method, const std::string& path, const std::string& body = "") {
  Line line(admin_of(number));
  if (!line.connected) return 0;
  line.say(method + " " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body);
  return line.answer_status();
}
void wait_ready(int number) {
  for (double until = now() + 6; ask(number, "GET", "/api/ready") != 200; sleep_for(0.01))
    assert(now() < until);
}

struct Load {
  std::atomic<bool> over = false;
  std::atomic<int> served = 0, lost = 0, ended = 0;
  std::vector<std::thread> clients;

  // keeps: one connection for all requests; else a new one for each.
  void call(const std::string& to, int client, bool keeps) {
    clients.emplace_back([this, to, client, keeps] {
      std::optional<Line> line;
      for (int i = 0; !over; ++i) {
        if (!line || !keeps) line.emplace(to);
        if (!line->connected) ++lost, line.reset();
        if (!line) continue;
        line->say(get("", std::to_string(client) + "x" + std::to_string(i)));
        auto answer = line->hear(HttpReader::Side::Response);
        if (!answer || answer->status != 200) ++lost, line.reset();
        else if (++served; !answer->keep_alive) ++ended, line.reset();
        sleep_for(0.002);
      }
    });
  }
  ~Load() {
    over = true;
    for (std::thread& one : clients) one.join();
  }
};

void twenty_upgrades_under_load_lose_no_request(int upgrades) {
  Listener discovery(9);
  Answering endpoint(2);
  auto sidecar = std::make_unique<Running>(entry("a", endpoint.listener.address), options(0, discovery));
  Load load;
  for (int i = 0; i < 6; ++i) load.call(sidecar->listen, i, i < 4);
  for (int i = 1; i <= upgrades; ++i) {
    auto next = std::make_unique<Running>(entry("a", endpoint.listener.address), options(i, discovery));
    wait_ready(i);
    sleep_for(0.1);
    sidecar->terminate();
    assert(sidecar->exit_code(3) == 0);
    sidecar = std::move(next);
    int before = load.served;
    sleep_for(0.1);
    assert(load.served > before);
  }
  load.over = true;
  for (std::thread& one : load.clients) one.join();
  load.clients.clear();
  std::printf("%d upgrades: %d visits served, %d lost at the door, %d connections ended\n", upgrades,
              load.served.load(), load.lost.load(), load.ended.load());
  assert(load.lost == 0 && load.ended == 0);
}

void orders_go_over_and_are_heard_by_both() {
  Listener discovery(9), first(2), second(4);
  std::string known = entry("a", first.address) + "," + entry("b", second.address);
  Running predecessor(known, options(0, discovery));
  assert(ask(0, "PUT", "/api/exclude", "a") == 200 && ask(0, "PUT", "/api/evacuate") == 200);
  Running successor(known, options(1, discovery));
  wait_ready(1);
  assert(successor.status_of("GET /healthz HTTP/1.1\r\n\r\n") == 503);  // whichever of the two hears it
  assert(ask(1, "PUT", "/api/rejoin") == 200 && ask(1, "PUT", "/api/exclude", "b") == 200);
  sleep_for(0.05);
  for (int i = 0; i < 8; ++i) {
    assert(successor.status_of("GET /healthz HTTP/1.1\r\n\r\n") == 200);
    assert(successor.status_of(get("", std::to_string(i))) == 503);
  }
  predecessor.terminate();
  assert(predecessor.exit_code(3) == 0);
  assert(successor.status_of(get("", "last")) == 503 && !first.connection_waits(0) &&
         !second.connection_waits(0));
}

// The predecessor's requests were to have longer than there is until SIGKILL, and a successor can't take
// them.
void what_the_predecessor_has_in_hand_is_answered_before_sigkill() {
  Listener discovery(9), silent(2);
  Running::Options first = options(0, discovery), second = options(1, discovery);
  first.client_timeout = second.client_timeout = "10";
  Running predecessor(entry("a", silent.address), first);
  Line client(predecessor.listen);
  client.say(post("effect"));
  auto [attempt, request] = silent.take_request();
  Running successor(entry("a", silent.address), second);
  wait_ready(1);
  double begun = now();
  predecessor.terminate();
  assert(predecessor.exit_code(3.7) == 0 && now() - begun > 3 && client.answer_status() == 502);
}

// One endpoint of four answers nothing: who takes over knows it before it has sent anything itself.
void what_the_predecessor_learned_goes_over() {
  Listener discovery(9);
  Answering answers[] = {Answering(2), Answering(4), Answering(5)};
  std::string known = entry("dead", here(7) + ":5007");
  for (Answering& one : answers) known += "," + entry(one.listener.address, one.listener.address);
  auto avoids_one = [](int number) {
    Line line(admin_of(number));
    line.say("GET /api/telemetry HTTP/1.1\r\n\r\n");
    auto answer = line.hear(HttpReader::Side::Response);
    return answer && answer->body.text().find("\nsidecar_cluster_unhealthy 1\n") != std::string::npos;
  };
  Running predecessor(known, options(0, discovery));
  for (int i = 0; i < 400 && !avoids_one(0); ++i) predecessor.status_of(get("", "e" + std::to_string(i)));
  assert(avoids_one(0));
  Running successor(known, options(1, discovery));
  wait_ready(1);
  for (double until = now() + 0.3; !avoids_one(1); sleep_for(0.01)) assert(now() < until);
}

// Behind a list that did not fit into the socket the listener could not go over, and the successor did not
// start. Of endpoints past the two hundredth it learned nothing.
void a_list_of_thousands_goes_over_whole_and_the_listener_with_it(int count) {
  Listener discovery(9);
  std::string known = entry("last", here(7) + ":1"), many;
  for (int i = 0; i < count; ++i)
    many += entry("e" + std::to_string(i),
                  "127.200." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":1") +
            ",";
  auto figure = [](int number, const std::string& name) {
    Line line(admin_of(number));
    line.say("GET /api/telemetry HTTP/1.1\r\n\r\n");
    auto answer = line.hear(HttpReader::Side::Response);
    std::string text = answer ? answer->body.text() : "";
    std::size_t at = text.find("\nsidecar_" + name + " ");
    return at == std::string::npos ? -1 : std::atoi(text.c_str() + at + name.size() + 10);
  };
  auto sockets = [](const Running& one) {
    std::set<std::string> open;
    for (const auto& each :
         std::filesystem::directory_iterator("/proc/" + std::to_string(one.child()) + "/fd")) {
      std::error_code gone;
      std::string to = std::filesystem::read_symlink(each.path(), gone).string();
      if (to.starts_with("socket:")) open.insert(to);
    }
    return open;
  };
  Running predecessor(many + known, options(0, discovery));
  for (int i = 0; i < 60; ++i)
    predecessor.status_of(get("", std::to_string(i)));  // three more that refuse it, each
  Running successor(known, options(1, discovery));
  wait_ready(1);
  assert(figure(1, "cluster_size") == count + 1);
  std::size_t shared = 0;
  for (const std::string& one : sockets(predecessor)) shared += sockets(successor).count(one);
  assert(shared == 1);
  int seen = 0;  // they go back into use by and by; of two hundred alone there could be some twenty
  for (double until = now() + 0.6; now() < until; sleep_for(0.01))
    seen = std::max(seen, figure(1, "cluster_unhealthy"));
  assert(seen > 60 || count > 2500);
}

void a_successor_that_dies_before_its_yes_changes_nothing() {
  Listener discovery(9);
  Answering endpoint(2);
  Running predecessor(entry("a", endpoint.listener.address), options(0, discovery));
  {
    auto successor = std::make_unique<Running>(entry("a", endpoint.listener.address), options(1, discovery));
  }  // killed outright
  sleep_for(0.05);
  assert(predecessor.status_of(get()) == 200);
  Running next(entry("a", endpoint.listener.address), options(2, discovery));
  wait_ready(2);
  predecessor.terminate();
  assert(predecessor.exit_code(3) == 0 && next.status_of(get()) == 200);
}

void a_silent_predecessor_or_a_strange_file_keeps_nobody_from_starting() {
  Listener discovery(9);
  Answering endpoint(2);
  std::string place = std::string(std::getenv("TMPDIR")) + "/puffinvane-" + here(1) + ":5001";
  std::filesystem::remove(place);
  std::fclose(std::fopen(place.c_str(), "w"));  // no socket, and not ours
  {
    Running alone(entry("a", endpoint.listener.address), options(0, discovery));
    wait_ready(0);
    assert(std::filesystem::is_regular_file(place));
  }
  std::filesystem::remove(place);
  Running predecessor(entry("a", endpoint.listener.address), options(1, discovery));
  kill(predecessor.child(), SIGSTOP);
  double since = now();
  Running successor(entry("a", endpoint.listener.address), options(2, discovery));
  wait_ready(2);
  assert(now() - since < 4);
  kill(predecessor.child(), SIGCONT);
}

// A stand-in for the predecessor, which says so many of its packets and dies.
void a_predecessor_that_dies_amid_its_account_or_speaks_otherwise_keeps_nobody_from_starting() {
  Listener discovery(9);
  Answering endpoint(2);
  std::string place = std::string(std::getenv("TMPDIR")) + "/puffinvane-" + here(1) + ":5001";
  const std::vector<std::string> account = {
      R"({"format":1,"say":"listing","list":{"index":900,"snapshot":true,"endpoints":[]}})",
      R"({"format":1,"say":"ordered","out":{"a":1.0}})", R"({"format":9,"say":"whole"})"};
  for (std::size_t says = 0; says <= account.size(); ++says) {
    std::filesystem::remove(place);
    int predecessor = socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0);
    sockaddr_un at{AF_UNIX, {}};
    place.copy(at.sun_path, sizeof at.sun_path - 1);
    assert(bind(predecessor, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
           listen(predecessor, 4) == 0);
    std::thread dies([&] {
      int successor = accept4(predecessor, nullptr, nullptr, SOCK_CLOEXEC);
      for (std::size_t i = 0; i < says; ++i)
        send(successor, account[i].data(), account[i].size(), MSG_NOSIGNAL);
      close(successor);
    });
    Running alone(entry("a", endpoint.listener.address), options(0, discovery));
    dies.join(), close(predecessor);
    wait_ready(0);
    assert(alone.status_of(get()) == 200);  // nothing that it half heard counts
  }
}

void a_killed_process_leaves_a_socket_file_that_stops_nobody() {
  Listener discovery(9);
  Answering endpoint(2);
  { Running killed(entry("a", endpoint.listener.address), options(0, discovery)); }
  Running next(entry("a", endpoint.listener.address), options(1, discovery));
  wait_ready(1);
  assert(next.status_of(get()) == 200);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 3);
  program = words[1];
  std::string folder = "/tmp/puffinvane-upgrade-" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  setenv("TMPDIR", folder.c_str(), 1);
  twenty_upgrades_under_load_lose_no_request(std::atoi(words[2]));
  orders_go_over_and_are_heard_by_both();
  what_the_predecessor_has_in_hand_is_answered_before_sigkill();
  what_the_predecessor_learned_goes_over();
  for (int count : {2500, 6000}) a_list_of_thousands_goes_over_whole_and_the_listener_with_it(count);
  a_successor_that_dies_before_its_yes_changes_nothing();
  a_silent_predecessor_or_a_strange_file_keeps_nobody_from_starting();
  a_predecessor_that_dies_amid_its_account_or_speaks_otherwise_keeps_nobody_from_starting();
  a_killed_process_leaves_a_socket_file_that_stops_nobody();
  std::filesystem::remove_all(folder);
}
