// Decodes packets of the control channel, including those of former versions. message_encoder.h is the
// counterpart.
#pragma once

#include <string_view>

#include "puffinvane/result.h"
#include "src/hot_restart/json_reader.h"
#include "src/hot_restart/message.h"

namespace puffinvane {

// Decodes a packet of arbitrary bytes. Learned state that can't be decoded is no error, but gives an empty
// message: the receiver then has no learned state, as if it had no predecessor.
Result<ControlMessage, DecodeError> decode_message(std::string_view packet);

// Decodes learned state only, and fails if that is invalid.
Result<LearnedStateMessage, DecodeError> decode_learned_state(simdjson::dom::element packet);

}  // namespace puffinvane
