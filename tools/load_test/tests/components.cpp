// The load test's own parts: what can't be trusted here can't judge anything else.
#undef NDEBUG
#include <unistd.h>

#include <cassert>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "tools/load_test/cost/load.h"
#include "tools/load_test/loop/http.h"
#include "tools/load_test/report/compare.h"
#include "tools/load_test/report/html_report.h"
#include "tools/load_test/world/clients.h"
#include "tools/load_test/world/endpoint.h"

using namespace load_test;

namespace {

void messages_are_read_wherever_they_are_split() {
  const std::string text =
      "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-One: "
      "1\r\n\r\n4\r\nwiki\r\n5;x=y\r\npedia\r\n0\r\n\r\n"
      "HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\nno\n";
  for (std::size_t split = 0; split <= text.size(); ++split) {
    Reader reader(Reader::Of::Answers);
    std::vector<Message> read;
    for (std::string_view part :
         {std::string_view(text).substr(0, split), std::string_view(text).substr(split)}) {
      while (!part.empty()) {
        part.remove_prefix(reader.feed(part));
        assert(!reader.bad());
        if (reader.whole()) read.push_back(reader.take());
      }
    }
    assert(read.size() == 2 && read[0].body == "wikipedia" && read[0].header("x-one") == "1");
    assert(read[1].status == 503 && read[1].body == "no\n");
  }
}

void what_can_be_read_in_two_ways_is_not_read() {
  for (const char* text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", "nothing that can be read\r\n\r\n"}) {
    Reader reader(Reader::Of::Answers);
    reader.feed(text);
    assert(reader.bad());
  }
}

std::string fault_of(const std::string& text) {
  try {
    read_scenario(text, "a.toml");
    return "";
  } catch (const Unusable& fault) {
    return fault.what();
  }
}

void a_scenario_that_cant_be_used_says_where_and_why() {
  auto says = [](const std::string& text, const char* where, const char* what) {
    std::string fault = fault_of(text);
    if (fault.starts_with(where) && fault.find(what) != std::string::npos) return true;
    std::printf("said: %s\n", fault.c_str());
    return false;
  };
  assert(says("length = \n", "a.toml:1", ""));
  assert(says("title = \"x\"\nlenght = 5\n", "a.toml:2", "expected one of"));
  assert(says("length = \"5\"\n", "a.toml:1", "is a number"));
  assert(says("[[fault]]\nkind = \"slwo\"\non = \"front/0\"\n", "a.toml:2", "expected one of slow"));
  assert(says("[[fault]]\nat = 1\n", "a.toml:1", "needs a 'kind'"));
  assert(says("[[fault]]\nkind = \"slow\"\non = \"front/9\"\n", "a.toml:1", "expected a tier"));
  assert(says("[[fault]]\nkind = \"sidecar-term\"\non = \"front/0\"\n", "a.toml:1",
              "a sidecar of the first tier"));
  assert(says("[[prefix]]\nname = \"x\"\ntarget_latency = 3\n", "a.toml:1", "under its target latency"));
  assert(says("list_delay = [2, 1]\n", "a.toml:1", "low end above"));
  assert(fault_of("[clients]\nrate = 5\n[[fault]]\nkind = \"slow\"\non = \"bron/*\"\n").empty());
}

void the_same_seed_gives_the_same_day() {
  for (std::uint64_t seed : {1u, 2u, 99u}) {
    Scenario one = draw_scenario(seed), other = draw_scenario(seed);
    assert(write_scenario(one) == write_scenario(other));
    assert(print_of(draw_arrivals(one, seed), one) == print_of(draw_arrivals(other, seed), other));
    assert(print_of(draw_arrivals(one, seed), one) != print_of(draw_arrivals(one, seed + 1), one));
  }
  assert(write_scenario(draw_scenario(1)) != write_scenario(draw_scenario(2)));
}

void every_drawn_scenario_can_be_written_and_read_again() {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Scenario drawn = draw_scenario(seed);
    Scenario again = read_scenario(write_scenario(drawn), "drawn.toml");
    assert(again.faults.size() == drawn.faults.size() && again.tiers.size() == drawn.tiers.size());
    assert(write_scenario(again) == write_scenario(drawn));
  }
}

void a_burst_brings_more_and_a_scale_moves_all_times() {
  Scenario scenario = default_scenario();
  scenario.clients.rate = 200;
  scenario.length = 10;
  std::size_t usual = draw_arrivals(scenario, 3).size();
  Fault burst;
  burst.kind = Trouble::Burst;
  burst.at = 2;
  burst.span = 4;
  burst.factor = 3;
  scenario.faults = {burst};
  std::size_t more = draw_arrivals(scenario, 3).size();
  assert(double(more) > 1.6 * double(usual) && double(more) < 2.0 * double(usual));
  stretch(scenario, 2);
  assert(scenario.length == 20 && scenario.faults[0].at == 4 && scenario.clients.rate == 100);
}

void a_group_remembers_a_tag_for_its_time() {
  TagMemory memory;
  assert(!memory.seen("k", 1, 2) && memory.seen("k", 2.5, 2));
  assert(!memory.seen("k", 3.6, 2));  // forgotten since
}

void percentiles_are_within_their_error() {
  Histogram histogram;
  for (int i = 1; i <= 10000; ++i) histogram.add(i * 1e-5);
  for (double share : {0.5, 0.9, 0.99, 0.999})
    assert(std::abs(histogram.at(share) / (share * 0.1) - 1) < 0.012);
}

