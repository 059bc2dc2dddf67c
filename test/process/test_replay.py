#!/usr/bin/env python3
"""Every trace of test/replay meets its expectations: test_replay.py BUILD"""
import pathlib
import subprocess
import sys

RUNNER = pathlib.Path(__file__).parents[1] / "replay" / "run.py"

sys.exit(subprocess.run([sys.executable, RUNNER, sys.argv[1]],
                        check=False).returncode)
