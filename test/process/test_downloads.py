#!/usr/bin/env python3
"""Large answers whose callers leave midway, over real processes.

Each such call must free its slot and its connection at the upstream.
"""

import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import HOST, Rig, check, configuration, wait_for
from raw_http import Connection

# Calls of the kind "idempotent" may run twice.
ROUTES = {"/near/": ("alpha", "upload"),
          "/near-again/": ("alpha", "idempotent"),
          "/far/": ("beta", "upload"), "/far-again/": ("beta", "idempotent")}
# More than the buffers of the sockets on the way take.
ANSWER_BYTES = 32_000_000
# More than the slots of an upstream.
CALLERS = 8


def leave_midway(vm, path, attempt):
    address, port = vm.outbound.split(":")
    connection = Connection(address, int(port))
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    connection.send(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: {attempt}\r\nTimeout-Ms: 2000\r\n\r\n")
    head = connection.read_head()
    time.sleep(0.3)
    connection.close()
    return head and head[0]


def callers_that_leave_midway_free_their_slots(rig, path):
    caller_vm = rig.vms[0]
    for vm in rig.vms:
        vm.upstream.answer_bytes = ANSWER_BYTES
    statuses = [leave_midway(caller_vm, path + "large",
                             f"{path[1:-1]}-{number}")
                for number in range(CALLERS)]
    check(statuses == [200] * CALLERS,
          f"{path}: {CALLERS} large answers begin: {statuses}")
    for vm in rig.vms:
        vm.upstream.answer_bytes = 0
    statuses = [caller_vm.call(path + "small")[1] for _ in range(CALLERS)]
    check(statuses == [200] * CALLERS,
          f"{path}: calls after them are answered: {statuses}")


def main():
    with Rig(sys.argv[1], ["alpha", "beta"]) as rig:
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for vm in rig.vms:
            wait_for(vm.is_ready, f"{vm.name} is ready")
        for path in ROUTES:
            wait_for(lambda: rig.vms[0].call(path + "1")[1] == 200,
                     f"{path} is served")
            callers_that_leave_midway_free_their_slots(rig, path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
