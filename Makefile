PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# The users' bench, and the folder of its site files; neither is part of this repository.
FLEETBENCH ?=
SITES ?=
REGRESSION_SITES := large/tmu-retail-large further-grown/hanbit-loom-grown \
	further/hanbit-loom grown/tmu-retail-grown grown/surtido-norte-grown

.PHONY: install check test demo bench capacity planning regression golden clean

$(STAMP): requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(foreach p,core wire daemon cli,-e packages/jacinthloom-$(p))
	touch $(STAMP)

install: $(STAMP)

check: $(STAMP)
	$(BIN)/ruff format --check packages testkit tests bench
	$(BIN)/ruff check packages testkit tests bench
	$(BIN)/mypy packages/*/src testkit bench

test: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m tests

demo: $(STAMP)
	$(BIN)/python -m testkit.demo

bench: $(STAMP)
	$(BIN)/python -m bench

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

planning: $(STAMP)
	$(BIN)/python -m bench.planning

regression:
	test -n "$(FLEETBENCH)" -a -n "$(SITES)"
	for site in $(REGRESSION_SITES); do \
		$(FLEETBENCH) score $(SITES)/$$site.toml --quick --jobs 3 --why "regression run" || exit 1; \
	done

golden: $(STAMP)
	$(BIN)/python -m tests.golden --update

clean:
	rm -rf $(VENV)
