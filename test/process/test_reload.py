#!/usr/bin/env python3
"""SIGHUP: new settings are read, bad ones leave the old ones in force."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from fleet import Checks

ADDRESS = "127.9.7.1"


def settings():
    ports = {"callers": 7100, "announcements": 7101, "link": 7102,
             "gossip": 7103, "operators": 7105}
    document = {name: f"{ADDRESS}:{port}" for name, port in ports.items()}
    return {**document, "member": "m1", "domain": "d", "store": "127.9.7.2:9",
            "keys": [{"id": "k", "secret": "0123456789abcdef"}]}


def wait_for_line(log, event):
    end = time.monotonic() + 20
    while time.monotonic() < end:
        lines = [json.loads(line) for line in
                 log.read_text().splitlines() if line.endswith("}")]
        found = [line for line in lines if line["event"] == event]
        if found:
            return found[-1]
        time.sleep(0.05)
    raise TimeoutError(f"waited 20 s for {event}")


def main():
    checks = Checks()
    build = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "settings.json")
        log = pathlib.Path(folder, "log")
        file.write_text(json.dumps(settings()))
        with open(log, "w", encoding="utf-8") as output:
            daemon = subprocess.Popen(
                [build / "galenarudderd", "--settings", file], stdout=output)
        wait_for_line(log, "daemon.started")
        time.sleep(0.5)
        daemon.send_signal(signal.SIGHUP)
        told = wait_for_line(log, "settings.reloaded")
        checks.that(told["ports_need_a_restart"] is False,
                    f"the same settings need no restart: {told}")
        file.write_text("{")
        daemon.send_signal(signal.SIGHUP)
        told = wait_for_line(log, "settings.refused")
        checks.that(str(file) in told["message"] and told["remedy"],
                    f"the fault is named: {told}")
        checks.that(daemon.poll() is None, "the daemon runs on")
        daemon.terminate()
        checks.that(daemon.wait(timeout=20) == 0, "it leaves with 0")
    return checks.end()


if __name__ == "__main__":
    sys.exit(main())
