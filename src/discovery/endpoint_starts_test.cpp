// Endpoints' starts while the wall clock is wrong or is stepped. Times are the monotonic clock's; discovery's
// stamps are by a clock of its own that is right.
#include "src/discovery/endpoint_starts.h"

#undef NDEBUG
#include <cassert>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

using namespace puffinvane;

namespace {

constexpr double kRight = 1.7e9;  // Unix time less the monotonic clock
constexpr double kWrong[] = {-3600, -5, 5, 3600};
constexpr double kLongAgo = -1e6;  // a start without a stamp
constexpr double kRounding = 0.002;

bool about(double one, double other) { return std::abs(one - other) < kRounding; }

struct Stated {
  std::string name;
  double started = kLongAgo;
  ListedState state = ListedState::Ready;
};

EndpointList list_at(double heard_at, const std::vector<Stated>& endpoints, bool whole = true) {
  EndpointList list;
  list.index = 1, list.is_snapshot = whole, list.received_at_s = heard_at;
  for (const Stated& one : endpoints) {
    ListEntry entry;
    entry.endpoint = one.name, entry.state = one.state;
    list.entries.push_back(entry);
    list.addresses.emplace_back("127.0.0.1:1");
    list.stated_start_ms.push_back(one.started == kLongAgo ? 0 : std::round((one.started + kRight) * 1000));
  }
  return list;
}

std::vector<double> heard(EndpointStarts& starts, EndpointList list, const ClockOffsets& offsets) {
  starts.on_list(list, offsets);
  std::vector<double> started;
  for (const ListEntry& entry : list.entries) started.push_back(entry.online_since_s);
  return started;
}
double heard(EndpointStarts& starts, double at, const std::vector<Stated>& endpoints, double wrong = 0) {
  return heard(starts, list_at(at, endpoints), {kRight + wrong, {}}).front();
}

void with_a_right_clock_a_start_is_when_it_is_stated() {
  EndpointStarts starts;
  EndpointList first = list_at(100, {{"old"}, {"warm", 40}, {"fresh", 99}});
  std::vector<double> started = heard(starts, first, {kRight, {}});
  assert(started[0] == 0 && about(started[1], 40) && about(started[2], 99));
  // Discovery was silent for a while: the stated time counts inside the bounds.
  assert(about(heard(starts, 120, {{"old", 107}}), 107));
}

void a_new_start_is_between_the_lists_that_show_it_whatever_the_clock_says() {
  for (double wrong : kWrong) {
    for (const char* name : {"a", "new"}) {  // started anew, or listed for the first time
      EndpointStarts starts;
      heard(starts, 100, {{"a"}, {"b"}}, wrong);
      starts.on_unchanged(102);
      double started = heard(starts, 103.5, {{name, 103}, {"b"}}, wrong);
      assert(started >= 102 && started <= 103.5);
    }
  }
}

void a_start_that_is_told_again_after_a_step_is_no_new_start() {
  for (double step : kWrong) {
    EndpointStarts starts;
    heard(starts, 100, {{"a"}});
    double started = heard(starts, 104, {{"a", 103}});
    for (double at : {104.5, 106.0, 108.0}) assert(heard(starts, at, {{"a", 103}}, step) == started);
    assert(heard(starts, 110, {{"a", 103}}) == started);        // and back
    assert(heard(starts, 112, {{"b"}}) == 0);                   // left out,
    assert(heard(starts, 114, {{"a", 103}}, step) == started);  // and there again
  }
}

// A quiet discovery says every 2 s that nothing has changed. Without that a clock that is ahead by less than
// the quiet time took away as much of each slow start.
void a_discovery_that_says_that_nothing_changed_bounds_the_next_start() {
  EndpointStarts starts;
  heard(starts, 100, {{"a"}, {"b"}}, 5);
  for (double at = 102; at <= 200; at += 2) starts.on_unchanged(at);
  assert(heard(starts, 200.5, {{"a", 200.2}, {"b"}}, 5) >= 200);
}

// Between its reading and discovery's next word the clock is stepped: what it says of a start is not
// believed, also where it happens to lie inside the bounds.
void a_step_while_discovery_is_silent_takes_the_careful_reading() {
  for (double step : kWrong) {
    EndpointStarts starts;
    heard(starts, 100, {{"a"}, {"b"}});
    double started = heard(starts, 120, {{"a", 118}, {"b"}}, step);
    assert(started == 120);
    // A start that fits narrow bounds shows that the clocks agree again.
    starts.on_unchanged(130);
    heard(starts, 131, {{"a", 118}, {"b", 130.5}});
    starts.on_unchanged(131.5);
    heard(starts, 132, {{"a", 118}, {"b", 130.5}, {"c", 131.8}});
    assert(about(heard(starts, 150, {{"a", 140}}), 140));
  }
}

// Told late by discovery, a start lies before the last word without it, which is the earliest that no clock
// denies; and no clock is blamed.
void a_start_that_is_told_late_is_at_its_earlier_bound_and_blames_no_clock() {
  EndpointStarts starts;
  heard(starts, 100, {{"a"}});
  assert(heard(starts, 101, {{"a", 99}}) == 100);
  assert(about(heard(starts, 120, {{"a", 110}}), 110));
}

void no_start_lies_in_the_future() {
  EndpointStarts starts;
  std::vector<double> started =
      heard(starts, list_at(100, {{"old"}, {"older", 60}, {"newest", 98}}), {kRight - 3600, {}});
  assert(started[0] == 0 && about(started[2], 100));
  assert(about(started[1], 62));  // by its distance from the newest, which no clock tells
  EndpointStarts others;
  started = heard(others, list_at(100, {{"spoilt", 1e9}, {"a", 40}, {"b", 50}}), {kRight, {}});
  assert(started[0] == 100 && about(started[1], 40) && about(started[2], 50));
}

// A process that starts with a right clock holds none of its first list for cold that is not.
void the_first_list_is_not_cold_as_a_whole() {
  EndpointStarts starts;
  EndpointList known = list_at(0, {{"a", 10}, {"b", 20}});
  starts.set_cached_start_times(known, 100, {kRight, {}});
  assert(about(known.entries[0].online_since_s, 10));
  std::vector<double> started =
      heard(starts, list_at(100.1, {{"a", 10}, {"b", 50}, {"c", 60}}), {kRight, {}});
  assert(started[0] == known.entries[0].online_since_s && about(started[1], 50) && about(started[2], 60));
}

// The clock was wrong before the process started, and the first list that it hears tells of a start of a
// moment ago: the date of discovery's answer goes before the clock.
void the_date_of_discoverys_answer_corrects_a_clock_that_was_wrong_from_the_start() {
  for (double wrong : kWrong) {
    EndpointStarts starts;
    double date = kRight - 0.7;  // whole seconds
    std::vector<double> started = heard(starts, list_at(100, {{"a"}, {"fresh", 98}}), {kRight + wrong, date});
    assert(started[0] == 0 && started[1] >= 98 && started[1] <= 99);
  }
  EndpointStarts starts;  // one that fits: the clock is the finer of the two
  assert(about(heard(starts, list_at(100, {{"a", 98}}), {kRight, kRight - 0.7}).front(), 98));
  assert(parse_http_date("Tue, 14 Nov 2023 22:13:20 GMT") == 1.7e9);
  assert(!parse_http_date("") && !parse_http_date("yesterday") &&
         !parse_http_date("Tue, 14 Nov 2023 22:13:20 GMT+1"));
}

void an_old_list_takes_no_start_back() {
  EndpointStarts starts;
  heard(starts, 100, {{"a", 50}});
  double started = heard(starts, 102, {{"a", 101}});
  assert(heard(starts, 103, {{"a", 50}}) == started);
  assert(heard(starts, 104, {{"a"}}) == started);
  assert(heard(starts, 105, {{"a", 101}}) == started);
}

// Under slow start one process takes over from the other and the clock is stepped between: each endpoint
// keeps its start, and what starts during the hand-over is bounded by what the predecessor heard.
void a_step_within_a_hand_over_changes_no_start() {
  for (double step : kWrong) {
    EndpointStarts predecessor;
    heard(predecessor, 100, {{"a"}, {"b"}, {"c"}});
    EndpointList list = list_at(104, {{"a", 103}, {"b"}, {"c"}});
    predecessor.on_list(list, {kRight, {}});
    list.entries[1].online_since_s = 103.7;  // cold by order
    predecessor.export_start_times(list);
    EndpointStarts successor;
    successor.import_start_times(list);
    EndpointList known = list;
    successor.set_cached_start_times(known, 104.2, {kRight + step, {}});
    std::vector<double> started =
        heard(successor, list_at(104.5, {{"a", 103}, {"b"}, {"c", 104.1}}), {kRight + step, {}});
    assert(started[0] == list.entries[0].online_since_s && started[1] == 103.7);
    assert(started[2] >= 104 && started[2] <= 104.5);
    assert(known.entries == list.entries);
  }
}

void another_discovery_may_name_others_that_are_warm() {
  EndpointStarts starts;
  heard(starts, 100, {{"a"}, {"b"}});
  starts.on_source_changed();
  std::vector<double> started = heard(starts, list_at(102, {{"c", 20}, {"d", 30}, {"a"}}), {kRight, {}});
  assert(about(started[0], 20) && about(started[1], 30));
  // One that names the same ones besides is held to what was heard before.
  starts.on_source_changed();
  started = heard(starts, list_at(104, {{"c", 20}, {"d", 30}, {"e", 103}}), {kRight + 3600, {}});
  assert(started[2] == 104);
}

void only_so_many_that_are_listed_no_more_are_remembered() {
  EndpointStarts starts;
  for (int i = 0; i < 20000; ++i)
    heard(starts, list_at(100 + i, {{"s-" + std::to_string(i), 100.0 + i}}, i % 2 == 0), {kRight, {}});
  for (int i = 0; i < 20000; ++i)
    heard(starts, list_at(30000 + i, {{"t-" + std::to_string(i), kLongAgo, ListedState::Removed}}, false),
          {kRight, {}});
  assert(starts.known_endpoint_count() <= EndpointStarts::kMaxUnlistedEndpoints + 2);
}

}  // namespace

int main() {
  with_a_right_clock_a_start_is_when_it_is_stated();
  a_new_start_is_between_the_lists_that_show_it_whatever_the_clock_says();
  a_start_that_is_told_again_after_a_step_is_no_new_start();
  a_discovery_that_says_that_nothing_changed_bounds_the_next_start();
  a_step_while_discovery_is_silent_takes_the_careful_reading();
  a_start_that_is_told_late_is_at_its_earlier_bound_and_blames_no_clock();
  no_start_lies_in_the_future();
  the_first_list_is_not_cold_as_a_whole();
  the_date_of_discoverys_answer_corrects_a_clock_that_was_wrong_from_the_start();
  an_old_list_takes_no_start_back();
  a_step_within_a_hand_over_changes_no_start();
  another_discovery_may_name_others_that_are_warm();
  only_so_many_that_are_listed_no_more_are_remembered();
}
