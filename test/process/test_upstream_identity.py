#!/usr/bin/env python3
"""Which upstream runs on a VM, over real processes.

A check-in of another writer must not keep an upstream that leaves in use, and
after SIGHUP a daemon must follow the service that its settings name.
"""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import Rig, check, configuration, wait_for

# Less than the 1.2 s after which an upstream without check-ins lapses.
DRAIN_S = 0.5
CALLS = 20


def another_writers(upstream, without=()):
    """Return a check-in of a later start that the upstream did not make."""
    body = upstream.check_in_body("ready", sequence=1)
    body["born"] = int(time.time() * 1000) + 60_000
    return {name: value for name, value in body.items()
            if name not in without}


def other_writers_do_not_hide_a_leave(caller_vm, vm):
    upstream = vm.upstream
    for field in upstream.check_in_body(sequence=1):
        status = upstream.check_in(another_writers(upstream, [field]))
        check(status == 400, f"a check-in without {field} is refused")
    check(upstream.check_in(another_writers(upstream)) == 200,
          "a complete check-in of another writer is accepted")
    time.sleep(2)
    upstream.received_calls.clear()
    # It counts as newly started, so that entries prefer others for a while.
    wait_for(lambda: caller_vm.call("/b/")[1] == 200 and
             upstream.received_calls, "the upstream is still in use")
    upstream.check_in(another_writers(upstream))
    time.sleep(0.1)
    check(upstream.leave() == 200, "its draining is acknowledged")
    left_at = time.monotonic()
    while time.monotonic() < left_at + 2 * DRAIN_S:
        caller_vm.call("/b/")
        time.sleep(0.02)
    late = [call for call in upstream.received_calls
            if call["received_at_s"] > left_at + DRAIN_S]
    check(not late, f"no call reaches it later than {DRAIN_S} s: {len(late)}")


def callers_service_follows_the_settings(vm, running):
    vm.upstream.check_ins_enabled.clear()
    time.sleep(0.5)
    old_check_in = vm.upstream.check_in_body()
    vm.service = "gamma"
    values = vm.settings.read_text().replace('"alpha"', '"gamma"')
    vm.settings.write_text(values)
    vm.process.send_signal(signal.SIGHUP)
    wait_for(lambda: vm.upstream.check_in(old_check_in) == 400,
             "check-ins of the earlier service are refused")
    running.upstream.received_calls.clear()
    for _ in range(CALLS):
        check(vm.call("/b/")[1] == 200, "a call is served")
    names = {call["caller"] for call in running.upstream.received_calls}
    check(names == {"gamma"}, f"calls carry the service of the settings: {names}")


def main():
    with Rig(sys.argv[1], ["alpha", "beta", "beta"], "127.23") as rig:
        # The caller's daemon prefers the upstream of its own domain.
        caller_vm, staying, leaving = rig.vms
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(
            configuration(3, {"/b/": ("beta", "idempotent")}))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        wait_for(lambda: caller_vm.call("/b/")[1] == 200 and
                 leaving.upstream.received_calls, f"{leaving.name} is in use")
        other_writers_do_not_hide_a_leave(caller_vm, leaving)
        callers_service_follows_the_settings(caller_vm, staying)
    return 0


if __name__ == "__main__":
    sys.exit(main())
