# make demo    demonstration with stand-ins; installs missing packages
# make check   every test, the formatter and the linters
# make bench   the scenarios against the baseline (SCENARIO=name for one)
# make slopes  the measurements for docs/CAPACITY.md
# make soak    faults from outside on real processes (SEEDS="1 2p" for some)
# make model   the model of the at-most-once protocol
LIBS = lib
PROGS = marlhoistd marlsided marlctl marlstand marlload regress marlslope marlwork \
	platform
BUILD ?= debug
BUILDDIR ?= build
export BUILDDIR
CODE = $(filter-out lib/wire.pb-c.%,$(wildcard */*.c */*.h platform/soak/*.[ch]))

all: $(PROGS) soakers
lib:
	@$(MAKE) --no-print-directory -C lib BUILD=$(BUILD)
soakers: platform
	@$(MAKE) --no-print-directory -C platform/soak BUILD=$(BUILD)
regress: platform
$(PROGS): lib
	@$(MAKE) --no-print-directory -C $@ BUILD=$(BUILD)

deps:
	@sh mk/deps.sh

demo: deps
	@$(MAKE) --no-print-directory -j4 all
	@bash bench/demo.sh

check: deps
	@$(MAKE) --no-print-directory -j4 all
	@$(MAKE) --no-print-directory format-check lint
	@$(MAKE) --no-print-directory model
	@$(MAKE) --no-print-directory -j4 BUILD=asan lib platform regress
	build/asan/regress.bin regress >build/asan/regress.log 2>&1 || \
	    { tail -60 build/asan/regress.log; exit 1; }
	@tail -1 build/asan/regress.log | sed 's/^/under sanitizers: /'
	@sh platform/soak/soak.sh build/debug 22 11 413p 1s
	@sh platform/soak/soak.sh build/debug 30 12e 35k 1n 5n 601x 1r 1g 3q \
	    302o 402y 2d 2i
	@bash regress/owner.sh build/debug
	@bash regress/falls.sh build/debug
	@bash regress/apply.sh build/debug
	build/debug/regress.bin regress

soak: deps
	@$(MAKE) --no-print-directory -j4 all
	@sh platform/soak/soak.sh build/$(BUILD) 26 $(SEEDS)

bench: deps
	@$(MAKE) --no-print-directory -j4 all
	@bash bench/bench.sh $(SCENARIO)

slopes: deps
	@$(MAKE) --no-print-directory -j4 all
	@bash bench/slopes.sh

model:
	@sh model/run.sh

format:
	clang-format -i $(CODE)
format-check:
	@clang-format --dry-run -Werror $(CODE)
	@echo "format: good"
lint:
	@sh mk/lint.sh

clean:
	rm -rf build target
.PHONY: all lib soakers soak $(PROGS) deps demo check bench slopes model format \
	format-check lint clean

# What the platform builds: the entry daemon under target/, no tests.
deploy: lib
	@$(MAKE) --no-print-directory -C platform BUILD=$(BUILD) \
	    OUT=../$(BUILDDIR)
.PHONY: deploy
