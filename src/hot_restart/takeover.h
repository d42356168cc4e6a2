// The successor's side of a takeover, before it serves: requests from its predecessor everything that it
// needs to start.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/result.h"
#include "src/discovery/discovery.h"
#include "src/hot_restart/message.h"
#include "src/net/glib.h"

namespace puffinvane {

// What a successor receives from its predecessor before it starts.
struct Takeover {
  Ref<GSocket> predecessor;          // the socket of the control channel; null if there is no predecessor
  Ref<GSocket> listener;             // null if the predecessor could not pass on its listener
  std::optional<EndpointList> list;  // unset if the predecessor sent none
  OperatorOverrides overrides;
};

enum class TakeoverError {
  NoPredecessor,  // no process listens at the control socket path
  Unreachable,    // a lack of local resources prevented connecting until the timeout
  Silent,         // the predecessor did not send everything before the timeout
  Disconnected,   // the predecessor closed the connection before it had sent everything
  InvalidMessage  // the predecessor sent a message that this version can't decode
};

// The stable name of an error in log events.
std::string_view to_string(TakeoverError error);

// Connects to the process that listens at the control socket path, if any, and receives its snapshot. May
// block for `timeout_s` seconds, as this process doesn't serve yet. On an error the caller starts without a
// predecessor.
Result<Takeover, TakeoverError> request_takeover(const std::string& path, double timeout_s);

}  // namespace puffinvane
