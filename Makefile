# Two commands do all of their own set-up on a fresh Debian 12 machine: make demo, make test.
PRESET ?= release
BUILD := build/$(PRESET)
SEEDS ?= 1000
RUNS ?= 4

.PHONY: all packages build demo test lint format unit soak fault-soak storm-soak zones-soak endurance bench clean

all: build

packages:
	@scripts/install_packages.sh

$(BUILD)/build.ninja: CMakeLists.txt CMakePresets.json | packages
	cmake --preset $(PRESET) > /dev/null

build: $(BUILD)/build.ninja
	cmake --build --preset $(PRESET)

demo: build
	python3 scripts/demo.py --build $(BUILD)

test: build lint
	scripts/run_tests.sh $(BUILD)

unit: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4 -L unit

lint: $(BUILD)/build.ninja
	@scripts/lint.sh $(BUILD)

format:
	git ls-files '*.cc' '*.h' | xargs clang-format -i

# All simulator scenarios over many seeds; not part of CI.
soak: build
	python3 scripts/soak.py --build $(BUILD) --seeds=$(SEEDS)

# The programs for the users' machines under faults from outside, with fresh seeds; not part of CI.
fault-soak: build
	python3 tests/platform/soak/soak.py --build $(BUILD) --runs $(RUNS) --seconds 60

# The same under changes without pause, one fault at a time; shows balancers that stay behind.
storm-soak: build
	python3 tests/platform/soak/soak.py --build $(BUILD) --runs $(RUNS) --seconds 60 --storm

# Evacuations beside zones that are cut off and other faults; shows orders that are lost, and flows that end needlessly.
zones-soak: build
	python3 tests/platform/soak/soak.py --build $(BUILD) --runs $(RUNS) --seconds 60 --zones

# Real processes for minutes under changes and failures, with a report in run/endurance.
endurance: build
	python3 scripts/endurance.py --build $(BUILD)

bench: build
	$(BUILD)/gorsevalve-bench

clean:
	rm -rf build run
