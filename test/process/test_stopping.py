#!/usr/bin/env python3
"""The end of a daemon after SIGTERM, over real processes.

No answer of an upstream may be lost because the daemon beside it stops while a
caller at another daemon still reads, and a daemon answers its calls before the
platform's grace is over and it is killed.
"""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import Rig, check, configuration, wait_for
from test_closing_connections import SlowCaller

ROUTES = {"/b/": ("beta", "idempotent")}
# Longer than the slow callers take to read their answers.
ROUTE_TIMEOUT_MS = 8000
# Maximum segment size that keeps the send buffer of the entry's socket small.
SMALL_SEGMENT_BYTES = 536
# Less than a gate holds of an answer that the entry can't take yet.
ANSWER_STEP_BYTES = 8 * 1024
MIN_STALLED_ANSWER_BYTES = 64 * 1024
MAX_STALLED_ANSWER_BYTES = 512 * 1024
# An answer that its gate has not read in full by then is stalled.
STALL_S = 0.8
# Later than a gate stops that has no calls: the leave notice (2.2 s) and the
# time for the update that it has left (0.5 s).
STOP_OF_IDLE_GATE_S = 3.5
# The platform's grace; it kills a daemon that still runs then.
GRACE_S = 6
# Longer than the rest of the grace.
SLOW_UPSTREAM_S = 9


def gate_has_ended(vm, attempt):
    return any('"gate.ended"' in line and f'"{attempt}"' in line
               for line in vm.log.read_text(errors="replace").splitlines())


def stalled_answers(rig, entry, gate):
    """Return callers at `entry` with answers of increasing size, unread.

    Their upstream at `gate` has sent all of them. The last one is the largest
    for which that holds, so that `gate` still has its end.
    """
    callers = []
    size = MIN_STALLED_ANSWER_BYTES
    while size < MAX_STALLED_ANSWER_BYTES:
        size += ANSWER_STEP_BYTES
        gate.upstream.answer_bytes = size
        caller = SlowCaller(rig, entry, SMALL_SEGMENT_BYTES, "/b/1")
        attempt = caller.send()
        end = time.monotonic() + STALL_S
        while not gate_has_ended(gate, attempt) and time.monotonic() < end:
            time.sleep(0.05)
        if not gate_has_ended(gate, attempt):
            caller.connection.socket.close()
            break
        callers.append((caller, attempt, size))
    check(callers and size < MAX_STALLED_ANSWER_BYTES,
          f"the gate holds the end of an answer of {callers[-1][2]} bytes")
    return callers


def stop_of_the_gate_does_not_cut_answers(rig, entry, gate):
    callers = stalled_answers(rig, entry, gate)
    gate.process.send_signal(signal.SIGTERM)
    time.sleep(STOP_OF_IDLE_GATE_S)
    answers = [caller.read() for caller, *_ in callers]
    check(answers == [(attempt, size) for _, attempt, size in callers],
          "answers that the upstream had sent before its daemon's SIGTERM are "
          f"not cut when the daemon stops: {answers}")
    check(gate.process.wait(timeout=6) == 0,
          "the gate exits with 0 once its answers are sent")


class Call(threading.Thread):
    """A call that runs beside the test; `status` is None without an answer."""

    def __init__(self, vm, method="GET"):
        super().__init__()
        self.vm = vm
        self.method = method
        self.status = None
        self.start()

    def run(self):
        try:
            body = b"a body" if self.method == "POST" else b""
            self.status = self.vm.call("/b/1", self.method, body,
                                       time_left_ms=ROUTE_TIMEOUT_MS)[1]
        except OSError:
            pass


def calls_are_answered_before_the_grace_is_over(rig, entry, upstream):
    upstream.delay_s = SLOW_UPSTREAM_S
    before = len(upstream.received_calls)
    calls = [Call(entry), Call(entry, "POST")]
    wait_for(lambda: len(upstream.received_calls) == before + 2,
             "two calls run at SIGTERM")
    entry.process.send_signal(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    time.sleep(1.5)
    calls += [Call(entry), Call(entry, "POST")]
    wait_for(lambda: len(upstream.received_calls) == before + 4,
             "two calls run after SIGTERM")
    # The platform kills what still runs at the end of the grace.
    while entry.process.poll() is None and time.monotonic() < end:
        time.sleep(0.02)
    code = entry.process.poll()
    if code is None:
        entry.process.kill()
    for call in calls:
        call.join()
    statuses = [call.status for call in calls]
    check(statuses == [504] * 4,
          "calls that last longer than the grace are answered before its end, "
          f"as unknown: {statuses}")
    check(code == 0, f"the daemon exits with 0 within the grace: {code}")


def main():
    with Rig(sys.argv[1], ["alpha", "beta"], network="127.10") as rig:
        entry, gate = rig.vms
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(
            configuration(3, ROUTES, ROUTE_TIMEOUT_MS))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        wait_for(entry.is_ready, f"{entry.name} is ready")
        wait_for(lambda: entry.call("/b/1")[1] == 200, "it reaches the gate")
        stop_of_the_gate_does_not_cut_answers(rig, entry, gate)
        gate.upstream.answer_bytes = 0
        gate.start()
        wait_for(lambda: entry.call("/b/1")[1] == 200, "the gate is back")
        calls_are_answered_before_the_grace_is_over(rig, entry, gate.upstream)
    return 0


if __name__ == "__main__":
    sys.exit(main())
