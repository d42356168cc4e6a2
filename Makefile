# The usual tasks. `make` alone builds.
BUILD ?= build

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

test: build
	ctest --test-dir $(BUILD) --output-on-failure

# Needs clang-format 14, clang-tidy 14 and cppcheck. One folder alone: .ci/lint src/policy; fewer processes:
# make lint LINT_FLAGS="--jobs 3".
lint:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	.ci/lint --build $(BUILD) $(LINT_FLAGS)

run: build
	BALANCER_CONFIG=examples/sidecar.json $(BUILD)/puffinvane

example-upstreams: build
	$(BUILD)/puffinvane_load_test toy

# Long measurements, outside CI. Figures go to docs/results.md by hand.
load-test-table: build
	$(BUILD)/puffinvane_load_test suite one-slow shared-and-local hang-and-errors burst crash-cold spoilt --seeds 1..10 \
	  --sidecars puffinvane,baseline:random,baseline:round-robin,baseline:least-outstanding,baseline:two-choices --lanes 4

load-test-steady: build
	$(BUILD)/puffinvane_load_test suite --repeat 10 --lanes 4

load-test-hunt: build
	$(BUILD)/puffinvane_load_test hunt --count 500 --lanes 4

load-test-cost: build
	$(BUILD)/puffinvane_load_test cost --pairs 3

# What a sidecar needs at 200, 800 and 3,200 endpoints beside what it may need. It ends with 3 if a bound broke.
scale: build
	$(BUILD)/puffinvane_load_test scale

# Ten minutes of libFuzzer on the language; needs clang and its runtime (libclang-rt-14-dev).
FUZZ_SECONDS ?= 600
fuzz:
	mkdir -p $(BUILD)-fuzz/corpus
	clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -DPUFFINVANE_LIBFUZZER -I. -Iinclude \
	  $$(ls src/config/language/*.cpp src/config/site/*.cpp src/routing/routing.cpp | grep -v _test) -o $(BUILD)-fuzz/language
	$(BUILD)-fuzz/language -max_total_time=$(FUZZ_SECONDS) -max_len=4096 -dict=src/config/language/corpus/words.dict \
	  -print_final_stats=1 $(BUILD)-fuzz/corpus src/config/language/corpus/good src/config/language/corpus/bad

# What finding a route costs, from 10 routes to 10,000.
routing-cost: build
	$(BUILD)/src/routing/routing_cost --benchmark_repetitions=5 --benchmark_report_aggregates_only=true

.PHONY: build test lint run example-upstreams load-test-table load-test-steady load-test-hunt load-test-cost scale fuzz routing-cost
