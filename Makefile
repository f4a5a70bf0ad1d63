# Build, test, lint and run. CI is .ci/run; the platform uses deploy/balancer.toml.
PYTHON = .venv/bin/python
.PHONY: build tools test lint run objects toy demo bench

build:
	cmp -s requirements.txt .venv/requirements.txt || (rm -rf .venv && python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/)

tools: build
	.venv/bin/pip -q install -r .ci/tools.txt

# everything, from a fresh clone: style, types, the directions of imports, tests
test: lint
	$(PYTHON) -m pytest -q

lint: tools
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

# a head on the example's configuration; the toy platform is to run beside it
run: build
	EDGE_CONFIG=examples/config.json $(PYTHON) -m hophinge

# the same with the object API and the administration API
objects: build
	HOPHINGE_OPERATOR_FILE=examples/operator.toml EDGE_CONFIG=examples/config.json $(PYTHON) -m hophinge

# all of it in one command: starts, writes and reads an object, pushes versions, tells what happens, ends by itself
demo: build
	$(PYTHON) -m hophinge demo

toy: build
	$(PYTHON) examples/toy_server.py
