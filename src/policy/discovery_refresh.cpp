#include "src/policy/discovery_refresh.h"

#include <algorithm>

namespace puffinvane {

namespace {

constexpr double kStartShare =
    0.4;  // share of the poll interval over which instances spread their first polls
// Backoffs last 0.5 to 1.5 times backoff_s_, so that the instances don't poll their common discovery service
// at once.
constexpr double kJitterFloor = 0.5;

}  // namespace

DiscoveryRefresh::DiscoveryRefresh(const Deployment& deployment, double now, double stagger)
    : deployment_(deployment) {
  if (deployment.polls_endpoint_list) {
    next_poll_at_ = now + stagger * deployment.list_poll_interval_s * kStartShare;
  }
}

bool DiscoveryRefresh::begin_poll_if_due(double now) {
  if (next_poll_at_ <= 0 || now < next_poll_at_) {
    return false;
  }
  next_poll_at_ = 0;
  response_due_at_ = now + deployment_.list_poll_interval_s;
  return true;
}

void DiscoveryRefresh::fail_overdue_poll(double now, Random& random) {
  if (response_due_at_ > 0 && now > response_due_at_) {
    on_poll_failed(now, random);
  }
}

void DiscoveryRefresh::on_list_received() {
  response_due_at_ = 0;
  backoff_s_ = kFirstBackoffSeconds;
}

void DiscoveryRefresh::on_poll_failed(double now, Random& random) {
  response_due_at_ = 0;
  next_poll_at_ = now + backoff_s_ * (kJitterFloor + random.uniform());
  backoff_s_ = std::min(backoff_s_ * 2, deployment_.list_poll_interval_s);
}

}  // namespace puffinvane
