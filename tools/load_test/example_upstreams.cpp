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
  class NullObserver final : public Observer {
    void observe(const Event&) override {}
  } observer;
  EventLoop loop;
  RunContext context{loop, scenario, observer, RandomSource(1)};
  IdempotencyMemory memory;
  DiscoveryAgent discovery(context, 0, {"127.0.0.1", 8500});
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<ListedEndpoint> list;
  for (int i = 0; i < 3; ++i) {
    Endpoint::Placement placement;
    placement.group = 1;
    placement.listeners = {{0, Address{"127.0.0.1", 6000 + i}}};
    std::string name = "toy-" + std::to_string(i);
    endpoints.push_back(std::make_unique<Endpoint>(context, placement, i, name, 0.5, memory, nullptr));
    endpoints.back()->start(false);
    list.push_back({i, name, endpoints.back()->address_for(0), 1, Event::State::Ready, 0});
  }
  discovery.set_initial_list(list);
  // Endpoint 2 is slow for 0.3 s every 3 s, so that hedging and the choice of the least loaded endpoint can
  // be observed.
  std::function<void(bool)> set_slow = [&](bool slow) {
    endpoints[2]->update_faults([&](FaultState& now) { now.slow = slow ? 20 : 1; });
    loop.call_at(loop.now() + (slow ? 0.3 : 3), [&set_slow, slow] { set_slow(!slow); });
  };
  set_slow(false);
  std::cout << "toy endpoints at 127.0.0.1:6000 to 6002, discovery at 127.0.0.1:8500; end with Ctrl-C"
            << std::endl;
  loop.run([] { return false; });
}

}  // namespace load_test
