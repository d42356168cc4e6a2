// Tests of the load test's own components.
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
    HttpReader reader(HttpReader::Kind::Responses);
    std::vector<HttpMessage> read;
    for (std::string_view part :
         {std::string_view(text).substr(0, split), std::string_view(text).substr(split)}) {
      while (!part.empty()) {
        part.remove_prefix(reader.feed(part));
        assert(!reader.invalid());
        if (reader.complete()) read.push_back(reader.take());
      }
    }
    assert(read.size() == 2 && read[0].body == "wikipedia" && read[0].header("x-one") == "1");
    assert(read[1].status == 503 && read[1].body == "no\n");
  }
}

void ambiguous_messages_are_rejected() {
  for (const char* text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", "nothing that can be read\r\n\r\n"}) {
    HttpReader reader(HttpReader::Kind::Responses);
    reader.feed(text);
    assert(reader.invalid());
  }
}

std::string scenario_error(const std::string& text) {
  try {
    read_scenario(text, "a.toml");
    return "";
  } catch (const InvalidInput& error) {
    return error.what();
  }
}

void invalid_scenario_reports_location_and_reason() {
  auto says = [](const std::string& text, const char* where, const char* what) {
    std::string error = scenario_error(text);
    if (error.starts_with(where) && error.find(what) != std::string::npos) return true;
    std::printf("said: %s\n", error.c_str());
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
  assert(scenario_error("[clients]\nrate = 5\n[[fault]]\nkind = \"slow\"\non = \"bron/*\"\n").empty());
}

void same_seed_generates_same_scenario_and_arrivals() {
  for (std::uint64_t seed : {1u, 2u, 99u}) {
    Scenario one = generate_scenario(seed), other = generate_scenario(seed);
    assert(write_scenario(one) == write_scenario(other));
    assert(schedule_hash(generate_arrivals(one, seed), one) ==
           schedule_hash(generate_arrivals(other, seed), other));
    assert(schedule_hash(generate_arrivals(one, seed), one) !=
           schedule_hash(generate_arrivals(one, seed + 1), one));
  }
  assert(write_scenario(generate_scenario(1)) != write_scenario(generate_scenario(2)));
}

void generated_scenarios_survive_writing_and_reading() {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Scenario drawn = generate_scenario(seed);
    Scenario again = read_scenario(write_scenario(drawn), "drawn.toml");
    assert(again.faults.size() == drawn.faults.size() && again.tiers.size() == drawn.tiers.size());
    assert(write_scenario(again) == write_scenario(drawn));
  }
}

void burst_adds_arrivals_and_scaling_changes_all_times() {
  Scenario scenario = default_scenario();
  scenario.clients.rate = 200;
  scenario.length = 10;
  std::size_t usual = generate_arrivals(scenario, 3).size();
  Fault burst;
  burst.kind = FaultKind::Burst;
  burst.at = 2;
  burst.duration = 4;
  burst.factor = 3;
  scenario.faults = {burst};
  std::size_t more = generate_arrivals(scenario, 3).size();
  assert(double(more) > 1.6 * double(usual) && double(more) < 2.0 * double(usual));
  scale_times(scenario, 2);
  assert(scenario.length == 20 && scenario.faults[0].at == 4 && scenario.clients.rate == 100);
}

void group_recognises_key_within_its_window() {
  IdempotencyMemory memory;
  assert(!memory.check_and_record("k", 1, 2) && memory.check_and_record("k", 2.5, 2));
  assert(!memory.check_and_record("k", 3.6, 2));  // the window has expired
}

void quantiles_are_within_their_error() {
  Histogram histogram;
  for (int i = 1; i <= 10000; ++i) histogram.add(i * 1e-5);
  for (double share : {0.5, 0.9, 0.99, 0.999})
    assert(std::abs(histogram.quantile(share) / (share * 0.1) - 1) < 0.012);
}

