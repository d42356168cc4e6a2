// Trouble that begins after a long quiet time, on the module alone: hours pass by `now`, without any waiting.
// Run without arguments; a test that does not hold aborts.
#include <cstdio>
#include <functional>
#include <utility>

#include "testing/helpers.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

constexpr double kHours = 8 * 3600, kStep = 0.002;

Deployment quick() {
  Deployment made = deployment();
  for (RequestClass& request_class : made.request_classes) request_class.latency_objective_s = 0.5;
  return made;
}

// Requests at an even pace, and endpoints that answer as `answers` says.
struct Answered {
  double took = 0;  // seconds; none: never
  Outcome outcome = Outcome::Delivered;
};

class Traffic {
 public:
  using Answers = std::function<Answered(const Sent&)>;
  explicit Traffic(FakeHost& host) : host_(host) {}

  void pass(double seconds, double a_second, const Answers& answers) {
    double next = host_.now;
    for (double until = host_.now + seconds; host_.now < until; host_.run(kStep)) {
      for (; host_.now >= next; next += 1 / a_second) host_.request("read", 1);
      answer(answers);
    }
  }
  // Nothing comes, and what was out is over.
  void rest(double seconds, const Answers& answers) {
    for (double until = host_.now + 5; host_.now < until; host_.run(kStep)) answer(answers);
    host_.run(seconds);
  }
  // From 70% to 130% of the mean, the same in each run.
  static double spread(const Sent& one, double mean) {
    return mean * (0.7 + 0.6 * double(one.request * 2654435761u % 1000) / 1000);
  }

 private:
  void answer(const Answers& answers) {
    for (; seen_ < host_.sent.size(); ++seen_) {
      Answered each = answers(host_.sent[seen_]);
      if (each.took > 0) due_.emplace(host_.now + each.took, std::pair(seen_, each.outcome));
    }
    while (!due_.empty() && due_.begin()->first <= host_.now) {
      auto [number, outcome] = due_.begin()->second;
      due_.erase(due_.begin());
      const Sent sent = host_.sent[number];
      bool cancelled = std::count(host_.cancelled.begin(), host_.cancelled.end(),
                                  std::pair(sent.request, sent.number)) > 0;
      host_.end(sent, cancelled ? Outcome::Cancelled : outcome);
    }
  }

  FakeHost& host_;
  std::size_t seen_ = 0;
  std::multimap<double, std::pair<std::size_t, Outcome>> due_;
};

Answered usual(const Sent& one) { return {Traffic::spread(one, 0.2)}; }

// The rates were those of the quiet time, and the windows as long as after hours of work: two of three
// requests were rejected for six seconds and more, though all endpoints stood idle.
void after_hours_without_requests_as_much_is_let_in_as_at_a_new_start() {
  FakeHost host(quick());
  host.ready(4);
  Traffic traffic(host);
  traffic.pass(30, 100, usual);
  traffic.rest(kHours, usual);
  std::size_t rejected = host.rejected.size();
  traffic.pass(8, 100, usual);
  assert(host.rejected.size() == rejected && host.failed.empty());
}

// One endpoint of four hangs from the first request on that comes after the quiet time.
void an_endpoint_that_hangs_after_hours_without_requests_costs_what_it_does_at_any_time() {
  auto hangs = [](const Sent& one) {
    return one.endpoint == "a0" ? Answered{0.9, Outcome::TimedOut} : usual(one);
  };
  std::size_t lost[2] = {};
  for (bool quiet : {false, true}) {
    FakeHost host(quick());
    host.ready(4);
    Traffic traffic(host);
    traffic.pass(30, 100, usual);
    if (quiet) traffic.rest(kHours, usual);
    std::size_t before = host.rejected.size() + host.failed.size();
    traffic.pass(8, 100, hangs);
    lost[quiet] = host.rejected.size() + host.failed.size() - before;
  }
  assert(lost[1] <= lost[0] + 8);
}

// All were late before the quiet time, as in a jam. A jam sends no hedged requests: hours later it is none.
void a_jam_of_hours_ago_keeps_no_hedged_request_back() {
  auto jam = [](const Sent& one) { return Answered{Traffic::spread(one, 0.9)}; };
  FakeHost host(quick());
  host.ready(4);
  Traffic traffic(host);
  traffic.pass(30, 20, usual);
  traffic.pass(3, 20, jam);
  traffic.rest(kHours, jam);
  std::size_t before = host.sent.size();
  host.request("read", 6);
  host.run(5);
  assert(host.sent.size() == before + 2 && host.sent[before].endpoint != host.sent[before + 1].endpoint);
}

}  // namespace

int main() {
  after_hours_without_requests_as_much_is_let_in_as_at_a_new_start();
  an_endpoint_that_hangs_after_hours_without_requests_costs_what_it_does_at_any_time();
  a_jam_of_hours_ago_keeps_no_hedged_request_back();
  std::puts("all stories hold");
}
