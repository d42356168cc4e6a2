// The messages that two processes of one sidecar exchange on the control channel. The encoder and the decoder
// (message_encoder.h, message_decoder.h) convert them to and from packets, which Channel sends and receives.
//
// All times, including the start times of endpoints, are on the system's monotonic clock, which both
// processes share. The wall clock may be stepped between sending and receiving a time.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "puffinvane/learned_state.h"
#include "src/discovery/discovery.h"
#include "src/hot_restart/operator_orders.h"

namespace puffinvane {

// The predecessor's endpoint list, or a part of it: a long list is sent as several messages.
struct EndpointListMessage {
  EndpointList list;  // `is_snapshot` is set in the first part only
};

// All operator overrides of the sender; they replace those of the receiver. For the snapshot, and for
// versions that don't know OperatorOrderMessage.
struct OperatorOverridesMessage {
  OperatorOverrides overrides;
};

// An order that the sender has accepted or learned of. A version that sends such messages sends one for each
// order, ahead of the OperatorOverridesMessage that includes it. The receiver then ignores the latter, as the
// sender may not have known the receiver's latest orders.
struct OperatorOrderMessage {
  OperatorOrder order;
};

// The listening socket of the predecessor, attached to the packet.
struct ListenerMessage {};

// Whether a client has sent a complete request on its connection.
enum class ConnectionHistory { Unused, Used };

// A client's connection, attached to the packet.
struct ConnectionMessage {
  ConnectionHistory history = ConnectionHistory::Unused;
};

// The end of the snapshot: the predecessor has sent everything that the successor needs to start. After it
// come only learned state, connections, requests and operator orders.
struct SnapshotCompleteMessage {};

// The successor serves requests.
struct ServingMessage {};

// The learned state of the predecessor's policy, or a part of it. An empty field means that this part has no
// data for it.
struct LearnedStateMessage {
  LearnedState state;
};

// Requests that the sender has sent to endpoints: the receiver must not send them again. Hashes of their ids,
// as AbandonedRequestIds makes them.
struct SentRequestsMessage {
  static constexpr std::size_t kMaxIds = 2000;  // in one packet
  std::vector<std::uint64_t> id_hashes;
};

using ControlMessage = std::variant<EndpointListMessage, OperatorOverridesMessage, ListenerMessage,
                                    ConnectionMessage, SnapshotCompleteMessage, ServingMessage,
                                    LearnedStateMessage, SentRequestsMessage, OperatorOrderMessage>;

}  // namespace puffinvane
