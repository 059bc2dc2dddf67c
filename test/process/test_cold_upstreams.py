#!/usr/bin/env python3
"""The upstreams of a failure domain become cold together.

A cold upstream crashes under more calls than it takes, whichever daemons they
come from. Calls that it cannot take go elsewhere; if all are cold, the rest are
refused at once, and a caller who returns at the stated time is served.
"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_checks import max_cold_calls, most_in_window
from platform_rig import Rig, check, configuration, wait_for

ROUTES = {"/again/": ("alpha", "idempotent")}
COLD_PER_S = 10
MAX_IN_A_SECOND = max_cold_calls(COLD_PER_S)
TIME_LEFT_MS = 600
AT_ONCE_S = 0.2


class Calls:
    """Runs callers in threads and keeps status and duration of each call."""

    def __init__(self, vms):
        self.vms = vms
        self.ended = threading.Event()
        self.results = []

    def call(self, number):
        begin = time.monotonic()
        _, status, fields, _ = self.vms[number % len(self.vms)].call(
            "/again/x", time_left_ms=TIME_LEFT_MS)
        self.results.append((status, time.monotonic() - begin))
        return status, float(fields.get("Retry-After", 0))

    def repeat(self, number):
        while not self.ended.is_set():
            self.call(number)
            time.sleep(0.08)

    def run(self, count, caller):
        threads = [threading.Thread(target=caller, args=(number,), daemon=True)
                   for number in range(count)]
        for thread in threads:
            thread.start()
        return threads


def most_in_a_second(upstream, begin):
    times = [call["received_at_s"] for call in upstream.received_calls
             if call["received_at_s"] >= begin]
    return most_in_window(sorted(times), 1)[0]


def check_bound(vms, begin, what):
    most = [most_in_a_second(vm.upstream, begin) for vm in vms]
    print(f"{what}: at most {most} calls in a second", flush=True)
    check(max(most) <= MAX_IN_A_SECOND, f"{what}: the bound is kept")


def make_cold(vms, seconds):
    begin = time.monotonic()
    for vm in vms:
        vm.upstream.cold_until_s = begin + seconds
    return begin


def cold_domain_is_not_overrun(rig, east):
    calls = Calls(rig.vms)
    threads = calls.run(12, calls.repeat)
    time.sleep(2)
    begin = make_cold(east, 5)
    served_before = len(calls.results)
    time.sleep(5)
    check_bound(east, begin, "one domain cold")
    calls.ended.set()
    for thread in threads:
        thread.join()
    meanwhile = calls.results[served_before:]
    refused = sum(status != 200 for status, _ in meanwhile)
    print(f"{len(meanwhile)} calls, {refused} not served", flush=True)
    check(refused <= 0.02 * len(meanwhile),
          "the other domain serves what the cold one cannot take")


def refused_calls_return(rig):
    callers = 100
    calls = Calls(rig.vms)
    attempts = [0] * callers
    # Refusals that state no time of return.
    untimed = []
    begin = make_cold(rig.vms, 12)
    # All gates know: check-ins come each 300 ms, and one upstream of each
    # domain states it in its responses only, once its gate asks.
    time.sleep(1)

    def call_until_served(number):
        while attempts[number] < 20:
            attempts[number] += 1
            status, retry_after_s = calls.call(number)
            if status == 200:
                return
            if retry_after_s <= 0:
                untimed.append(status)
            time.sleep(retry_after_s)

    for thread in calls.run(callers, call_until_served):
        thread.join()
    check_bound(rig.vms, begin, "all cold")
    refused = [took for status, took in calls.results if status == 503]
    quick = sum(took < AT_ONCE_S for took in refused)
    again = sum(count > 2 for count in attempts)
    first = sum(count > 1 for count in attempts)
    print(f"{callers} callers, {first} refused, {again} of them again;"
          f" {quick} of {len(refused)} refusals at once, all served after"
          f" {time.monotonic() - begin:.1f} s", flush=True)
    check(first >= 0.2 * callers, "the cold upstreams refuse calls")
    check(not untimed, "refusals state the time of return")
    check(quick >= 0.9 * len(refused), "calls are refused at once")
    check(again <= 0.1 * first, "there is room at the stated time")
    check(all(status in (200, 503) for status, _ in calls.results),
          "no call ends in another way")


def main():
    with Rig(sys.argv[1], ["alpha"] * 4, "127.47") as rig:
        east = [vm for vm in rig.vms if vm.zone == "east"]
        for vm in rig.vms:
            vm.upstream.delay_s = 0.02
            vm.start()
        rig.store.put_configuration(
            configuration(3, ROUTES, cold_per_s=COLD_PER_S))
        # One upstream of each domain states its cold time only on the health
        # path.
        for vm in rig.vms[2:]:
            vm.upstream.announces_cold = False
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for vm in rig.vms:
            wait_for(lambda: vm.call("/again/x")[1] == 200,
                     f"{vm.name} serves")
        cold_domain_is_not_overrun(rig, east)
        refused_calls_return(rig)
    return 0


if __name__ == "__main__":
    sys.exit(main())
