#!/usr/bin/env python3
"""packages.txt and the deploy file list the same packages."""

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
    checks.that(sorted(listed) == sorted(deployed),
                "packages.txt and deploy/system.toml list the same: "
                f"{set(listed) ^ set(deployed)}")
    return checks.end()


if __name__ == "__main__":
    sys.exit(main())
