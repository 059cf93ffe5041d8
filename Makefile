# Entry points; see README.md.
.PHONY: setup format lint test demo bench

PY := .venv/bin/python

setup:
	@bash scripts/setup.sh

format: setup
	.venv/bin/ruff check --fix .
	.venv/bin/ruff format .

lint: setup
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .

test: setup
	$(PY) tests/run.py

demo: setup
	$(PY) -m almondrouter_standins.demo

bench: setup
	$(PY) bench/run.py
