// Sends requests to a policy at a constant rate, and answers attempts as a given function decides. It uses
// the simulated time of the fake host, so that tests can cover hours.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {

inline constexpr double kIdleHoursS = 8 * 3600;

// How an endpoint answers an attempt.
struct EndpointAnswer {
  double response_time_s = 0;  // 0: it never answers
  Outcome outcome = Outcome::Delivered;
};

// A response time from 70% to 130% of `mean_s`, derived from the request id: the same in each run.
inline double spread_response_time_s(const SentAttempt& attempt, double mean_s) {
  return mean_s * (0.7 + 0.6 * double(attempt.request * 2654435761u % 1000) / 1000);
}

// Delivered after 0.2 s on average.
inline EndpointAnswer usual_answer(const SentAttempt& attempt) {
  constexpr double kMeanS = 0.2;
  return {spread_response_time_s(attempt, kMeanS)};
}

class SteadyTraffic {
 public:
  using AnswerFunction = std::function<EndpointAnswer(const SentAttempt&)>;

  explicit SteadyTraffic(FakeHost& host) : host_(host) {}

  // Sends safe requests with a remaining deadline of 1 s.
  void run_for(double seconds, double requests_per_s, const AnswerFunction& answer) {
    double next_request_s = host_.now_s();
    double end_s = host_.now_s() + seconds;
    while (host_.now_s() < end_s) {
      for (; host_.now_s() >= next_request_s; next_request_s += 1 / requests_per_s) {
        host_.receive(request_of_class("read").due_in(1));
      }
      answer_attempts(answer);
      host_.run_for(kStepS);
    }
  }
  // Answers pending requests for 5 s, then lets `seconds` pass without any request.
  void stop_for(double seconds, const AnswerFunction& answer) {
    double end_s = host_.now_s() + kSettleS;
    while (host_.now_s() < end_s) {
      answer_attempts(answer);
      host_.run_for(kStepS);
    }
    host_.run_for(seconds);
  }

 private:
  static constexpr double kStepS = 0.002;
  static constexpr double kSettleS = 5;

  struct DueAnswer {
    std::size_t attempt = 0;  // index in FakeHost::sent()
    Outcome outcome = Outcome::Delivered;
  };

  void answer_attempts(const AnswerFunction& answer) {
    for (; scheduled_ < host_.sent().size(); ++scheduled_) {
      EndpointAnswer next = answer(host_.sent()[scheduled_]);
      if (next.response_time_s > 0) {
        due_.emplace(host_.now_s() + next.response_time_s, DueAnswer{scheduled_, next.outcome});
      }
    }
    while (!due_.empty() && due_.begin()->first <= host_.now_s()) {
      DueAnswer next = due_.begin()->second;
      due_.erase(due_.begin());
      SentAttempt attempt = host_.sent()[next.attempt];
      bool is_cancelled =
          std::ranges::count(host_.cancelled(), CancelledAttempt{attempt.request, attempt.number}) > 0;
      host_.end_attempt(attempt, is_cancelled ? Outcome::Cancelled : next.outcome);
    }
  }

  FakeHost& host_;
  std::size_t scheduled_ = 0;             // number of attempts that were passed to the answer function
  std::multimap<double, DueAnswer> due_;  // by time
};

}  // namespace puffinvane::test
