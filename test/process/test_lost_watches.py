#!/usr/bin/env python3
"""Daemons whose watches of the store are lost.

A connection on which an answer of the store is lost returns nothing further,
though it stays open. Guards against a fleet that keeps an old version until
its watches time out. Also counts what noticing it costs in calls of the store.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import Rig, check, configuration, wait_for

ROUTES = {"/a/": ("alpha", "idempotent"), "/b/": ("beta", "idempotent")}
# The shortest bound of the users' deployments.
IN_FORCE_S = 2.0
# The time from which daemons count as in touch with a store that serves again.
STABLE_S = 3.0
IDLE_S = 10
WATCH = "/galenarudder/kv-watch"


def lose_watches(store):
    store.loses_watches = True


def serve_watches(store):
    store.loses_watches = False


def fall_silent(store):
    store.set_mode("silent")


def serve_again(store):
    store.set_mode("up")


# What is lost, how, until when, and the time for a version to be in force.
ROWS = [
    ("the answers to all watches", lose_watches, serve_watches, 0, IN_FORCE_S),
    ("all answers for 0.3 s", fall_silent, serve_again, 0.3, STABLE_S),
    ("all answers for 1 s", fall_silent, serve_again, 1.0, STABLE_S),
    ("all answers for 4 s", fall_silent, serve_again, 4.0, STABLE_S),
]


def main():
    services = ["alpha", "alpha", "beta", "beta"]
    with Rig(sys.argv[1], [services[n % 4] for n in range(10)]) as rig:
        rig.store.put_configuration(configuration(1, ROUTES))
        for vm in rig.vms:
            vm.start()
            vm.upstream.check_ins_enabled.set()
        for vm in rig.vms:
            wait_for(lambda: vm.call("/a/1")[1] == 200
                     and vm.call("/b/1")[1] == 200, f"{vm.name} serves")
        # Members of a new fleet find each other before the watches settle.
        time.sleep(6)
        asked = rig.store.requested_paths.count(WATCH)
        time.sleep(IDLE_S)
        asked = rig.store.requested_paths.count(WATCH) - asked
        check(asked <= 1.5 * IDLE_S,
              f"{asked} calls in {IDLE_S} s while nothing changes")
        for number, (name, begin, end, silence_s, bound_s) in enumerate(ROWS):
            begin(rig.store)
            prefix = f"/new{number}/"
            rig.store.put_configuration(configuration(
                number + 2, {**ROUTES, prefix: ("beta", "idempotent")}))
            time.sleep(silence_s)
            if silence_s:
                end(rig.store)
            begin_s = time.monotonic()
            for vm in rig.vms:
                left_s = begin_s + bound_s - time.monotonic()
                wait_for(lambda: vm.call(prefix + "1")[1] != 404,
                         f"{vm.name} has the version, lost: {name}",
                         max(left_s, 0.05))
            end(rig.store)
            time.sleep(2)


if __name__ == "__main__":
    main()
