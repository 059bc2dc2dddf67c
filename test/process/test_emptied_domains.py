#!/usr/bin/env python3
"""Failure domains that operators empty by a key of the store.

Nothing may reach the upstreams of an emptied domain 5 s after the store
acknowledged the key: with the store cut off, and after daemons restarted. It
serves again once the key is deleted.
"""

import json
import pathlib
import re
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_checks import empty_domain, take_back_domain
from platform_rig import Rig, check, configuration, request, wait_for

ROUTES = {"/again/": ("alpha", "idempotent"),
          "/once/": ("alpha", "non_idempotent")}
BOUND_S = 5


class Callers:
    """Callers at all VMs that send one call after the other."""

    def __init__(self, vms):
        # Number of restarts of each VM's daemon.
        self.restarts = dict.fromkeys(vms, 0)
        # The daemons that have served a call since they were started, by VM and
        # number of restarts. Before, one may not know yet which upstreams there
        # are.
        self.serving = {(vm, 0) for vm in vms}
        self.ended = threading.Event()
        # Time of the answer and status of each call.
        self.results = []
        # VM, status and body of the calls that failed.
        self.refusals = []
        self.threads = [threading.Thread(target=self.run, args=(vm, path),
                                         daemon=True)
                        for vm in vms for path in ("/again/x", "/once/x")]

    def run(self, vm, path):
        while not self.ended.is_set():
            restarts = self.restarts[vm]
            try:
                _, status, _, body = vm.call(path)
            except OSError:
                status, body = None, b""
            # A call that began before a restart says nothing of the daemon that
            # runs after it, neither that it serves nor that it fails.
            if status == 200:
                self.serving.add((vm, restarts))
            elif restarts != self.restarts[vm]:
                status = None
            if (vm, restarts) not in self.serving:
                status = None
            self.results.append((time.monotonic(), status))
            if status not in (200, None):
                self.refusals.append((vm.name, status, body))
            time.sleep(0.02)

    def restart(self, vm):
        vm.stop()
        self.restarts[vm] += 1
        vm.start()

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def received(vms, begin):
    return [call["received_at_s"] for vm in vms
            for call in vm.upstream.received_calls
            if call["received_at_s"] >= begin]


def emptied_domains(vm):
    answer = json.loads(request(f"{vm.ip}:9464", "GET", "/v1/domains")[2])
    return [row["domain"] for row in answer["emptied"]]


def status_of(rig, vm):
    return subprocess.run([rig.build / "galenarudderctl", "status",
                           f"--daemon={vm.ip}:9464"], check=True,
                          capture_output=True, text=True).stdout


def nothing_reaches_the_domain(east, acknowledged, what):
    calls = received(east, acknowledged)
    last = max(calls, default=acknowledged) - acknowledged
    print(f"{what}: the last call came {last:.3f} s after the key", flush=True)
    check(last < BOUND_S, what)


def main():
    with Rig(sys.argv[1], ["alpha"] * 6, "127.41",
             {"evac": "5s"}) as rig:
        east = [vm for vm in rig.vms if vm.zone == "east"]
        west = [vm for vm in rig.vms if vm.zone == "west"]
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for vm in rig.vms:
            wait_for(lambda: vm.call("/again/x")[1] == 200,
                     f"{vm.name} serves")
        with Callers(rig.vms) as callers:
            time.sleep(1)
            check(received(east, 0), "the domain gets calls before")
            for vm in east:
                vm.upstream.delay_s = 1
            time.sleep(1.2)
            begin = empty_domain(rig, "east")
            wait_for(lambda: emptied_domains(west[0]) == ["east"],
                     "a daemon elsewhere knows of it")
            status = status_of(rig, west[0])
            print(status, flush=True)
            running = re.search(
                r"domain east: emptied for \d+ s, (\d+) calls", status)
            check(running and int(running[1]) > 0,
                  "the status names the domain and what still runs there")
            time.sleep(begin + BOUND_S - time.monotonic())
            check(", 0 calls still run there" in status_of(rig, west[0]),
                  "what ran there has ended")
            nothing_reaches_the_domain(east, begin, "all daemons in touch")
            for vm in east:
                vm.upstream.delay_s = 0

            probes = [vm.upstream.probes for vm in east]
            rig.store.set_mode("busy")
            for vm in (east[0], west[0]):
                callers.restart(vm)
            time.sleep(BOUND_S)
            check(emptied_domains(east[0]) == ["east"]
                  and emptied_domains(west[0]) == ["east"],
                  "restarted daemons learn the state from peers")
            nothing_reaches_the_domain(
                east, begin, "daemons restarted while the store is away")
            print("probes meanwhile:",
                  [vm.upstream.probes - before
                   for vm, before in zip(east, probes)], flush=True)

            rig.store.set_mode("up")
            back = take_back_domain(rig, "east")
            wait_for(lambda: all(received([vm], back) for vm in east),
                     "all upstreams of the domain serve again")
            check(not any(emptied_domains(vm) for vm in rig.vms),
                  "all daemons know that it was taken back")
        # Calls that a killed daemon was running end with 502.
        failed = [status for at, status in callers.results
                  if status not in (200, None)]
        print(f"{len(callers.results)} calls, {len(failed)} failed:",
              *callers.refusals[:20], sep="\n", flush=True)
        check(len(failed) <= 0.001 * len(callers.results),
              "calls are served elsewhere meanwhile")
        check(not rig.ran_more_than_once("/once/"),
              "no call that must not repeat ran twice")
    return 0


if __name__ == "__main__":
    sys.exit(main())
