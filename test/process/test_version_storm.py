#!/usr/bin/env python3
"""Versions in quick succession on VMs with a tenth of a core.

Each version changes one route of many. It must be in force on every VM within
the shortest bound of the users' deployments, and calls must be served beside
the versions almost as they are without.
"""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import Rig, check, configuration, request, wait_for
from test_wide_configuration import Throttle, wide_routes

ROUTES = 2100
VERSIONS = 12
VERSION_INTERVAL_S = 0.6
CALL_INTERVAL_S = 0.05
# What a call may take on a VM that stands still nine tenths of the time.
CALL_IN_TIME_S = 0.25
# The bounds of the users' deployments: a version is in force in 2 s; callers
# are served at least 0.8 of what they are without versions.
IN_FORCE_S = 2.0
SERVED_SHARE = 0.8
FIRST_VERSION = 10
LAST_VERSION = FIRST_VERSION + VERSIONS - 1
POLL_INTERVAL_S = 0.1


class Callers:
    """Callers that send calls at a steady rate."""

    def __init__(self, vm):
        self.vm = vm
        self.in_time = 0
        self.sent = 0
        self.lock = threading.Lock()

    def call(self):
        begin = time.monotonic()
        try:
            status = self.vm.call("/again/x")[1]
        except OSError:
            status = 0
        served = status == 200 and time.monotonic() - begin < CALL_IN_TIME_S
        with self.lock:
            self.in_time += served

    def call_for(self, duration_s):
        """Return the share of calls that were served in time."""
        self.in_time = self.sent = 0
        threads = []
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            threads.append(threading.Thread(target=self.call, daemon=True))
            threads[-1].start()
            self.sent += 1
            time.sleep(CALL_INTERVAL_S)
        for thread in threads:
            thread.join()
        return self.in_time / self.sent


class ForceWatch(threading.Thread):
    """Notes how long each version takes until a VM has it or a later one."""

    def __init__(self, vm, stored_at_s):
        super().__init__(daemon=True)
        self.vm = vm
        self.stored_at_s = stored_at_s
        self.slowest_s = 0
        self.ended = threading.Event()

    def run(self):
        in_force = 0
        while not self.ended.is_set() and in_force < LAST_VERSION:
            earlier = in_force
            in_force = max(in_force, self.version_in_force())
            now = time.monotonic()
            # Versions that are not in force yet, and those that just came.
            for version, stored_at_s in list(self.stored_at_s.items()):
                if version > earlier:
                    self.slowest_s = max(self.slowest_s, now - stored_at_s)
            time.sleep(POLL_INTERVAL_S)

    def version_in_force(self):
        try:
            _, _, body = request(f"{self.vm.ip}:9464", "GET", "/v1/status")
            return json.loads(body)["configuration_version"]
        except (OSError, ValueError):
            return 0


def stored_configuration(version):
    routes = wide_routes(ROUTES)
    routes[f"/version{version}/"] = ("beta", "idempotent")
    return configuration(version, routes)


def store_versions(rig, stored_at_s):
    documents = {version: stored_configuration(version)
                 for version in range(FIRST_VERSION, LAST_VERSION + 1)}
    for version, document in documents.items():
        rig.store.put_configuration(document)
        stored_at_s[version] = time.monotonic()
        time.sleep(VERSION_INTERVAL_S)


def main():
    with Rig(sys.argv[1], ["alpha", "beta", "beta"], "127.36") as rig:
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(7, wide_routes(ROUTES)))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        wait_for(lambda: rig.vms[0].call("/again/x")[1] == 200, "served")
        callers = Callers(rig.vms[0])
        stored_at_s = {}
        watches = [ForceWatch(vm, stored_at_s) for vm in rig.vms]
        with Throttle(rig.vms):
            calm = callers.call_for(4)
            for watch in watches:
                watch.start()
            storm = threading.Thread(target=store_versions,
                                     args=(rig, stored_at_s))
            storm.start()
            stormy = callers.call_for(VERSIONS * VERSION_INTERVAL_S)
            storm.join()
            for watch in watches:
                watch.join(timeout=IN_FORCE_S * 2)
                watch.ended.set()
        slowest = [watch.slowest_s for watch in watches]
        print(f"served in time: {calm:.2f} in calm, {stormy:.2f} beside the"
              f" versions; in force after at most"
              f" {', '.join(f'{value:.2f}' for value in slowest)} s",
              flush=True)
        check(max(slowest) < IN_FORCE_S,
              "each version is in force in time on every VM")
        check(stormy >= SERVED_SHARE * calm,
              "callers are served beside the versions")


if __name__ == "__main__":
    main()
