PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo demo-platform soak test lint gen clean binary bench

.venv/ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: .venv/ready
	$(BIN)/python -m tools.demo $(DEMO_FLAGS)

test: .venv/ready
	mkdir -p build
	rm -f build/junit.xml
	-$(BIN)/nose2
	$(BIN)/python -m tools.verdict build/junit.xml KNOWN-RED.txt

lint: .venv/ready
	$(BIN)/black --check --quiet daisystack platform tools benchmarks
	$(BIN)/ruff check --quiet daisystack platform tools benchmarks

gen:
	thrift --gen py:package_prefix=daisystack.wire. -out daisystack/wire wire/peer.thrift
	rm -f daisystack/wire/gen/Peer-remote

# One file that starts no process; SHIV_ROOT names the directory it unpacks into.
binary: .venv/ready
	mkdir -p build
	$(BIN)/shiv --quiet -c daisystack -o build/daisystack .

bench: .venv/ready
	$(BIN)/python -m benchmarks.load_policies
	$(BIN)/python -m benchmarks.distribution_policies
	$(BIN)/python -m benchmarks.slopes
	$(BIN)/python -m benchmarks.startup
	$(BIN)/python -m benchmarks.process_time
	$(BIN)/python -m benchmarks.http_calls
	$(BIN)/python -m benchmarks.engine_reports
	$(BIN)/python -m benchmarks.heartbeats
	$(BIN)/python -m benchmarks.config_spread
	$(BIN)/python -m benchmarks.entry_load
	$(BIN)/python -m benchmarks.live_first
	$(BIN)/python -m benchmarks.rollout_faults

clean:
	rm -rf build .venv

demo-platform: .venv/ready
	$(BIN)/python -m daisystack.tests.on_platform.demo

soak: .venv/ready
	$(BIN)/python -m tools.soak --seed $(or $(SEED),1) $(SOAK_FLAGS)
