// Values of the HTTP headers that clients, sidecars and endpoints exchange.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/policy.h"
#include "src/http/http.h"

namespace puffinvane {

// The first segment of the path.
std::string_view request_class_of(std::string_view target);
// A value of X-Time-Left, such as "480m" (milliseconds) or "480000u" (microseconds), in seconds; nothing if
// it is malformed.
std::optional<double> parse_remaining_deadline(std::string_view value);
std::string format_remaining_deadline(double seconds);
// A value of Retry-After: seconds with three decimals.
std::string format_retry_after(double seconds);
// A value of X-Backend-Load, such as "inflight=7,queue=2,qps=40,util=0.61".
Load parse_load(std::string_view value);
// What a client states in X-Facts about its request, such as "key=track-7,hint=0.12".
struct RequestFacts {
  std::string_view key;
  double work = 0;  // seconds; 0: not stated
};
RequestFacts parse_request_facts(std::string_view value);

// Seconds until the client's deadline by X-Time-Left, at most max_seconds, which also applies without the
// header; nothing if the header is malformed or repeated.
std::optional<double> remaining_deadline_of(const HttpMessage& request, double max_seconds);

// The outcome of an attempt whose response follows the sidecar protocol: only 200 is a success.
Outcome outcome_of(const HttpMessage& response);
// The same for endpoints that are ordinary HTTP servers: any status below 500 is a success.
Outcome outcome_of_any_status(const HttpMessage& response);
// The outcome if the connection breaks without a response. written: the whole request had been written.
Outcome outcome_of_disconnect(bool written);

}  // namespace puffinvane
