#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are plain Python files that use the
# standard library only, so that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'PYTHON'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as source:
        ast.parse(source.read(), name)
print('stand-ins checked:', len(sys.argv) - 1)
PYTHON
