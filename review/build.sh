#!/bin/bash
# Builds every stand-in that the scripts of the cases start. They are Python 3 and need no more than its standard
# library, so this only checks that they can be read. The project's own program comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 - review/common/*.py review/*/*.py tests/soak/messagepack.py <<'PYTHON'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
