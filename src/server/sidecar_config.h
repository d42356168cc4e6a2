// The configuration of the sidecar, read from the JSON file that BALANCER_CONFIG names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/config/settings/deployment.h"
#include "src/discovery/discovery.h"
#include "src/fleet/fleet.h"

namespace puffinvane {

struct SidecarConfig {
  std::string name;
  std::string listen;     // address of the listener
  std::string discovery;  // address
  std::string admin;      // address of the admin API; empty: there is none
  std::uint64_t seed = 0;
  int descriptors = 1024;           // limit on open descriptors
  std::size_t memory = 192u << 20;  // bytes
  Deployment deployment;
  std::optional<Deployment> shadow;  // settings of the shadow policy
  EndpointList known;                // endpoints to use until discovery has answered
  DiscoveryMode discovery_mode = DiscoveryMode::Pushed;
  std::optional<fleet::Place> fleet;  // none: it is not part of a fleet
};

// The file could not be read for lack of a resource on this machine; a later try may succeed.
struct TemporarilyUnreadable : Malformed {
  using Malformed::Malformed;
};
// What to do in that case. Wait: retry for some seconds, which blocks the thread, so only before the process
// serves. Throw: throw TemporarilyUnreadable.
enum class OnShortage { Wait, Throw };

// Both throw Malformed with a message that says what is wrong.
SidecarConfig read_sidecar_config(simdjson::dom::element config);
SidecarConfig load_sidecar_config(const char* path, OnShortage on_shortage = OnShortage::Wait);

}  // namespace puffinvane
