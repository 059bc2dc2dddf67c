#!/usr/bin/env python3
"""Callers that leave before a large answer, over real processes.

The daemon beside the upstream must not keep a slot for an answer that nobody
reads: later calls would be refused, and the daemon would not leave on SIGTERM.
"""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import HOST, Rig, check, configuration, wait_for
from raw_http import Connection

ROUTES = {"/once/": ("beta", "non_idempotent"),
          "/again/": ("beta", "idempotent")}
# More than a link carries without credit from the daemon that reads.
ANSWER_BYTES = 1_000_000
# More than the upstream has slots.
LEAVING_CALLERS = 6
# Bytes pipelined behind a call: more than the daemon always reads ahead, and
# more than the kernel holds besides.
PIPELINED_BYTES = [90_000, 500_000]
PIPELINED_REQUESTS = 3
WORK_S = 1.9
CANCELED_WITHIN_S = 0.5


def send_call(rig, vm, path):
    address, port = vm.outbound.split(":")
    connection = Connection(address, int(port))
    connection.send(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: left-{next(rig.attempt_numbers)}\r\n"
                    "Timeout-Ms: 2000\r\nContent-Length: 0\r\n\r\n")
    return connection


def leave_before_answer(rig, vm, path):
    connection = send_call(rig, vm, path)
    time.sleep(0.1)
    connection.close()


def leave_during_answer(rig, vm, path):
    connection = send_call(rig, vm, path)
    status, _ = connection.read_head()
    connection.close()
    return status


# Name, what callers do, how long the upstream works.
CASES = [("before the answer", leave_before_answer, 0.3),
         ("during the answer", leave_during_answer, 0)]


def pipeline_and_leave(rig, vm, size):
    connection = send_call(rig, vm, "/again/first")
    body = b"x" * (size // PIPELINED_REQUESTS)
    for _ in range(PIPELINED_REQUESTS):
        connection.send(f"POST /again/later HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"Attempt-Id: left-{next(rig.attempt_numbers)}\r\n"
                        "Timeout-Ms: 2000\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n")
        connection.send(body)
    time.sleep(0.2)
    connection.close()


def pipelined_calls_end_with_their_caller(rig, caller_vm, upstream_vm):
    upstream = upstream_vm.upstream
    upstream.answer_bytes = 0
    for size in PIPELINED_BYTES:
        upstream.delay_s = WORK_S
        for _ in range(LEAVING_CALLERS):
            pipeline_and_leave(rig, caller_vm, size)
        left_at = time.monotonic()
        time.sleep(CANCELED_WITHIN_S)
        upstream.delay_s = 0
        _, status, _, _ = caller_vm.call("/again/", "POST")
        check(status == 200 and
              time.monotonic() < left_at + 2 * CANCELED_WITHIN_S,
              f"callers that left behind {size} bytes hold no slot 0.5 s later")
        time.sleep(WORK_S)
        late = [call for call in upstream.received_calls
                if call["path"] == "/again/later"]
        check(not late, f"none of their later calls is run: {len(late)}")


def left_calls_free_their_slots(rig, caller_vm, upstream_vm):
    for name, leave, work_s in CASES:
        for path in ROUTES:
            upstream_vm.upstream.answer_bytes = ANSWER_BYTES
            upstream_vm.upstream.delay_s = work_s
            for _ in range(LEAVING_CALLERS):
                leave(rig, caller_vm, path + "left")
            upstream_vm.upstream.delay_s = 0
            attempt, status, fields, body = caller_vm.call(path, "POST")
            check(status == 200 and len(body) == ANSWER_BYTES
                  and fields["Reply-Seal"] == f"seal-of-{attempt}",
                  f"after callers of {path} left {name} others are served")


def main():
    with Rig(sys.argv[1], ["alpha", "beta"], "127.19") as rig:
        caller_vm, upstream_vm = rig.vms
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for path in ROUTES:
            wait_for(lambda: caller_vm.call(path, "POST")[1] == 200,
                     f"{path} is served")
        left_calls_free_their_slots(rig, caller_vm, upstream_vm)
        pipelined_calls_end_with_their_caller(rig, caller_vm, upstream_vm)
        upstream_vm.process.send_signal(signal.SIGTERM)
        check(upstream_vm.process.wait(timeout=6) == 0,
              "the daemon beside the upstream exits with 0 within 6 s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
