#!/usr/bin/env python3
"""SIGHUP reloads the settings; invalid settings leave the old ones in force.

A daemon that exits on an invalid file, or that doesn't name it, would turn a
typing error into an outage.
"""

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


def wait_for_line(log_file, event):
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        lines = [json.loads(line) for line in
                 log_file.read_text().splitlines() if line.endswith("}")]
        matches = [line for line in lines if line["event"] == event]
        if matches:
            return matches[-1]
        time.sleep(0.05)
    raise TimeoutError(f"waited 20 s for {event}")


def main():
    checks = Checks()
    build = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        settings_file = pathlib.Path(folder, "settings.json")
        log_file = pathlib.Path(folder, "log")
        settings_file.write_text(json.dumps(settings()))
        with open(log_file, "w", encoding="utf-8") as output:
            daemon = subprocess.Popen(
                [build / "galenarudderd", "--settings", settings_file],
                stdout=output)
        wait_for_line(log_file, "daemon.started")
        time.sleep(0.5)
        daemon.send_signal(signal.SIGHUP)
        record = wait_for_line(log_file, "settings.reloaded")
        checks.expect(record["ports_need_a_restart"] is False,
                      f"the same settings need no restart: {record}")
        settings_file.write_text("{")
        daemon.send_signal(signal.SIGHUP)
        record = wait_for_line(log_file, "settings.refused")
        checks.expect(str(settings_file) in record["message"]
                      and record["remedy"],
                      f"the record names the file and a remedy: {record}")
        checks.expect(daemon.poll() is None, "the daemon keeps running")
        daemon.terminate()
        checks.expect(daemon.wait(timeout=20) == 0, "it exits with 0")
    return checks.finish()


if __name__ == "__main__":
    sys.exit(main())
