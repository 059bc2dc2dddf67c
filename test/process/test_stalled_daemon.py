#!/usr/bin/env python3
"""Daemons that stand still for a second, with calls waiting in their sockets.

A call whose caller has left, or whose deadline passed meanwhile, must not be
sent to an upstream once the daemon goes on.
"""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import HOST, Rig, check, configuration, wait_for
from raw_http import Connection

ROUTES = {"/again/": ("beta", "idempotent"),
          "/once/": ("beta", "non_idempotent")}
PATIENCE_S = 0.3
STALL_S = 1.2
CALLERS = 12


def send_call(rig, vm, method, path, leaves):
    """Send a call; the caller stays silent or leaves when it lost patience."""
    attempt = f"stalled-{next(rig.attempt_numbers)}"
    address, port = vm.outbound.split(":")
    connection = Connection(address, int(port))
    connection.send(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: {attempt}\r\n"
                    f"Timeout-Ms: {int(PATIENCE_S * 1000)}\r\n"
                    "Content-Length: 0\r\n\r\n")
    if leaves:
        threading.Timer(PATIENCE_S, connection.close).start()
    return attempt, connection


def stall(rig, stalled_vm, caller_vm, upstream, method, path, leaves):
    """Return the calls that reached the upstream after their deadline."""
    stalled_vm.process.send_signal(signal.SIGSTOP)
    calls = [send_call(rig, caller_vm, method, path, leaves)
             for _ in range(CALLERS)]
    end = time.monotonic() + PATIENCE_S
    time.sleep(STALL_S)
    stalled_vm.process.send_signal(signal.SIGCONT)
    time.sleep(1)
    for _, connection in calls:
        connection.close()
    attempts = {attempt for attempt, _ in calls}
    return [call["id"] for call in upstream.received_calls
            if call["id"] in attempts and call["received_at_s"] > end]


def main():
    with Rig(sys.argv[1], ["alpha", "beta"], "127.34") as rig:
        caller_vm, upstream_vm = rig.vms
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        late = {}
        # Where callers stay, only a daemon behind a link can tell that it is late:
        # a request does not state when it was sent.
        for name, stalled_vm, leaves in [
                ("the entry's daemon", caller_vm, True),
                ("the gate's daemon, callers leave", upstream_vm, True),
                ("the gate's daemon, callers stay", upstream_vm, False)]:
            for method, path in [("GET", "/again/x"), ("POST", "/once/x")]:
                wait_for(lambda: caller_vm.call(path, method)[1] == 200,
                         f"{path} is served")
                late[f"{name}: {path}"] = stall(
                    rig, stalled_vm, caller_vm, upstream_vm.upstream, method,
                    path, leaves)
        print({name: len(calls) for name, calls in late.items()}, flush=True)
        for name, calls in late.items():
            check(not calls, f"no call is sent on late after a stall of {name}")


if __name__ == "__main__":
    main()
