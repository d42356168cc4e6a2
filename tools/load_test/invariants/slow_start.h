// How much an endpoint in slow start has been sent against what it can do: for the endpoint that falls over,
// and for the invariant checker that says whose rule it was.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

namespace load_test {

struct SlowStartBounds {
  double share = 0.3, warm_after = 5;  // of capacity at the start; seconds
  double multiple = 3, window = 1;     // of present capacity, within so many seconds
};

class SlowStartBudget {
 public:
  SlowStartBudget(const SlowStartBounds& bounds, double started, double capacity)
      : bounds_(bounds), started_(started), capacity_(capacity) {}

  bool warm(double now) const { return now - started_ > bounds_.warm_after; }
  double age(double now) const { return now - started_; }
  double most(double now) const {
    double share = bounds_.share + (1 - bounds_.share) * age(now) / bounds_.warm_after;
    return bounds_.multiple * capacity_ * share * bounds_.window;
  }
  double sent() const { return sum_; }  // within the window
  // Whether this work is too much. The last ones may be large, which nobody can know: chance breaks nothing.
  bool overrun(double now, double work) {
    sent_.emplace_back(now, work);
    while (sent_.front().first < now - bounds_.window) sent_.pop_front();
    double largest = 0;
    sum_ = 0;
    for (const auto& [when, one] : sent_) {
      sum_ += one;
      largest = std::max(largest, one);
    }
    return sum_ > most(now) + 2 * largest;
  }

 private:
  SlowStartBounds bounds_;
  double started_, capacity_, sum_ = 0;
  std::deque<std::pair<double, double>> sent_;  // when, work
};

}  // namespace load_test
