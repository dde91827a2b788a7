VENV ?= .venv
PY := $(VENV)/bin/python
SOURCES := acaciaspoke standins bench soak test

.PHONY: venv test lint format bench bench-short bench-policy bench-capacity soak demo binary clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	touch $@

test: venv
	$(PY) -m test

lint: venv
	$(VENV)/bin/pyink --check --quiet $(SOURCES)
	$(VENV)/bin/ruff check --quiet $(SOURCES)

format: venv
	$(VENV)/bin/ruff check --quiet --fix $(SOURCES)
	$(VENV)/bin/pyink --quiet $(SOURCES)

bench: venv
	$(PY) -m bench

bench-short: venv
	$(PY) -m bench --short

bench-policy: venv
	$(PY) -m bench.policy

bench-capacity: venv
	$(PY) -m bench.capacity

soak: venv
	$(PY) -m soak $(SOAK)

demo: venv
	$(PY) -m standins.demo

binary: venv
	mkdir -p dist
	$(VENV)/bin/pex --requirement requirements.txt --venv \
	  --script acaciaspoke --output-file dist/acaciaspoke .

clean:
	rm -rf build dist