void an_interval_is_students() {
  Estimate one = estimate({1, 2, 3, 4, 5});  // half width 2.776 x sqrt(2.5 / 5)
  assert(std::abs(one.mean - 3) < 1e-9 && std::abs(one.half - 1.963) < 0.001);
  assert(std::isinf(estimate({1}).half));
}

nlohmann::json result_of(const char* label, int seed, double service) {
  return {{"label", label},
          {"script", "x"},
          {"title", "<b>x</b>"},
          {"seed", seed},
          {"service", service},
          {"worst_window", service},
          {"rules", "kept"},
          {"length", 4.0},
          {"visits", 10},
          {"bounced", 0},
          {"delivered", 10},
          {"errored", 0},
          {"copies", 0},
          {"windows", nlohmann::json::array()},
          {"latency_windows", nlohmann::json::array()},
          {"faults", nlohmann::json::array()},
          {"breaches", nlohmann::json::array()},
          {"sidecars", nlohmann::json::array()},
          {"fetches_a_visit", 1.0},
          {"latency", {{"p50", 0.1}, {"p99", 0.2}}}};
}

void a_difference_is_real_only_beyond_its_error() {
  auto compared = [](double spread, double apart) {
    std::vector<nlohmann::json> results;
    for (int seed = 0; seed < 6; ++seed) {
      results.push_back(result_of("a", seed, 0.8 + spread * (seed % 2)));
      results.push_back(result_of("b", seed, 0.8 - apart + spread * (seed % 3)));
    }
    std::ostringstream out;
    compare(results, out);
    return out.str();
  };
  assert(compared(0.001, 0.1).find(": real") != std::string::npos);
  assert(compared(0.1, 0.001).find("not told apart") != std::string::npos);
  bool refused = false;
  try {
    std::ostringstream out;
    compare({nlohmann::json::object()}, out);
  } catch (const std::runtime_error&) {
    refused = true;
  }
  assert(refused);
}

void a_page_shows_texts_and_runs_none() {
  std::string page = page_of(result_of("a", 1, 0.9));
  assert(page.find("&lt;b&gt;") != std::string::npos && page.find("<b>x</b>") == std::string::npos);
}

void addresses_off_this_machine_are_not_load_targets() {
  for (const char* text :
       {"10.0.0.1:80", "8.8.8.8:53", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x", "example:80"}) {
    bool refused = false;
    try {
      read_address(text);
    } catch (const std::invalid_argument&) {
      refused = true;
    }
    assert(refused);
  }
  assert(read_address("localhost:80").text() == "127.0.0.1:80");
}

// Two ends of one connection, to see that it breaks at the byte that was asked for.
class Ends final : public Line::Owner, public Listener::Owner {
 public:
  Ends() : listener(loop, *this, {"127.0.0.1", port()}, 0), near(loop, *this), far(loop, *this) {}
  static int port() {
    static int next = 21000 + int(getpid() % 9000);
    return next++;
  }
  void on_bytes(Line& line, std::string_view bytes) override {
    (&line == &far ? at_far : at_near) += bytes.size();
  }
  void on_end(Line& line, bool reset) override { (&line == &far ? far_ended : near_ended) = reset ? 2 : 1; }
  void on_accepted(Listener&, int descriptor) override { far.adopt(descriptor); }
  void turn(double seconds) {
    double until = loop.now() + seconds;
    loop.run([&] { return loop.now() >= until; });
  }
  Loop loop;
  Listener listener;
  Line near, far;
  std::size_t at_far = 0, at_near = 0;
  int far_ended = 0, near_ended = 0;  // 1: closed, 2: reset
};

void a_connection_breaks_at_the_byte_that_was_asked_for() {
  for (std::size_t byte : {1u, 7u, 100u}) {
    Ends in;
    in.near.connect(in.listener.address());
    in.turn(0.03);
    in.far.cut_in(byte);
    in.near.send(std::string(200, 'x'));
    in.turn(0.05);
    assert(in.at_far < byte + 1 && in.far_ended == 2 && in.near_ended == 2);
    Ends out;
    out.near.connect(out.listener.address());
    out.turn(0.03);
    out.far.cut_out(byte);
    out.far.send(std::string(200, 'y'));
    out.turn(0.05);
    assert(out.at_near <= byte && out.near_ended == 2);
  }
}

void a_blocked_listener_lets_nobody_up_and_a_shut_one_refuses() {
  Ends ends;
  ends.listener.block();
  ends.turn(0.02);
  Line late(ends.loop, ends);
  late.connect(ends.listener.address());
  ends.turn(0.1);
  assert(late.open() && !late.up());
  late.close();
  ends.listener.shut();
  Line refused(ends.loop, ends);
  bool begun = refused.connect(ends.listener.address());
  ends.turn(0.03);
  assert(!begun || !refused.open());
}

}  // namespace

int main() {
  messages_are_read_wherever_they_are_split();
  what_can_be_read_in_two_ways_is_not_read();
  a_scenario_that_cant_be_used_says_where_and_why();
  the_same_seed_gives_the_same_day();
  every_drawn_scenario_can_be_written_and_read_again();
  a_burst_brings_more_and_a_scale_moves_all_times();
  a_group_remembers_a_tag_for_its_time();
  percentiles_are_within_their_error();
  an_interval_is_students();
  a_difference_is_real_only_beyond_its_error();
  a_page_shows_texts_and_runs_none();
  addresses_off_this_machine_are_not_load_targets();
  a_connection_breaks_at_the_byte_that_was_asked_for();
  a_blocked_listener_lets_nobody_up_and_a_shut_one_refuses();
  std::puts("pieces: all stories hold");
}
