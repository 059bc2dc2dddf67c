#!/usr/bin/env python3
"""Connections that a daemon closes after a response, over real processes.

No call may be passed on that cannot be answered any more, and no response may
be lost because the caller had sent more.
"""

import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import HOST, Rig, check, configuration, wait_for
from raw_http import Connection

GRACE_S = 6
ROUTE_TIMEOUT_S = 2
ROUTES = {"/a/": ("alpha", "idempotent")}
# More than the buffers between upstream and caller hold.
LARGE_ANSWER_BYTES = 6_000_000
# Less than the daemon's send buffer takes at once.
BUFFERED_ANSWER_BYTES = 200_000


class SlowCaller:
    """A caller that pipelines and reads late, through a small buffer."""

    def __init__(self, rig, vm, segment_bytes=None, path="/a/1"):
        address, port = vm.outbound.split(":")
        self.path = path
        self.rig = rig
        self.connection = Connection.__new__(Connection)
        self.connection.socket = socket.socket()
        self.connection.socket.setsockopt(socket.SOL_SOCKET,
                                          socket.SO_RCVBUF, 4096)
        if segment_bytes:
            self.connection.socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
        self.connection.socket.settimeout(20)
        self.connection.socket.connect((address, int(port)))
        self.connection.read_ahead = b""

    def send(self):
        attempt = f"call-{next(self.rig.attempt_numbers)}"
        self.connection.send(
            f"GET {self.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {attempt}\r\nTimeout-Ms: 10000\r\n\r\n")
        return attempt

    def read(self):
        """Return the attempt and the size of an answer, or None at the end."""
        try:
            answer = self.connection.read_answer()
        except ConnectionResetError:
            return None
        return answer and (answer[1].get("attempt-id"), len(answer[2]))


def send_sigterm(vm):
    vm.stopping_at = time.monotonic()
    vm.process.send_signal(signal.SIGTERM)


def runs(rig, attempt):
    return sum(call["id"] == attempt for vm in rig.vms
               for call in vm.upstream.received_calls)


def answer_is_made(rig, attempt):
    return any(call["id"] == attempt and "answer_bytes" in call
               for vm in rig.vms for call in vm.upstream.received_calls)


def call_behind_the_last_response_is_not_passed_on(rig, vm):
    for other in rig.vms:
        other.upstream.answer_bytes = LARGE_ANSWER_BYTES
    caller = SlowCaller(rig, vm)
    send_sigterm(vm)
    time.sleep(0.2)
    first = caller.send()
    wait_for(lambda: runs(rig, first) == 1, "the first call runs")
    time.sleep(0.5)
    second = caller.send()
    time.sleep(0.3)
    check(f'"call.answered","call":"{first}"' not in vm.log.read_text(),
          "the last response is still being written")
    check(caller.read() == (first, LARGE_ANSWER_BYTES),
          "the response that closes the connection is complete")
    answered = caller.read() is not None
    check(answered or runs(rig, second) == 0,
          "a call behind the last response is answered or never passed on")


def response_is_not_lost_when_more_was_sent(rig, vm):
    for other in rig.vms:
        other.upstream.answer_bytes = BUFFERED_ANSWER_BYTES
    caller = SlowCaller(rig, vm)
    send_sigterm(vm)
    time.sleep(0.2)
    first = caller.send()
    wait_for(lambda: runs(rig, first) == 1, "the first call runs")
    time.sleep(0.3)
    for _ in range(3):
        try:
            caller.send()
        except OSError:
            break
        time.sleep(0.1)
    check(caller.read() == (first, BUFFERED_ANSWER_BYTES),
          "a response is complete although the caller sent more behind it")


def slow_caller_gets_its_responses_after_the_deadline(rig, vm):
    for other in rig.vms:
        other.upstream.answer_bytes = LARGE_ANSWER_BYTES
    caller = SlowCaller(rig, vm)
    first = caller.send()
    wait_for(lambda: runs(rig, first) == 1, "the first call runs")
    wait_for(lambda: answer_is_made(rig, first), "its answer is made")
    for other in rig.vms:
        other.upstream.answer_bytes = 0
    behind = [caller.send() for _ in range(4)]
    time.sleep(ROUTE_TIMEOUT_S + 1)
    check(caller.read() == (first, LARGE_ANSWER_BYTES),
          "a caller that reads late gets its response whole")
    check([answer and answer[0] for answer in
           [caller.read() for _ in behind]] == behind,
          "the calls behind it are answered")
    send_sigterm(vm)


def caller_that_stays_does_not_delay_the_stop(rig, vm):
    for other in rig.vms:
        other.upstream.delay_s = 1.8
    caller = SlowCaller(rig, vm)
    send_sigterm(vm)
    time.sleep(3)
    attempt = caller.send()
    answer = caller.read()
    # Keeps the connection open until the daemon is gone.
    rig.caller_that_stays = caller
    check(answer is not None and answer[0] == attempt,
          "a call sent after SIGTERM is answered")
    for other in rig.vms:
        other.upstream.delay_s = 0


def main():
    with Rig(sys.argv[1], ["alpha", "alpha"], network="127.8") as rig:
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for case in (call_behind_the_last_response_is_not_passed_on,
                     response_is_not_lost_when_more_was_sent,
                     slow_caller_gets_its_responses_after_the_deadline,
                     caller_that_stays_does_not_delay_the_stop):
            for other in rig.vms:
                other.upstream.answer_bytes = 0
            vm = rig.vms[0]
            wait_for(vm.is_ready, f"{vm.name} is ready")
            wait_for(lambda: vm.call("/a/1")[1] == 200, "it serves")
            case(rig, vm)
            grace_left_s = vm.stopping_at + GRACE_S - time.monotonic()
            check(vm.process.wait(timeout=grace_left_s) == 0,
                  "it exits with 0 within the grace")
            vm.start()
    return 0


if __name__ == "__main__":
    sys.exit(main())
