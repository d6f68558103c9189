# All targets use a virtual environment that is set up from pinned packages.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.ready
MODEL ?=
KIT ?=
DEMO_MIB ?= 64
SEEDS ?= 10
SEED ?= 0

.PHONY: chase soak platform demo test check proto fuzz bench plots test-processes clean

$(STAMP): pyproject.toml requirements.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -e '.[dev]'
	touch $(STAMP)

proto: $(STAMP)
	$(PY) tools/generate.py

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy damaskcroft tools
	$(PY) tools/generate.py --check

test: check
	$(PY) -m pytest

test-processes: $(STAMP)
	$(PY) -m pytest damaskcroft/standins/tests

demo: $(STAMP)
	$(PY) tools/demo.py --size-mib $(DEMO_MIB) $(if $(MODEL),--model $(MODEL))

fuzz: $(STAMP)
	DAMASK_FUZZ=long $(PY) -m pytest damaskcroft -k fuzz

bench: $(STAMP)
	$(PY) tools/bench.py

# Runs actual processes under random faults; SEED replays a run.
soak: $(STAMP)
	$(PY) -m damaskcroft.hosted.tests.soak --seeds $(SEEDS) --first $(SEED)

# Rolls out versions while the control leader is killed; SEED replays a run.
chase: $(STAMP)
	$(PY) -m damaskcroft.standins.tests.chase --seed $(SEED)

plots: $(STAMP)
	$(PY) tools/plots.py

# Runs the scenario without faults of every site in a kit of the platform.
platform: $(STAMP)
	test -n "$(KIT)" || (echo "make platform KIT=/path/to/kit"; exit 2)
	$(PY) tools/calm_days.py $(KIT) | sh

clean:
	rm -rf build target $(VENV)
