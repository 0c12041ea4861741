VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := tier wire daemon operator testkit
ROOTS := $(foreach p,$(PACKAGES),packages/$(p)) platform
SOURCES := $(foreach r,$(ROOTS),$(r)/src)
EDITABLE := $(foreach r,$(ROOTS),-e $(r))
STAMP := $(VENV)/.installed
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach s,$(SOURCES),$(CURDIR)/$(s)))

.PHONY: install demo test lint format bench

install: $(STAMP)

$(STAMP): requirements.txt $(foreach r,$(ROOTS),$(r)/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements.txt
	$(PYTHON) -m pip install -q --no-build-isolation $(EDITABLE)
	touch $(STAMP)

demo: install
	$(PYTHON) -m corianderport_testkit.demo $(DEMO)

test: install
	$(PYTHON) -m pytest

lint: install
	$(PYTHON) -m ruff format --check packages platform tests
	$(PYTHON) -m flake8 packages platform tests
	$(PYTHON) -m mypy $(SOURCES)
	$(VENV)/bin/lint-imports

format: install
	$(PYTHON) tools/sort_imports.py packages platform tests
	$(PYTHON) -m ruff format packages platform tests

bench: install
	$(PYTHON) -m corianderport_testkit.bench $(BENCH)
