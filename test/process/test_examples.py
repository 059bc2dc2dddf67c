#!/usr/bin/env python3
"""Both examples answer every call whole and leave cleanly."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLES = ("northern-spain", "sofia")


def main():
    for example in EXAMPLES:
        done = subprocess.run(
            [sys.executable, ROOT / "examples/run.py", "--build", sys.argv[1],
             "--example", ROOT / "examples" / example],
            timeout=120, check=False)
        if done.returncode != 0:
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
