// What this sidecar is told when it starts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/config/settings/deployment.h"
#include "src/discovery/discovery.h"
#include "src/fleet/fleet.h"

namespace puffinvane {

struct SidecarConfig {
  std::string name, listen, discovery;
  std::string admin;  // where operators call; empty: nowhere
  std::uint64_t seed = 0;
  int descriptors = 1024;
  std::size_t memory = 192u << 20;  // bytes
  Deployment deployment;
  std::optional<Deployment> shadow;  // other settings whose decisions are only counted
  EndpointList known;
  DiscoveryMode discovery_mode = DiscoveryMode::Pushed;
  std::optional<fleet::FleetConfig> fleet;  // none: it talks to no other instance
};

// The file could not be read for want of something on this machine, and may be a little later.
struct NotReadNow : Malformed {
  using Malformed::Malformed;
};
// What to do then: wait for some seconds, as only a process that serves nobody yet can, or throw NotReadNow.
enum class OnWant { Wait, Throw };

// Throws Malformed with a plain message that says what is wrong.
SidecarConfig read_sidecar_config(simdjson::dom::element config);
SidecarConfig load_sidecar_config(const char* path, OnWant want = OnWant::Wait);

}  // namespace puffinvane
