# The usual tasks. `make` alone builds.
BUILD ?= build

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

test: build
	ctest --test-dir $(BUILD) --output-on-failure

lint: build
	clang-format --dry-run -Werror $$(git ls-files '*.h' '*.cpp')
	cppcheck --quiet --std=c++20 --language=c++ --inline-suppr --enable=warning,performance,portability \
	  --error-exitcode=1 -I include -I . src deployment sidecar wirehost

run: build
	BALANCER_CONFIG=examples/sidecar.json $(BUILD)/puffinvane

toy: build
	$(BUILD)/toy_endpoint

.PHONY: build test lint run toy
