#!/usr/bin/env python3
"""packages.txt and deploy/system.toml list the same packages.

A package in only one of them would be missing where the other one is used.
"""

import pathlib
import sys
import tomllib

from fleet import Checks

ROOT = pathlib.Path(__file__).resolve().parents[2]


def main():
    checks = Checks()
    listed = (ROOT / "packages.txt").read_text().split()
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        deployed = tomllib.load(file)["packages"]
    checks.expect(sorted(listed) == sorted(deployed),
                  "packages.txt and deploy/system.toml list the same: "
                  f"{set(listed) ^ set(deployed)}")
    return checks.finish()


if __name__ == "__main__":
    sys.exit(main())
