// Compares the work sent to an endpoint in slow start with its capacity. Used by the stand-in endpoint, which
// stops when it is overloaded, and by the invariant checker, which reports the breach.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

namespace load_test {

struct SlowStartBounds {
  // Share of the full capacity at the start; seconds until the full capacity is reached.
  double initial_share = 0.3, duration = 5;
  // Work within a window of so many seconds may be this multiple of the present capacity.
  double tolerance = 3, window = 1;
};

class SlowStartBudget {
 public:
  SlowStartBudget(const SlowStartBounds& bounds, double started, double capacity)
      : bounds_(bounds), started_(started), capacity_(capacity) {}

  bool finished(double now) const { return now - started_ > bounds_.duration; }
  double age(double now) const { return now - started_; }
  double work_limit(double now) const {
    double share = bounds_.initial_share + (1 - bounds_.initial_share) * age(now) / bounds_.duration;
    return bounds_.tolerance * capacity_ * share * bounds_.window;
  }
  // Seconds of work sent within the window.
  double recent_work() const { return recent_work_; }
  // Adds the work of an attempt; true if the endpoint is overloaded. Twice the largest recent attempt is
  // tolerated, as a sidecar cannot know in advance how much work a request causes.
  bool add_and_check(double now, double work) {
    sent_.emplace_back(now, work);
    while (sent_.front().first < now - bounds_.window) sent_.pop_front();
    double largest = 0;
    recent_work_ = 0;
    for (const auto& [when, attempt_work] : sent_) {
      recent_work_ += attempt_work;
      largest = std::max(largest, attempt_work);
    }
    return recent_work_ > work_limit(now) + 2 * largest;
  }

 private:
  SlowStartBounds bounds_;
  double started_, capacity_, recent_work_ = 0;
  std::deque<std::pair<double, double>> sent_;  // (time, work)
};

}  // namespace load_test
