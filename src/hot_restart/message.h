// The messages that two processes of one sidecar exchange on the control channel, as structs. Their bytes are
// the responsibility of the encoder and the decoder, and the sockets that of the channel.
//
// Times are on the system's monotonic clock, which both processes share, also the start times of endpoints: a
// wall clock may be stepped between the two.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include "puffinvane/learned_state.h"
#include "src/discovery/discovery.h"

namespace puffinvane {

struct OperatorOverrides {
  std::map<std::string, double, std::less<>> excluded_since_s;  // excluded endpoints by name
  std::optional<double> evacuated_since_s;                      // unset: the sidecar is not evacuated
  friend bool operator==(const OperatorOverrides&, const OperatorOverrides&) = default;
};

// The endpoint list of the predecessor, or a part of it: a list of any length is sent as several messages.
struct EndpointListMessage {
  EndpointList list;  // `is_snapshot` is set in the first part only
};

// All operator overrides of the sender; they replace those of the receiver.
struct OperatorOverridesMessage {
  OperatorOverrides overrides;
};

// The listening socket of the predecessor, attached to the packet.
struct ListenerMessage {};

// Whether a client has sent a complete request on its connection.
enum class ConnectionHistory { Unused, Used };

// A client's connection, attached to the packet.
struct ConnectionMessage {
  ConnectionHistory history = ConnectionHistory::Unused;
};

// The successor has all that it needs to start. Only learned state and connections follow.
struct SnapshotCompleteMessage {};

// The successor serves.
struct ServingMessage {};

// What the predecessor's policy has learned, or a part of it. An empty field of a part carries no
// information.
struct LearnedStateMessage {
  LearnedState state;
};

using ControlMessage =
    std::variant<EndpointListMessage, OperatorOverridesMessage, ListenerMessage, ConnectionMessage,
                 SnapshotCompleteMessage, ServingMessage, LearnedStateMessage>;

}  // namespace puffinvane
