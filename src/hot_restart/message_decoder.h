// Decodes packets of the control channel as messages, also those of former versions. The encoder is its
// counterpart.
#pragma once

#include <string_view>

#include "puffinvane/result.h"
#include "src/hot_restart/json_reader.h"
#include "src/hot_restart/message.h"

namespace puffinvane {

// Accepts any bytes. Learned state that can't be decoded is an empty message and no error: the receiver then
// starts with no learned state, as it would without a predecessor.
Result<ControlMessage, DecodeError> decode_message(std::string_view packet);

// Fails where decode_message gives an empty message.
Result<LearnedStateMessage, DecodeError> decode_learned_state(simdjson::dom::element packet);

}  // namespace puffinvane
