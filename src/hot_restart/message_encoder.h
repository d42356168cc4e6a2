// Encodes the messages of the control channel as packets. The decoder is its counterpart.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "src/hot_restart/message.h"

namespace puffinvane {

// One message as one packet, whatever its size.
std::string encode_message(const ControlMessage& message);

// An endpoint list as packets of bounded size, at least one.
std::vector<std::string> encode_endpoint_list(const EndpointList& list);

// Encodes learned state as packets of bounded size, one a call, so that its owner can do other work between
// two packets. Owns a copy of the state.
class LearnedStateEncoder {
 public:
  explicit LearnedStateEncoder(LearnedState state) : state_(std::move(state)) {}

  // The first packet carries everything that is not about one endpoint. An endpoint too large for a packet of
  // its own is left out.
  std::string next_packet();
  // True once no endpoint is left to encode. The first packet is due even if there are no endpoints.
  bool is_complete() const { return next_endpoint_ == state_.endpoints.size(); }

 private:
  LearnedState state_;
  std::size_t next_endpoint_ = 0;
};

}  // namespace puffinvane
