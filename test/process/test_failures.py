#!/usr/bin/env python3
"""One fault at a time over real processes: a gate killed in the middle of a
call, SIGTERM under load, an upstream that fails fast, a store that is down,
slow, or loses an answer. Outcomes are judged, not speeds."""

import concurrent.futures
import sys

from combined import Flood, HarmedFleet, ROOT, check, run, send

TOPOLOGY = ROOT / "test/process/data/combined"
PREFIX = "127.2.8"
LATER_CALLS = 300
# Without ejection a third of the calls would meet the failing upstream.
MOST_FAILED_SHARE = 0.1


def serving(fleet, service):
    return [vm for vm in fleet.vms
            if vm["service"] == service and vm["member"] in fleet.daemons]


def browse(vms, work_ms=5):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        return send(vm, "GET", f"/escaparate/catalogue?work_ms={work_ms}",
                    f"browse-{thread}-{number}")
    return call


def running_at(fleet, service):
    """The VM of this service whose upstream runs a call now, or None."""
    for vm in serving(fleet, service):
        counts = fleet.upstream_counts(vm)
        if counts and counts["runs"] > counts["finished"]:
            return vm
    return None


def kill_gate_during(fleet, service, call):
    """Kills the daemon beside the upstream that runs the call."""
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(call)
        run.wait_for(lambda: running_at(fleet, service) is not None,
                     "the call to run")
        vm = running_at(fleet, service)
        process = fleet.daemons.pop(vm["member"])
        process.kill()
        process.wait()
        return pending.result()


def gate_killed_in_call_that_must_not_repeat(fleet):
    entry = serving(fleet, "escaparate")[0]

    def deposit():
        return send(entry, "POST", "/reservas/deposits?work_ms=900", "once",
                    "deposit", "key-of-killed-gate")
    outcome = kill_gate_during(fleet, "reservas", deposit)
    check(outcome.status is not None and not outcome.whole
          and not outcome.not_run,
          f"the call ended as unknown, with status {outcome.status}")
    again = deposit()
    check(not again.whole and not again.not_run,
          f"the same key is not run again: {again.status}")
    check(fleet.runs_by_key()["key-of-killed-gate"] == 1, "it ran once")


def gate_killed_in_call_that_may_repeat(fleet):
    entry = serving(fleet, "reservas")[0]
    outcome = kill_gate_during(
        fleet, "escaparate",
        lambda: send(entry, "GET", "/escaparate/catalogue?work_ms=600", "again"))
    check(outcome.whole, "a call that may repeat is answered by another")


def sigterm_under_load(fleet):
    leaving = serving(fleet, "escaparate")[0]
    entries = [vm for vm in serving(fleet, "reservas")
               + serving(fleet, "escaparate") if vm is not leaving]
    flood = Flood(browse(entries), threads=8)
    flood.wait_for_more(100)
    process = fleet.daemons.pop(leaving["member"])
    process.terminate()
    check(process.wait(timeout=20) == 0, "the daemon left with exit code 0")
    flood.wait_for_more(100)
    outcomes = flood.stop()
    check(all(each.whole for each in outcomes),
          f"none of {len(outcomes)} calls was cut or refused")
    runs = fleet.upstream_counts(leaving)
    check(runs["runs"] == runs["finished"], "what ran there ran to its end")
    fleet.start_daemon(leaving)
    run.wait_for(lambda: fleet.versions([leaving]) == [1],
                 "the restarted daemon to have the configuration")


def upstream_fails_fast(fleet):
    failing = serving(fleet, "escaparate")[0]
    entries = serving(fleet, "reservas")
    fleet.upstream_set(failing, "fail=1")
    warm = Flood(browse(entries), threads=4)
    warm.wait_for_more(200)
    warm.stop()
    later = Flood(browse(entries), threads=4)
    later.wait_for_more(LATER_CALLS)
    outcomes = later.stop()
    fleet.upstream_set(failing, "fail=0")
    failed = sum(1 for each in outcomes if not each.whole)
    check(failed <= MOST_FAILED_SHARE * len(outcomes),
          f"{failed} of {len(outcomes)} calls met the failing upstream")


def store_fails(fleet):
    entries = serving(fleet, "reservas") + serving(fleet, "escaparate")
    flood = Flood(browse(entries), threads=4)
    for fault in ("down=1", "down=0", "slow_ms=3000", "slow_ms=0",
                  "lose_next_answer=1"):
        fleet.store_set(fault)
        flood.wait_for_more(100)
    outcomes = flood.stop()
    check(all(each.whole for each in outcomes),
          f"none of {len(outcomes)} calls without a key noticed the store")


def main():
    fleet = HarmedFleet(sys.argv[1], TOPOLOGY, PREFIX)
    try:
        fleet.start()
        store_fails(fleet)
        upstream_fails_fast(fleet)
        sigterm_under_load(fleet)
        gate_killed_in_call_that_must_not_repeat(fleet)
        gate_killed_in_call_that_may_repeat(fleet)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
