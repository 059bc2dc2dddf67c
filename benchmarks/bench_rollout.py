#!/usr/bin/env python3
"""Measure the time from `apply` until a version is in force on 100 daemons.

Three phases: 20 changes in a row; a change with the store going down right
after the acceptance; changes while one failure domain cannot watch the store.
Prints one JSON object per figure.
"""

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
TIMEOUT_S = 20
TOPOLOGY = {
    "address_prefix": "127.2.4",
    "domains": ["north", "south", "east", "west"],
    "store": "127.2.4.252:8500",
    "slots": 9, "connections": 20, "probe_ms": 0,
    "services": [{"name": "kitcheck", "upstreams": DAEMONS}],
}


class BenchFleet(ConfigurationFleet):
    """A fleet in which one failure domain may have an unreachable store."""

    def __init__(self, build, domain_without_watches=None):
        super().__init__(build, TOPOLOGY)
        self.domain_without_watches = domain_without_watches

    def settings(self, vm):
        settings = super().settings(vm)
        if vm["domain"] == self.domain_without_watches:
            settings["store"] = "127.2.4.253:9"
        return settings

    def settings_path(self):
        watching_vm = next(vm for vm in self.vms
                           if vm["domain"] != self.domain_without_watches)
        return pathlib.Path(self.folder.name) / f"{watching_vm['member']}.json"


class VersionPoller:
    """Polls some daemons over persistent connections for their version."""

    def __init__(self, vms):
        self.connections = [http.client.HTTPConnection(
            vm["address"], 7105, timeout=5) for vm in vms]

    def wait_for_version(self, version, deadline):
        """Return the time at which all have the version, None after the
        deadline."""
        for connection in self.connections:
            while self.read_version(connection) < version:
                if time.monotonic() > deadline:
                    return None
                time.sleep(0.02)
        return time.monotonic()

    @staticmethod
    def read_version(connection):
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
        self.pollers = [VersionPoller(fleet.vms[first::POLLERS])
                        for first in range(POLLERS)]
        self.pool = concurrent.futures.ThreadPoolExecutor(POLLERS)

    def apply_change(self, after_acceptance=None):
        """Apply one change; return the seconds until it is in force on all."""
        self.version += 1
        self.fleet.set_retry_share(round(0.01 + self.version / 1000, 4))
        started_s = time.monotonic()
        result = self.fleet.ctl_on_files("apply", "--author", "bench")
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        if after_acceptance is not None:
            after_acceptance()
        deadline = started_s + TIMEOUT_S
        reached_at = list(self.pool.map(
            lambda poller: poller.wait_for_version(self.version, deadline),
            self.pollers))
        if None in reached_at:
            return float(TIMEOUT_S)
        return max(reached_at) - started_s


def print_figure(name, value, unit, target, better="less"):
    met = value <= target if better == "less" else value >= target
    print(json.dumps({"name": name, "value": round(value, 3), "unit": unit,
                      "target": target, "better": better, "met": met}),
          flush=True)


def measure_consecutive_changes_and_store_down(build):
    fleet = BenchFleet(build)
    try:
        fleet.start_all()
        measurement = Measurement(fleet)
        before = fleet.store_counts()
        started_s = time.monotonic()
        slowest_s = max(measurement.apply_change() for _ in range(CHANGES))
        duration_s = time.monotonic() - started_s
        after = fleet.store_counts()
        print_figure("rollout_slowest_of_20", slowest_s, "s", TARGET_S)
        reads = sum(after[kind] - before[kind]
                    for kind in ("reads", "watches"))
        print_figure("rollout_store_reads_and_watches_per_s",
                     reads / duration_s, "1/s", STORE_READS_PER_S)
        store_down_s = measurement.apply_change(
            lambda: fleet.set_store(down=1))
        print_figure("rollout_store_down_after_acceptance", store_down_s, "s",
                     TARGET_S)
        return fleet.adopted_reversions()
    finally:
        fleet.stop()


def measure_one_domain_without_watches(build):
    fleet = BenchFleet(build, domain_without_watches="south")
    try:
        fleet.start_all()
        measurement = Measurement(fleet)
        slowest_s = max(measurement.apply_change() for _ in range(5))
        print_figure("rollout_one_domain_without_watches", slowest_s, "s",
                     TARGET_S)
        return fleet.adopted_reversions()
    finally:
        fleet.stop()


def main():
    build = sys.argv[1]
    adopted_reversions = measure_consecutive_changes_and_store_down(build)
    adopted_reversions += measure_one_domain_without_watches(build)
    print_figure("rollout_reversions", adopted_reversions, "count", 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
