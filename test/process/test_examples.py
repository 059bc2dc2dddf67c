#!/usr/bin/env python3
"""Both examples give every call a complete answer and exit with 0."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLES = ("northern-spain", "sofia")


def main():
    for example in EXAMPLES:
        result = subprocess.run(
            [sys.executable, ROOT / "examples/run.py", "--build", sys.argv[1],
             "--example", ROOT / "examples" / example],
            timeout=120, check=False)
        if result.returncode != 0:
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
