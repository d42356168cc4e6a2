// The successor's side of a takeover before it serves: asks its predecessor for all that it needs to start.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/result.h"
#include "src/discovery/discovery.h"
#include "src/hot_restart/message.h"
#include "src/net/glib.h"

namespace puffinvane {

// What a successor gets from its predecessor before it starts.
struct Takeover {
  Ref<GSocket> predecessor;          // the control channel; null: there is no predecessor
  Ref<GSocket> listener;             // null if the predecessor could not pass its own on
  std::optional<EndpointList> list;  // unset if the predecessor sent none
  OperatorOverrides overrides;
};

enum class TakeoverError {
  NoPredecessor,  // nobody listens at the control path
  Unreachable,    // local resources did not suffice to connect in time
  Silent,         // the predecessor did not send everything in time
  Disconnected,   // the predecessor ended before it had sent everything
  InvalidMessage  // the predecessor sent what this version can't decode
};

// A stable name for logs.
std::string_view to_string(TakeoverError error);

// Asks the process that listens at the control path, if any. Blocks for `timeout_s` seconds at most, as
// nothing is served yet. On an error the process starts alone.
Result<Takeover, TakeoverError> request_takeover(const std::string& path, double timeout_s);

}  // namespace puffinvane
