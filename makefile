# Targets of the project. All build output goes below .build/.

build_dir := .build/release
jobs ?= $(shell nproc)
SEEDS ?= 10
SEED_BASE ?= 1

.PHONY: all packages build demo test faults models capacity lint format format-check clean

all: build

packages:
	bash scripts/install_packages.sh

$(build_dir)/build.ninja:
	cmake -S . -B $(build_dir) -G Ninja -DCMAKE_BUILD_TYPE=Release

build: packages $(build_dir)/build.ninja
	cmake --build $(build_dir) -j $(jobs)

demo: build
	$(build_dir)/bin/demo

test: build
	bash scripts/run_tests.sh $(build_dir) 4

# Seeded fault schedules. SEEDS: number of schedules; SEED_BASE: first seed; SEED: runs only this seed.
faults: build
	SEEDS="$(SEEDS)" SEED_BASE="$(SEED_BASE)" SEED="$(SEED)" bash scripts/run_faults.sh

models: packages
	bash scripts/check_models.sh

# Measures the costs per unit that docs/CAPACITY.md is calculated from; takes a few minutes.
capacity: build
	$(build_dir)/bin/capacity

lint: build
	bash scripts/check_lint.sh

format:
	git ls-files '*.h' '*.cpp' | xargs -r clang-format -i

format-check:
	bash scripts/check_format.sh

clean:
	rm -rf .build
