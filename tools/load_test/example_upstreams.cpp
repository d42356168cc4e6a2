#include "tools/load_test/example_upstreams.h"

#include <iostream>

#include "tools/load_test/world/discovery.h"
#include "tools/load_test/world/endpoint.h"

namespace load_test {

void serve_example_upstreams() {
  Scenario scenario = default_scenario();
  TierPlan examples;
  examples.name = "toy";
  examples.speed = {1, 1};
  examples.groups = 1;
  scenario.tiers = {examples};
  for (ClassPlan& request_class : scenario.request_classes) request_class.client_timeout = 3;
  class Nobody final : public Observer {
    void observe(const Event&) override {}
  } nobody;
  Loop loop;
  World world{loop, scenario, nobody, Chance(1)};
  TagMemory memory;
  Agent discovery(world, 0, {"127.0.0.1", 8500});
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<Listed> list;
  for (int i = 0; i < 3; ++i) {
    Endpoint::Place place;
    place.group = 1;
    place.listeners = {{0, Address{"127.0.0.1", 6000 + i}}};
    std::string name = "toy-" + std::to_string(i);
    endpoints.push_back(std::make_unique<Endpoint>(world, place, i, name, 0.5, memory, nullptr));
    endpoints.back()->start(false);
    list.push_back({i, name, endpoints.back()->address_for(0), 1, Event::State::Ready, 0});
  }
  discovery.know(list);
  // Toy 2 is slow now and then, so that hedges and lowest depth have something to do.
  std::function<void(bool)> turn = [&](bool slow) {
    endpoints[2]->change([&](Condition& now) { now.slow = slow ? 20 : 1; });
    loop.at(loop.now() + (slow ? 0.3 : 3), [&turn, slow] { turn(!slow); });
  };
  turn(false);
  std::cout << "toy endpoints at 127.0.0.1:6000 to 6002, discovery at 127.0.0.1:8500; end with Ctrl-C"
            << std::endl;
  loop.run([] { return false; });
}

}  // namespace load_test
