VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := tier wire daemon operator testkit
SOURCES := $(foreach p,$(PACKAGES),packages/$(p)/src)
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p))
STAMP := $(VENV)/.installed
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach s,$(SOURCES),$(CURDIR)/$(s)))

.PHONY: install demo test lint format bench

install: $(STAMP)

$(STAMP): requirements.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements.txt
	$(PYTHON) -m pip install -q --no-build-isolation $(EDITABLE)
	touch $(STAMP)

demo: install
	$(PYTHON) -m corianderport_testkit.demo $(DEMO)

test: install
	$(PYTHON) -m pytest

lint: install
	$(PYTHON) -m ruff format --check packages tests
	$(PYTHON) -m flake8 packages tests
	$(PYTHON) -m mypy $(SOURCES)
	$(VENV)/bin/lint-imports

format: install
	$(PYTHON) tools/sort_imports.py packages tests
	$(PYTHON) -m ruff format packages tests

bench: install
	$(PYTHON) -m corianderport_testkit.bench $(BENCH)
