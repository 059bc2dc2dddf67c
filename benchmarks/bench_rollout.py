#!/usr/bin/env python3
"""Time from `apply` until the version is in force on all of 100 daemons.

Three phases: 20 changes in a row; a change with the store going down right
after acceptance; a change while one failure domain cannot watch the store.
Prints one JSON object per figure."""

import concurrent.futures
import http.client
import json
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test/process"))

from configuration_fleet import ConfigurationFleet, example  # noqa: E402

DAEMONS = 100
CHANGES = 20
TARGET_S = 3.0
STORE_READS_PER_S = 2000
POLLERS = 20
GIVE_UP_S = 20
TOPOLOGY = {
    "address_prefix": "127.2.4",
    "domains": ["north", "south", "east", "west"],
    "store": "127.2.4.252:8500",
    "slots": 9, "connections": 20, "probe_ms": 0,
    "services": [{"name": "kitcheck", "upstreams": DAEMONS}],
}


class BenchFleet(ConfigurationFleet):
    """Watches of one failure domain can be pointed at a dead address."""

    def __init__(self, build, blind_domain=None):
        super().__init__(build, TOPOLOGY)
        self.blind_domain = blind_domain

    def settings(self, vm):
        settings = super().settings(vm)
        if vm["domain"] == self.blind_domain:
            settings["store"] = "127.2.4.253:9"
        return settings

    def settings_path(self):
        sighted = next(vm for vm in self.vms
                       if vm["domain"] != self.blind_domain)
        return pathlib.Path(self.folder.name) / f"{sighted['member']}.json"


class Poller:
    """Polls some daemons over kept connections until they have a version."""

    def __init__(self, vms):
        self.connections = [http.client.HTTPConnection(
            vm["address"], 7105, timeout=5) for vm in vms]

    def wait(self, version, deadline):
        for connection in self.connections:
            while self.version(connection) < version:
                if time.monotonic() > deadline:
                    return None
                time.sleep(0.02)
        return time.monotonic()

    @staticmethod
    def version(connection):
        try:
            connection.request("GET", "/v1/status")
            answer = json.loads(connection.getresponse().read())
            return answer["configuration_version"]
        except (OSError, ValueError, http.client.HTTPException):
            connection.close()
            return 0


class Measurement:
    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 0
        self.pollers = [Poller(fleet.vms[first::POLLERS])
                        for first in range(POLLERS)]
        self.pool = concurrent.futures.ThreadPoolExecutor(POLLERS)

    def change(self, after_acceptance=None):
        """Applies one change; returns seconds until in force on all."""
        self.version += 1
        self.fleet.set_share(round(0.01 + self.version / 1000, 4))
        started = time.monotonic()
        done = self.fleet.tool("apply", "--author", "bench")
        if done.returncode != 0:
            raise RuntimeError(done.stderr)
        if after_acceptance is not None:
            after_acceptance()
        deadline = started + GIVE_UP_S
        ended = list(self.pool.map(
            lambda poller: poller.wait(self.version, deadline), self.pollers))
        if None in ended:
            return float(GIVE_UP_S)
        return max(ended) - started


def report(name, value, unit, target, better="less"):
    met = value <= target if better == "less" else value >= target
    print(json.dumps({"name": name, "value": round(value, 3), "unit": unit,
                      "target": target, "better": better, "met": met}),
          flush=True)


def in_a_row_and_store_down(build):
    fleet = BenchFleet(build)
    try:
        fleet.start_all()
        measured = Measurement(fleet)
        before = fleet.store_counts()
        started = time.monotonic()
        slowest = max(measured.change() for _ in range(CHANGES))
        lasted = time.monotonic() - started
        after = fleet.store_counts()
        report("rollout_slowest_of_20", slowest, "s", TARGET_S)
        reads = sum(after[kind] - before[kind] for kind in ("reads", "watches"))
        report("rollout_store_reads_and_watches_per_s", reads / lasted, "1/s",
               STORE_READS_PER_S)
        down = measured.change(lambda: fleet.set_store(down=1))
        report("rollout_store_down_after_acceptance", down, "s", TARGET_S)
        return fleet.reversions()
    finally:
        fleet.stop()


def one_domain_without_watches(build):
    fleet = BenchFleet(build, blind_domain="south")
    try:
        fleet.start_all()
        measured = Measurement(fleet)
        slowest = max(measured.change() for _ in range(5))
        report("rollout_one_domain_without_watches", slowest, "s", TARGET_S)
        return fleet.reversions()
    finally:
        fleet.stop()


def main():
    build = sys.argv[1]
    reversions = in_a_row_and_store_down(build)
    reversions += one_domain_without_watches(build)
    report("rollout_reversions", reversions, "count", 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
