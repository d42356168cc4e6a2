// Builders of the settings, list entries and requests that tests pass to the policy. The defaults suit most
// tests, so that a test states only what it depends on.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "puffinvane/policy.h"

namespace puffinvane::test {

// An entry of an endpoint list; by default a ready endpoint of weight 1 in cell 1 of the zone "here", online
// since before the process started.
class EndpointBuilder {
 public:
  explicit EndpointBuilder(std::string name) {
    entry_.endpoint = std::move(name);
    entry_.zone = "here";
    entry_.cell = 1;
  }
  EndpointBuilder& in_zone(std::string zone) {
    entry_.zone = std::move(zone);
    return *this;
  }
  EndpointBuilder& in_cell(std::int64_t cell) {
    entry_.cell = cell;
    return *this;
  }
  EndpointBuilder& with_weight(double weight) {
    entry_.weight = weight;
    return *this;
  }
  EndpointBuilder& draining() {
    entry_.state = ListedState::Draining;
    return *this;
  }
  EndpointBuilder& removed() {
    entry_.state = ListedState::Removed;
    return *this;
  }
  EndpointBuilder& online_since(double time_s) {
    entry_.online_since_s = time_s;
    return *this;
  }
  operator ListEntry() const { return entry_; }  // NOLINT(google-explicit-constructor): used in lists

 private:
  ListEntry entry_;
};

inline EndpointBuilder endpoint(std::string name) { return EndpointBuilder(std::move(name)); }

// A request; by default without a tenant or a key, of unknown work, and with a remaining deadline of 4 s.
class RequestBuilder {
 public:
  explicit RequestBuilder(std::string request_class) : request_class_(std::move(request_class)) {}
  RequestBuilder& due_in(double remaining_time_s) {
    remaining_time_s_ = remaining_time_s;
    return *this;
  }
  RequestBuilder& for_tenant(std::string tenant) {
    tenant_ = std::move(tenant);
    return *this;
  }
  RequestBuilder& with_key(std::string key) {
    key_ = std::move(key);
    return *this;
  }
  RequestBuilder& with_work(double work_s) {
    work_s_ = work_s;
    return *this;
  }
  // The result refers to strings of this builder and must not outlive it.
  Request build(RequestId id) const {
    return {id, request_class_, tenant_, remaining_time_s_, key_, work_s_};
  }

 private:
  std::string request_class_;
  std::string tenant_;
  std::string key_;
  double remaining_time_s_ = 4;
  double work_s_ = 0;
};

inline RequestBuilder request_of_class(std::string request_class) {
  return RequestBuilder(std::move(request_class));
}

// Settings of a single instance with 4 attempts, hedging and cancellation. The request classes are "read"
// (safe), "tagged", "tagged-all" and "tagged-cell" (keyed for 1 s, within a zone, all endpoints or a cell)
// and "mutating" (unsafe, with 8 times the priority weight of the others).
class DeploymentBuilder {
 public:
  DeploymentBuilder() {
    settings_.request_classes = {
        request_class("read", Idempotency::Safe, IdempotencyScope::All),
        request_class("tagged", Idempotency::Keyed, IdempotencyScope::Zone),
        request_class("tagged-all", Idempotency::Keyed, IdempotencyScope::All),
        request_class("tagged-cell", Idempotency::Keyed, IdempotencyScope::Cell),
        request_class("mutating", Idempotency::Unsafe, IdempotencyScope::All),
    };
    settings_.request_classes.back().priority_weight = 8;
    settings_.slow_start.initial_share = 0.2;
    settings_.slow_start.duration_s = 10;
    settings_.max_attempts = 4;
    settings_.parallel_attempts = true;
    settings_.may_cancel = true;
    settings_.sends_retry_after = true;
    settings_.max_retry_after_s = 2;
    settings_.round_trip_s = 0.005;
  }
  // Responses report the endpoint's load, and there is no tier behind the endpoints.
  DeploymentBuilder& reporting_load() {
    settings_.responses_report_load = true;
    settings_.last_tier = true;
    return *this;
  }
  DeploymentBuilder& as_instance(int index, int count) {
    settings_.instance_index = index;
    settings_.instance_count = count;
    return *this;
  }
  DeploymentBuilder& with_tenant(std::string name, double quota_per_s) {
    settings_.tenants.push_back({std::move(name), quota_per_s});
    return *this;
  }
  DeploymentBuilder& with_slow_start(const SlowStartRule& rule) {
    settings_.slow_start = rule;
    return *this;
  }
  // Sets the latency objective of every request class.
  DeploymentBuilder& with_latency_objective(double objective_s) {
    for (RequestClass& request_class : settings_.request_classes) {
      request_class.latency_objective_s = objective_s;
    }
    return *this;
  }
  DeploymentBuilder& with_connect_timeout(double timeout_s) {
    settings_.connect_timeout_s = timeout_s;
    return *this;
  }
  DeploymentBuilder& with_cross_zone_price(double price) {
    settings_.cross_zone_price = price;
    return *this;
  }
  DeploymentBuilder& in_zone(std::string zone) {
    settings_.zone = std::move(zone);
    return *this;
  }
  DeploymentBuilder& with_key_affinity() {
    settings_.has_key_affinity = true;
    return *this;
  }
  DeploymentBuilder& with_priority_by_work() {
    settings_.priority_by_work = true;
    return *this;
  }
  DeploymentBuilder& polling_endpoint_list() {
    settings_.polls_endpoint_list = true;
    return *this;
  }
  DeploymentBuilder& using_unlisted_endpoints() {
    settings_.may_use_unlisted_endpoints = true;
    return *this;
  }
  operator Deployment() const { return settings_; }  // NOLINT(google-explicit-constructor): used as settings

 private:
  static RequestClass request_class(std::string name, Idempotency idempotency,
                                    IdempotencyScope idempotency_scope) {
    RequestClass built;
    built.name = std::move(name);
    built.idempotency = idempotency;
    built.idempotency_scope = idempotency_scope;
    built.idempotency_window_s = idempotency == Idempotency::Keyed ? 1 : 0;
    built.latency_objective_s = 1;
    built.priority_weight = 1;
    return built;
  }

  Deployment settings_;
};

inline DeploymentBuilder deployment() { return {}; }

}  // namespace puffinvane::test
