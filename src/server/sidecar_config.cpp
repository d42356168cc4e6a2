#include "src/server/sidecar_config.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "src/net/system_calls.h"

namespace puffinvane {

using simdjson::dom::element;

namespace {

std::string required_text(element config, std::string_view key) {
  std::string_view found;
  if (config[key].get(found) || found.empty())
    throw Malformed("'" + std::string(key) + "' is missing, or not a non-empty string");
  return std::string(found);
}

}  // namespace

namespace {

fleet::FleetConfig read_place(element config, const SidecarConfig& sidecar) {
  if (!config.is_object()) throw Malformed("'fleet' is not an object");
  fleet::FleetConfig place;
  place.name = sidecar.name;
  place.listen = required_text(config, "listen");
  std::string_view value;
  if (!config["advertise"].get(value)) place.advertise = value;
  if (!config["key"].get(value)) place.key = value;
  simdjson::dom::array seeds;
  if (!config["seeds"].get(seeds)) {
    for (element seed : seeds) {
      if (seed.get(value)) throw Malformed("'fleet' has a seed that is not a string");
      place.seeds.emplace_back(value);
    }
  }
  place.zone = sidecar.deployment.zone;
  place.tier = sidecar.deployment.tier;
  if (place.name.size() > fleet::kMaxNameBytes) throw Malformed("'name' is too long for a member of a fleet");
  return place;
}

}  // namespace

SidecarConfig read_sidecar_config(element config) {
  SidecarConfig read;
  simdjson::dom::object object;
  if (config.get(object)) throw Malformed("not a JSON object");
  read.name = required_text(config, "name");
  read.listen = required_text(config, "listen");
  read.discovery = required_text(config, "discovery");
  std::string_view admin;
  if (!config["console"].get(admin)) read.admin = admin;
  std::string seed = required_text(config, "seed");
  auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), read.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    throw Malformed("'seed' is not a hexadecimal number");
  element settings, known, limits;
  if (config["settings"].get(settings)) throw Malformed("'settings' is missing");
  read.deployment = read_deployment(settings);
  // Over sockets discovery is always watched, so the policy never polls the endpoint list itself.
  read.discovery_mode =
      read.deployment.polls_endpoint_list ? DiscoveryMode::OnRequest : DiscoveryMode::Pushed;
  read.deployment.polls_endpoint_list = false;
  element shadow;
  if (!config["watch"].get(shadow)) {
    if (!shadow.is_object()) throw Malformed("'watch' is not an object of settings");
    try {
      read.shadow = read_deployment(shadow);
    } catch (const Malformed& fault) {
      throw Malformed(std::string("'watch': ") + fault.what());
    }
    read.shadow->polls_endpoint_list = false;
    const auto& request_classes = read.deployment.request_classes;
    auto same = [](const RequestClass& one, const RequestClass& other) { return one.name == other.name; };
    if (!std::equal(request_classes.begin(), request_classes.end(), read.shadow->request_classes.begin(),
                    read.shadow->request_classes.end(), same))
      throw Malformed("'watch' does not have the same path prefixes as 'settings'");
  }
  element fleet;
  if (!config["fleet"].get(fleet)) read.fleet = read_place(fleet, read);
  if (!config["known"].get(known)) read.known = parse_endpoint_list_or_throw(known);
  if (!config["limits"].get(limits)) {
    double number = 0;
    if (!limits["sockets"].get(number) && number > 0) read.descriptors = int(number);
    if (!limits["memory_mb"].get(number) && number > 0) read.memory = std::size_t(number * 1024 * 1024);
  }
  return read;
}

namespace {

[[noreturn]] void throw_read_error(const char* path, int error) {
  std::string message = std::string(path) + ": " + std::strerror(error);
  if (error == EINTR || error == EIO || is_local_shortage(error)) throw TemporarilyUnreadable(message);
  throw Malformed(message);
}

simdjson::padded_string read_file(const char* path, OnShortage on_shortage) {
  auto open_file = [path] { return ::open(path, O_RDONLY | O_CLOEXEC); };
  const int descriptor =
      on_shortage == OnShortage::Wait ? retry_on_shortage(open_file) : retry_on_eintr(open_file);
  if (descriptor < 0) throw_read_error(path, errno);
  std::string text;
  std::array<char, 16 * 1024> bytes;
  ssize_t count = 0;
  do {
    auto read_some = [&] { return ::read(descriptor, bytes.data(), bytes.size()); };
    count = on_shortage == OnShortage::Wait ? retry_on_shortage(read_some) : retry_on_eintr(read_some);
    if (count > 0) text.append(bytes.data(), std::size_t(count));
  } while (count > 0);
  const int error = errno;
  ::close(descriptor);
  if (count < 0) throw_read_error(path, error);
  return simdjson::padded_string(text);
}

}  // namespace

SidecarConfig load_sidecar_config(const char* path, OnShortage on_shortage) {
  if (!path || !*path) throw Malformed("BALANCER_CONFIG does not name a file");
  simdjson::dom::parser parser;
  element config;
  if (auto fault = parser.parse(read_file(path, on_shortage)).get(config))
    throw Malformed(std::string(path) + ": " + simdjson::error_message(fault));
  try {
    return read_sidecar_config(config);
  } catch (const Malformed& fault) {
    throw Malformed(std::string(path) + ": " + fault.what());
  }
}

}  // namespace puffinvane
