#!/bin/sh
# Builds what the script cases of the second review start beside the daemon.
# All their stand-ins, the project's and the new ones, are Python programs of
# the standard library: this only checks that they can be read.
set -e
cd "$(dirname "$0")/.."
python3 - test/process/platform_rig.py review/common-2/*.py review/[6-9]/case.py review/10/case.py <<'CHECK'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(encoding="utf-8"), name)
CHECK
test -x target/galenarudderd-platform
