#!/usr/bin/env bash
# Builds the stand-ins of the scripts; they need Python 3.11 and its standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'PROGRAM'
import ast
import pathlib
import sys

for path in sys.argv[1:]:
    ast.parse(pathlib.Path(path).read_text(), path)
PROGRAM
