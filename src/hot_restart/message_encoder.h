// Encodes the messages of the control channel as packets. message_decoder.h is the counterpart.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "src/hot_restart/message.h"

namespace puffinvane {

// Encodes a message as one packet of any size. Channel drops packets over kMaxPacketBytes, so long endpoint
// lists and learned state are encoded by the functions below.
std::string encode_message(const ControlMessage& message);

// Encodes an endpoint list as one or more packets of bounded size.
std::vector<std::string> encode_endpoint_list(const EndpointList& list);

// Encodes learned state as packets of bounded size, one per call, so that the caller can do other work in
// between. Owns its copy of the state.
class LearnedStateEncoder {
 public:
  explicit LearnedStateEncoder(LearnedState state) : state_(std::move(state)) {}

  // The first packet has all state that doesn't belong to one endpoint. An endpoint that is too large for a
  // packet is omitted.
  std::string next_packet();
  // Whether all endpoints have been encoded. The first packet has to be sent even if there are no endpoints.
  bool is_complete() const { return next_endpoint_ == state_.endpoints.size(); }

 private:
  LearnedState state_;
  std::size_t next_endpoint_ = 0;
};

}  // namespace puffinvane
