#!/usr/bin/env python3
"""One fault at a time over real processes; outcomes are checked, not speed.

The faults: a gate killed during a call, SIGTERM under load, an upstream that
fails at once, and a store that is down, slow, or loses an answer. Each could
cut calls, run one twice or report a call that ran as not run.
"""

import concurrent.futures
import sys

from combined import BackgroundCalls, FaultFleet, ROOT, check, run, send_call

TOPOLOGY = ROOT / "test/process/data/combined"
PREFIX = "127.2.8"
LATER_CALLS = 300
# Without ejection a third of the calls would reach the failing upstream.
MAX_FAILED_SHARE = 0.1


def vms_serving(fleet, service):
    return [vm for vm in fleet.vms
            if vm["service"] == service and vm["member"] in fleet.daemons]


def browse_call(vms, work_ms=5):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        return send_call(vm, "GET", f"/escaparate/catalogue?work_ms={work_ms}",
                         f"browse-{thread}-{number}")
    return call


def vm_running_a_call(fleet, service):
    """Return the VM whose upstream runs a call of this service, or None."""
    for vm in vms_serving(fleet, service):
        counts = fleet.upstream_counts(vm)
        if counts and counts["runs"] > counts["finished"]:
            return vm
    return None


def kill_gate_during_call(fleet, service, call):
    """Kill the daemon on the VM whose upstream is running the call."""
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pending_call = pool.submit(call)
        run.wait_for(lambda: vm_running_a_call(fleet, service) is not None,
                     "the call to run")
        vm = vm_running_a_call(fleet, service)
        process = fleet.daemons.pop(vm["member"])
        process.kill()
        process.wait()
        return pending_call.result()


def gate_killed_during_call_that_must_not_repeat(fleet):
    entry = vms_serving(fleet, "escaparate")[0]

    def deposit():
        return send_call(entry, "POST", "/reservas/deposits?work_ms=900",
                         "once", "deposit", "key-of-killed-gate")
    outcome = kill_gate_during_call(fleet, "reservas", deposit)
    check(outcome.status is not None and not outcome.complete
          and not outcome.not_run,
          f"the call ended as unknown, with status {outcome.status}")
    repeated = deposit()
    check(not repeated.complete and not repeated.not_run,
          f"the same key is not run again: {repeated.status}")
    check(fleet.runs_by_key()["key-of-killed-gate"] == 1, "it ran once")


def gate_killed_during_repeatable_call(fleet):
    entry = vms_serving(fleet, "reservas")[0]
    outcome = kill_gate_during_call(
        fleet, "escaparate",
        lambda: send_call(entry, "GET", "/escaparate/catalogue?work_ms=600",
                          "again"))
    check(outcome.complete, "another upstream answers a repeatable call")


def sigterm_under_load(fleet):
    leaving = vms_serving(fleet, "escaparate")[0]
    entries = [vm for vm in vms_serving(fleet, "reservas")
               + vms_serving(fleet, "escaparate") if vm is not leaving]
    flood = BackgroundCalls(browse_call(entries), threads=8)
    flood.wait_for_more(100)
    process = fleet.daemons.pop(leaving["member"])
    process.terminate()
    check(process.wait(timeout=20) == 0, "the daemon left with exit code 0")
    flood.wait_for_more(100)
    outcomes = flood.stop()
    check(all(outcome.complete for outcome in outcomes),
          f"none of {len(outcomes)} calls was cut short or refused")
    counts = fleet.upstream_counts(leaving)
    check(counts["runs"] == counts["finished"],
          "every call that it had started was finished")
    fleet.start_daemon(leaving)
    run.wait_for(lambda: fleet.versions_in_force([leaving]) == [1],
                 "the restarted daemon to have the configuration")


def upstream_fails_fast(fleet):
    failing = vms_serving(fleet, "escaparate")[0]
    entries = vms_serving(fleet, "reservas")
    fleet.set_upstream(failing, "fail=1")
    first_calls = BackgroundCalls(browse_call(entries), threads=4)
    first_calls.wait_for_more(200)
    first_calls.stop()
    later_calls = BackgroundCalls(browse_call(entries), threads=4)
    later_calls.wait_for_more(LATER_CALLS)
    outcomes = later_calls.stop()
    fleet.set_upstream(failing, "fail=0")
    failed = sum(1 for outcome in outcomes if not outcome.complete)
    check(failed <= MAX_FAILED_SHARE * len(outcomes),
          f"{failed} of {len(outcomes)} calls failed at the failing upstream")


def store_fails(fleet):
    entries = vms_serving(fleet, "reservas") + vms_serving(fleet, "escaparate")
    flood = BackgroundCalls(browse_call(entries), threads=4)
    for fault in ("down=1", "down=0", "slow_ms=3000", "slow_ms=0",
                  "lose_next_answer=1"):
        fleet.set_store(fault)
        flood.wait_for_more(100)
    outcomes = flood.stop()
    check(all(outcome.complete for outcome in outcomes),
          f"none of {len(outcomes)} calls without a key failed")


def main():
    fleet = FaultFleet(sys.argv[1], TOPOLOGY, PREFIX)
    try:
        fleet.start()
        store_fails(fleet)
        upstream_fails_fast(fleet)
        sigterm_under_load(fleet)
        gate_killed_during_call_that_must_not_repeat(fleet)
        gate_killed_during_repeatable_call(fleet)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
