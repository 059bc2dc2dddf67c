# Shortcuts for the project's commands; CMake and Ninja build the project.
BUILD ?= build
EXAMPLE ?= northern-spain
SUDO := $(shell [ "$$(id -u)" = 0 ] || echo sudo)

.PHONY: all deps build run test test-asan test-tsan bench format lint golden

all: build

deps:
	@dpkg -s $$(cat packages.txt) >/dev/null 2>&1 || \
	  { $(SUDO) apt-get update && \
	    DEBIAN_FRONTEND=noninteractive $(SUDO) apt-get install -y \
	    --no-install-recommends $$(cat packages.txt); }

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

run: build
	python3 examples/run.py --build $(BUILD) --example examples/$(EXAMPLE) \
	  $(if $(KEEP),--keep)

test: build
	.ci/test $(BUILD)

test-asan: deps
	cmake -S . -B build-asan -G Ninja -DGALENARUDDER_SANITIZE=address,undefined
	cmake --build build-asan
	.ci/test build-asan

test-tsan: deps
	cmake -S . -B build-tsan -G Ninja -DGALENARUDDER_SANITIZE=thread
	cmake --build build-tsan
	.ci/test build-tsan

bench: build
	python3 benchmarks/run.py --build $(BUILD)

format:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

lint: build
	.ci/lint $(BUILD)

golden: build
	GALENARUDDER_RENEW=1 $(BUILD)/unit_golden
