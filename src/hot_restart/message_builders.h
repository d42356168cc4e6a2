// Builders of messages. Only for the tests of src/hot_restart.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "src/hot_restart/message.h"
#include "src/hot_restart/message_encoder.h"

namespace puffinvane::test {

class EndpointListBuilder {
 public:
  EndpointListBuilder& index(std::int64_t index) {
    list_.index = index;
    return *this;
  }
  EndpointListBuilder& received_at_s(double time_s) {
    list_.received_at_s = time_s;
    list_.has_start_times = true;
    return *this;
  }
  EndpointListBuilder& endpoint(ListEntry entry, std::string address, double since_ms) {
    list_.entries.push_back(std::move(entry));
    list_.addresses.push_back(std::move(address));
    list_.stated_start_ms.push_back(since_ms);
    return *this;
  }
  EndpointList build() const { return list_; }

 private:
  EndpointList list_ = [] {
    EndpointList list;
    list.is_snapshot = true;
    return list;
  }();
};

inline EndpointList endpoint_list_of(std::size_t count) {
  EndpointListBuilder builder;
  builder.index(41).received_at_s(99.5);
  for (std::size_t i = 0; i < count; ++i) {
    ListEntry entry;
    entry.endpoint = "s-" + std::to_string(i);
    entry.zone = "z\"1";
    entry.cell = std::int64_t(i % 5);
    entry.state = i % 3 == 0 ? ListedState::Draining : ListedState::Ready;
    entry.weight = 0.5 + double(i);
    entry.online_since_s = i % 2 ? 100.25 : 0;
    builder.endpoint(entry, "127.0.0.1:" + std::to_string(5000 + i), i % 2 ? 1700000000123.0 : 0);
  }
  return builder.build();
}

class SampleBuilder {
 public:
  SampleBuilder& completed_at_s(double time_s) { return set(sample_.completed_at_s, time_s); }
  SampleBuilder& latency_ratio(double ratio) { return set(sample_.latency_ratio, ratio); }
  SampleBuilder& depth(int depth) { return set(sample_.depth, depth); }
  SampleBuilder& in_time() { return set(sample_.in_time, true); }
  SampleBuilder& failed() { return set(sample_.failed, true); }
  ResponseSample build() const { return sample_; }

 private:
  template <typename Field, typename Value>
  SampleBuilder& set(Field& field, Value value) {
    field = value;
    return *this;
  }
  ResponseSample sample_;
};

inline EndpointStatistics statistics_of(Health health, int recovery_limit) {
  EndpointStatistics statistics;
  statistics.health = health;
  statistics.next_ejection_s = 2;
  statistics.ejected_until_s = 30.5;
  statistics.last_response_s = 29.25;
  statistics.recovery_limit = recovery_limit;
  statistics.samples = {
      SampleBuilder().completed_at_s(29).latency_ratio(1.5).depth(2).in_time().build(),
      SampleBuilder().completed_at_s(30).latency_ratio(3).depth(1).failed().build(),
  };
  return statistics;
}

inline LearnedState::EndpointState learned_endpoint(std::size_t number) {
  LearnedState::EndpointState endpoint;
  endpoint.name = "s-" + std::to_string(number);
  endpoint.online_since_s = number % 2 ? 100.25 : 0;
  endpoint.whole = statistics_of(Health(number % 3), int(number));
  EndpointStatistics shorter = endpoint.whole;
  shorter.samples.pop_back();
  endpoint.by_class = {endpoint.whole, shorter};
  return endpoint;
}

inline LearnedState learned_state_of(std::size_t endpoints) {
  LearnedState::RequestClassState read;
  read.name = "read";
  read.latencies = {0.1, 0.25};
  read.means = {0.2};
  LearnedState::RequestClassState write;
  write.name = "write \"x\"";
  LearnedState state;
  state.classes = {read, write};
  state.lateness = {0, 1, 1};
  state.completion_rates = {3, 0, 5};
  state.started_at_s = 12.125;
  for (std::size_t i = 0; i < endpoints; ++i) state.endpoints.push_back(learned_endpoint(i));
  return state;
}

inline std::vector<std::string> encode_learned_state(const LearnedState& state) {
  LearnedStateEncoder encoder(state);
  std::vector<std::string> packets;
  do {
    packets.push_back(encoder.next_packet());
  } while (!encoder.is_complete());
  return packets;
}

class OverridesBuilder {
 public:
  OverridesBuilder& excluded(std::string endpoint, double since_s) {
    overrides_.excluded_since_s[std::move(endpoint)] = since_s;
    return *this;
  }
  OverridesBuilder& evacuated(double since_s) {
    overrides_.evacuated_since_s = since_s;
    return *this;
  }
  OperatorOverrides build() const { return overrides_; }

 private:
  OperatorOverrides overrides_;
};

inline OperatorOverrides quoted_overrides() {
  return OverridesBuilder().excluded("a \"quoted\"\n", 12.5).excluded("b", 0).evacuated(7.25).build();
}

}  // namespace puffinvane::test