void confidence_interval_uses_student_t() {
  Estimate one = estimate({1, 2, 3, 4, 5});  // half width 2.776 x sqrt(2.5 / 5)
  assert(std::abs(one.mean - 3) < 1e-9 && std::abs(one.half_width - 1.963) < 0.001);
  assert(std::isinf(estimate({1}).half_width));
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

void difference_is_significant_only_beyond_its_interval() {
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

void html_report_escapes_text() {
  std::string page = html_report(result_of("a", 1, 0.9));
  assert(page.find("&lt;b&gt;") != std::string::npos && page.find("<b>x</b>") == std::string::npos);
}

void only_loopback_addresses_are_accepted() {
  for (const char* text :
       {"10.0.0.1:80", "8.8.8.8:53", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x", "example:80"}) {
    bool refused = false;
    try {
      parse_address(text);
    } catch (const std::invalid_argument&) {
      refused = true;
    }
    assert(refused);
  }
  assert(parse_address("localhost:80").text() == "127.0.0.1:80");
}

// Both ends of one connection, to check at which byte it is reset.
class ConnectionPair final : public Connection::Owner, public Listener::Owner {
 public:
  ConnectionPair() : listener(loop, *this, {"127.0.0.1", port()}, 0), near(loop, *this), far(loop, *this) {}
  static int port() {
    static int next = 21000 + int(getpid() % 9000);
    return next++;
  }
  void on_bytes(Connection& connection, std::string_view bytes) override {
    (&connection == &far ? at_far : at_near) += bytes.size();
  }
  void on_end(Connection& connection, bool reset) override {
    (&connection == &far ? far_ended : near_ended) = reset ? 2 : 1;
  }
  void on_accepted(Listener&, int descriptor) override { far.attach(descriptor); }
  void run_for(double seconds) {
    double until = loop.now() + seconds;
    loop.run([&] { return loop.now() >= until; });
  }
  EventLoop loop;
  Listener listener;
  Connection near, far;
  std::size_t at_far = 0, at_near = 0;
  int far_ended = 0, near_ended = 0;  // 1: closed, 2: reset
};

void connection_resets_at_the_configured_byte() {
  for (std::size_t byte : {1u, 7u, 100u}) {
    ConnectionPair in;
    in.near.connect(in.listener.address());
    in.run_for(0.03);
    in.far.reset_after_reading(byte);
    in.near.send(std::string(200, 'x'));
    in.run_for(0.05);
    assert(in.at_far < byte + 1 && in.far_ended == 2 && in.near_ended == 2);
    ConnectionPair out;
    out.near.connect(out.listener.address());
    out.run_for(0.03);
    out.far.reset_after_writing(byte);
    out.far.send(std::string(200, 'y'));
    out.run_for(0.05);
    assert(out.at_near <= byte && out.near_ended == 2);
  }
}

void blocked_listener_hangs_and_stopped_one_refuses() {
  ConnectionPair pair;
  pair.listener.block_connects();
  pair.run_for(0.02);
  Connection late(pair.loop, pair);
  late.connect(pair.listener.address());
  pair.run_for(0.1);
  assert(late.is_open() && !late.connected());
  late.close();
  pair.listener.stop_listening();
  Connection refused(pair.loop, pair);
  bool started = refused.connect(pair.listener.address());
  pair.run_for(0.03);
  assert(!started || !refused.is_open());
}

}  // namespace

int main() {
  messages_are_read_wherever_they_are_split();
  ambiguous_messages_are_rejected();
  invalid_scenario_reports_location_and_reason();
  same_seed_generates_same_scenario_and_arrivals();
  generated_scenarios_survive_writing_and_reading();
  burst_adds_arrivals_and_scaling_changes_all_times();
  group_recognises_key_within_its_window();
  quantiles_are_within_their_error();
  confidence_interval_uses_student_t();
  difference_is_significant_only_beyond_its_interval();
  html_report_escapes_text();
  only_loopback_addresses_are_accepted();
  connection_resets_at_the_configured_byte();
  blocked_listener_hangs_and_stopped_one_refuses();
  std::puts("components: all tests passed");
}
