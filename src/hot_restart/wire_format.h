// The keys and values in the control channel's packets, which are JSON objects. Only the encoder and the
// decoder use them. Any change requires another kFormat, and processes that use a different kFormat refuse
// such packets. A further type needs none: a version that doesn't know it drops its packets.
#pragma once

#include <cstdint>
#include <string_view>

namespace puffinvane::wire {

inline constexpr std::int64_t kFormat = 1;

// In every packet.
inline constexpr const char* kFormatKey = "format";
inline constexpr const char* kTypeKey = "say";

// Values of kTypeKey.
inline constexpr std::string_view kEndpointListType = "listing";
inline constexpr std::string_view kOperatorOverridesType = "ordered";
inline constexpr std::string_view kListenerType = "door";
inline constexpr std::string_view kConnectionType = "caller";
inline constexpr std::string_view kSnapshotCompleteType = "whole";
inline constexpr std::string_view kServingType = "serving";
inline constexpr std::string_view kLearnedStateType = "learned";
inline constexpr std::string_view kSentRequestsType = "requests";
inline constexpr std::string_view kOperatorOrderType = "order";

// Endpoint list. `list` has the form of discovery's lists and two additional fields, which are monotonic
// times: when the list was received and, in each endpoint, when that started.
inline constexpr const char* kListKey = "list";
inline constexpr const char* kEndpointsKey = "endpoints";
inline constexpr const char* kListReceivedAtKey = "heard_at";
inline constexpr const char* kEndpointStartedAtKey = "started";

// Operator overrides.
inline constexpr const char* kExcludedKey = "out";
inline constexpr const char* kEvacuatedSinceKey = "drains_since";

// Operator order. The endpoint is there in those about an endpoint.
inline constexpr const char* kOrderActionKey = "action";
inline constexpr const char* kOrderEndpointKey = "endpoint";
inline constexpr const char* kOrderGivenAtKey = "given_at";
inline constexpr std::string_view kExcludeAction = "exclude";
inline constexpr std::string_view kIncludeAction = "include";
inline constexpr std::string_view kEvacuateAction = "evacuate";
inline constexpr std::string_view kRejoinAction = "rejoin";

// Connection.
inline constexpr const char* kConnectionUsedKey = "asked";

// Sent requests: an array of hashes of ids.
inline constexpr const char* kRequestIdsKey = "ids";

// Learned state. `endpoints` is an array of [name, started at, statistics, [statistics by class...]], where
// statistics are [health, ejection, ejected until, last response, recovery limit, [samples...]] and a sample
// is [completed at, latency ratio, depth, in time, failed]. `prefixes` is an array of
// [name, [latencies...], [means...]].
inline constexpr const char* kRequestClassesKey = "prefixes";
inline constexpr const char* kLatenessKey = "late";
inline constexpr const char* kCompletionRatesKey = "rates";
inline constexpr const char* kStartedAtKey = "started";
// The clock of the endpoints' start times. Former versions omit this field and send Unix time.
inline constexpr const char* kClockKey = "clock";
inline constexpr const char* kMonotonicClock = "monotonic";

}  // namespace puffinvane::wire
