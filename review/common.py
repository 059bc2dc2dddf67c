"""Parts that the scripts of this folder share.

The daemons run with the command of deploy/system.toml and with settings from
its template. The store and the servers are the stand-ins of test/process.
"""

import os
import pathlib
import random
import socket
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test" / "process"))

import platform_rig  # noqa: E402

BUILD = ROOT / "target"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def trouble():
    """Whether the disruption is wanted; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_network():
    """Return the first two octets of a part of 127/8 that nobody uses."""
    ports = (8300, 8301, 8302, 8304, 8306, 8309, 9464)
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}"
        try:
            for host in (*(f"0.{number}" for number in range(1, 11)), "1.1"):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
    raise OSError("no free loopback addresses")


class Record:
    """Writes record.txt; times are seconds since `origin`."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.origin = time.monotonic()

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.origin:8.3f} {text}\n")
        self.file.flush()

    def note(self, text):
        self.file.write(text + "\n")
        self.file.flush()


def run(case, folder):
    """Run `case(record)`, which returns a list of broken rules."""
    if not (BUILD / "galenarudderd-platform").exists():
        print("cannot run: build the deploy file first")
        return CANNOT_RUN
    record = Record(folder)
    try:
        broken = case(record)
    except (AssertionError, OSError) as failure:
        record.note(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}")
        return CANNOT_RUN
    for line in broken:
        record.note("BROKEN " + line)
        print("BROKEN " + line)
    print("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
