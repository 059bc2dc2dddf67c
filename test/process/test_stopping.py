#!/usr/bin/env python3
"""The end of a daemon after SIGTERM, over real processes.

No answer of an upstream may be lost because the daemon beside it stops while a
caller at another daemon still reads.
"""

import pathlib
import signal
import sys
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
    return 0


if __name__ == "__main__":
    sys.exit(main())
