#!/usr/bin/env python3
"""A configuration with many routes on VMs with a tenth of a core.

While the daemons put it in force they must still see that callers leave, and
answer checks of readiness.
"""

import pathlib
import signal
import sys
import threading
import time
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import HOST, Rig, check, configuration, request, wait_for
from raw_http import Connection

ROUTES = {"/again/": ("beta", "idempotent")}
WIDE_ROUTES = 1400
# Time slices of a daemon; it runs for a tenth of the time.
RUN_S = 0.004
PAUSE_S = 0.036
CALL_INTERVAL_S = 0.1
# How long callers wait for an answer before they leave.
PATIENCE_S = 0.25
# The bounds of the users' rules: a call that a caller has left may reach an
# upstream for half a second; a few may be later; a change is in force in 2 s.
CLOSE_SEEN_S = 0.5
LATE_CALLS = 3
IN_FORCE_S = 2.0
# Several peers fetch a change from one VM at once, over a link that may be narrow.
MIN_COMPRESSION = 10


class Throttle(threading.Thread):
    """Lets the processes of VMs run for a tenth of the time."""

    def __init__(self, vms):
        super().__init__(daemon=True)
        self.processes = [vm.process for vm in vms]
        self.ended = threading.Event()

    def run(self):
        while not self.ended.is_set():
            self.send(signal.SIGCONT)
            time.sleep(RUN_S)
            self.send(signal.SIGSTOP)
            time.sleep(PAUSE_S)
        self.send(signal.SIGCONT)

    def send(self, signal_number):
        for process in self.processes:
            process.send_signal(signal_number)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        self.join()


class Callers:
    """Callers that send one call each and leave when they lose patience."""

    def __init__(self, rig, vm):
        self.rig = rig
        self.address = vm.outbound.split(":")
        self.left_at_s = {}
        self.threads = []

    def call(self):
        attempt = f"left-{next(self.rig.attempt_numbers)}"
        connection = Connection(self.address[0], int(self.address[1]))
        connection.socket.settimeout(PATIENCE_S)
        try:
            connection.send(f"GET /again/left HTTP/1.1\r\nHost: {HOST}\r\n"
                            f"Attempt-Id: {attempt}\r\n"
                            f"Timeout-Ms: {int(PATIENCE_S * 1000)}\r\n\r\n")
            connection.socket.recv(1)
        except OSError:
            self.left_at_s[attempt] = time.monotonic()
        connection.close()

    def call_for(self, duration_s):
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            thread = threading.Thread(target=self.call, daemon=True)
            thread.start()
            self.threads.append(thread)
            time.sleep(CALL_INTERVAL_S)
        for thread in self.threads:
            thread.join()

    def late_calls(self, upstream):
        received = {call["id"]: call["received_at_s"]
                    for call in upstream.received_calls}
        return sorted(attempt for attempt, left in self.left_at_s.items()
                      if received.get(attempt, left) > left + CLOSE_SEEN_S)


class ReadinessChecks(threading.Thread):
    """Asks a VM for its readiness and keeps the longest time it took."""

    def __init__(self, vm):
        super().__init__(daemon=True)
        self.vm = vm
        self.longest_s = 0
        self.ended = threading.Event()

    def run(self):
        while not self.ended.is_set():
            begin = time.monotonic()
            request(f"{self.vm.ip}:8302", "GET", "/galenarudder/readyz")
            self.longest_s = max(self.longest_s, time.monotonic() - begin)
            time.sleep(0.05)


def wide_routes(count):
    return {**ROUTES, **{f"/wide{number}/": ("beta", "idempotent")
                         for number in range(count)}}


def time_until_served(vm, path):
    begin = time.monotonic()
    wait_for(lambda: vm.call(path)[1] != 404, f"{path} is known")
    return time.monotonic() - begin


def fetch_change(vm, fields):
    """Ask a VM for the change from a document that it does not know."""
    return request(f"{vm.ip}:9464", "GET", "/v1/configuration?from=1&hash=x",
                   fields=fields)


def check_size_of_change(vm):
    """A wide change is small on its way, for peers that can take it so."""
    _, _, plain = fetch_change(vm, {})
    _, answer, sent = fetch_change(
        vm, {"Galenarudder-Accept-Encoding": "deflate"})
    check(len(sent) * MIN_COMPRESSION < len(plain),
          f"{len(plain)} bytes of a change are sent as {len(sent)}")
    check(zlib.decompress(sent) == plain and
          int(answer["Galenarudder-Plain-Size"]) == len(plain),
          "the change is the same in both forms")


def main():
    with Rig(sys.argv[1], ["alpha", "beta"], "127.33") as rig:
        caller_vm, upstream_vm = rig.vms
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        wait_for(lambda: caller_vm.call("/again/x")[1] == 200, "served")
        callers = Callers(rig, caller_vm)
        readiness = ReadinessChecks(caller_vm)
        with Throttle(rig.vms):
            readiness.start()
            traffic = threading.Thread(target=callers.call_for, args=(8,))
            traffic.start()
            time.sleep(1)
            rig.store.put_configuration(
                configuration(7, wide_routes(WIDE_ROUTES)))
            first = time_until_served(caller_vm, f"/wide{WIDE_ROUTES - 1}/x")
            rig.store.put_configuration(
                configuration(9, wide_routes(WIDE_ROUTES + 1)))
            second = time_until_served(caller_vm, f"/wide{WIDE_ROUTES}/x")
            traffic.join()
            readiness.ended.set()
            readiness.join()
        late = callers.late_calls(upstream_vm.upstream)
        print(f"{len(callers.threads)} callers, {len(callers.left_at_s)} left;"
              f" {len(late)} calls sent on late; readiness took"
              f" {readiness.longest_s:.3f} s at most; in force after"
              f" {first:.2f} s and {second:.2f} s", flush=True)
        check(len(late) <= LATE_CALLS,
              "calls whose callers have left are not sent on")
        check(readiness.longest_s < CLOSE_SEEN_S,
              "checks of readiness are answered all the time")
        check(max(first, second) < IN_FORCE_S, "both versions are in force")
        check_size_of_change(caller_vm)


if __name__ == "__main__":
    main()
