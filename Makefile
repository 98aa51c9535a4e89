PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint gen clean

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
	$(BIN)/black --check --quiet daisystack tools benchmarks
	$(BIN)/ruff check --quiet daisystack tools benchmarks

gen:
	thrift --gen py:package_prefix=daisystack.wire. -out daisystack/wire wire/peer.thrift
	rm -f daisystack/wire/gen/Peer-remote

clean:
	rm -rf build .venv
