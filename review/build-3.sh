#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy file. The stand-ins are
# Python and need no build, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - support-3/*.py 1[1-5]/*.py <<'PYTHON'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PYTHON
