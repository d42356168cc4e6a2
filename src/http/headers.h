// The values of the headers that sidecars, their clients and endpoints understand each other by.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/policy.h"
#include "src/http/http.h"

namespace puffinvane {

std::string_view request_class_of(std::string_view target);              // the first part of the path
std::optional<double> parse_remaining_deadline(std::string_view value);  // "480m" or "480000u", in seconds
std::string format_remaining_deadline(double seconds);
std::string format_retry_after(double seconds);  // of Retry-After, decimal
Load parse_load(std::string_view value);         // "inflight=7,queue=2,qps=40,util=0.61"
// What a client says of its request beside the path: "key=track-7,hint=0.12", in X-Facts.
struct RequestFacts {
  std::string_view key;
  double work = 0;
};
RequestFacts parse_request_facts(std::string_view value);

// What is left of its client's time, at most 'most'; nothing if a request says it in a way that can't be
// read.
std::optional<double> remaining_deadline_of(const HttpMessage& request, double most);

Outcome outcome_of(const HttpMessage& answer);
// Where endpoints are servers like any other: what isn't their fault is their answer, whatever its status.
Outcome outcome_of_any_status(const HttpMessage& answer);
Outcome outcome_of_disconnect(bool written);  // written: the request's last byte

}  // namespace puffinvane
