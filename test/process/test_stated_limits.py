#!/usr/bin/env python3
"""Upstreams that state in their answers what they take.

The limit that an upstream states binds all daemons together; one that states
that it leaves gets no more calls, from no daemon.
"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import Rig, check, configuration, wait_for

ROUTES = {"/again/": ("beta", "idempotent")}
LIMIT_PER_S = 4
WINDOW_S = 4
# The bounds of the users' rules: one and a half times the limit and 5 calls in
# any window; no call that is sent 2 s after an answer that states the leave.
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
DRAIN_S = 2
# What the limit allows, less what the start of the window may lack.
MIN_IN_WINDOW = LIMIT_PER_S * (WINDOW_S - 1)


class Callers:
    """Callers at several VMs that send one call after the other."""

    def __init__(self, vms, time_left_ms):
        self.time_left_ms = time_left_ms
        self.ended = threading.Event()
        # Status and duration of each call.
        self.results = []
        self.threads = [threading.Thread(target=self.run, args=(vm,),
                                         daemon=True)
                        for vm in vms for _ in range(4)]

    def run(self, vm):
        while not self.ended.is_set():
            begin = time.monotonic()
            try:
                status = vm.call("/again/x", time_left_ms=self.time_left_ms)[1]
            except OSError:
                status = None
            self.results.append((status, time.monotonic() - begin))
            time.sleep(0.05)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def received_since(upstream, begin):
    return [call["received_at_s"] for call in upstream.received_calls
            if call["received_at_s"] >= begin]


def most_in_window(times):
    return max((sum(begin <= other < begin + WINDOW_S for other in times)
                for begin in times), default=0)


def limit_is_kept(rig, upstream):
    upstream.limit_per_s = LIMIT_PER_S
    time.sleep(1)
    begin = time.monotonic()
    with Callers(rig.vms, time_left_ms=400) as callers:
        time.sleep(3 * WINDOW_S)
    times = received_since(upstream, begin + 1)
    most = most_in_window(times)
    refused = [took for status, took in callers.results if status == 503]
    print(f"{len(callers.results)} calls, {len(refused)} refused;"
          f" {most} calls at the upstream in {WINDOW_S} s", flush=True)
    check(most <= MAX_IN_WINDOW, "the limit binds all daemons together")
    check(most >= MIN_IN_WINDOW, "what the limit allows is used")
    quick = sum(took < 0.2 for took in refused)
    check(quick > 0.9 * len(refused),
          "calls that the limit leaves no room for are refused at once")
    check(all(status in (200, 503) for status, _ in callers.results),
          "no call ends in another way")
    upstream.limit_per_s = None
    begin = time.monotonic()
    with Callers(rig.vms, time_left_ms=1000):
        wait_for(lambda: len(received_since(upstream, begin)) >
                 2 * MAX_IN_WINDOW,
                 "the limit ends with the answers that state it")


def leaving_upstream_gets_no_calls(rig, vm):
    begin = time.monotonic()
    vm.upstream.states_leaving = True
    with Callers(rig.vms, time_left_ms=1000):
        wait_for(lambda: received_since(vm.upstream, begin),
                 "an answer states that the upstream leaves")
        time.sleep(DRAIN_S)
        late = time.monotonic()
        # Check-ins that were under way still say that it is ready.
        time.sleep(DRAIN_S)
    check(not received_since(vm.upstream, late),
          "an upstream that states its leave gets no more calls")


def main():
    with Rig(sys.argv[1], ["alpha", "beta", "alpha"], "127.35") as rig:
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for vm in rig.vms:
            wait_for(lambda: vm.call("/again/x")[1] == 200,
                     f"{vm.name} serves")
        limit_is_kept(rig, rig.vms[1].upstream)
        leaving_upstream_gets_no_calls(rig, rig.vms[1])


if __name__ == "__main__":
    main()
