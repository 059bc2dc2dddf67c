#!/usr/bin/env python3
"""Uploads whose call ends before their body, over real processes.

The daemon must neither end nor lose the other calls that it holds.
"""

import http.client
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import HOST, Rig, check, configuration, wait_for
from raw_http import Connection, parse_problem

ROUTES = {"/near/": ("alpha", "upload"), "/far/": ("beta", "upload"),
          "/small/": ("alpha", "idempotent")}
BODY_BYTES = 1_000_000
SENT_AT_FIRST_BYTES = 100_000


class Upload:
    """An upload of which only the first part is sent at first."""

    def __init__(self, rig, vm, path, time_left_ms=5000, chunked=False,
                 body_delay_s=0):
        for other in rig.vms:
            other.upstream.body_delay_s = body_delay_s
        address, port = vm.outbound.split(":")
        self.attempt = f"upload-{next(rig.attempt_numbers)}"
        self.connection = Connection(address, int(port))
        length = "Transfer-Encoding: chunked" if chunked \
            else f"Content-Length: {BODY_BYTES}"
        self.connection.send(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {self.attempt}\r\nTimeout-Ms: {time_left_ms}\r\n"
            f"{length}\r\n\r\n")
        self.send = self.send_chunk if chunked else self.connection.send
        self.send(b"x" * SENT_AT_FIRST_BYTES)

    def send_chunk(self, data):
        self.connection.send(b"%x\r\n%s\r\n" % (len(data), data))

    def send_rest(self):
        try:
            self.send(b"x" * (BODY_BYTES - SENT_AT_FIRST_BYTES))
        except OSError:
            pass

    def problem_kind(self):
        problem = parse_problem(self.connection.read_answer())
        return problem and problem["kind"]

    def status(self):
        answer = self.connection.read_answer()
        return answer and answer[0]


def upstreams_answer_early(rig, status):
    for vm in rig.vms:
        vm.upstream.early_status = status


def kill_upstreams_daemon(rig, upload):
    rig.vms[1].stop(signal.SIGKILL)
    return upload.problem_kind() == "link-broken"


def pass_the_deadline(rig, upload):
    return upload.status() in (408, 503, 504)


def stall(rig, upload):
    upload.send_rest()
    return upload.status() in (503, 504)


def answer_early(status):
    def play(rig, upload):
        return upload.status() == status
    return play


def send_too_much(rig, upload):
    upload.send_rest()
    upload.send_rest()
    return upload.status() == 413


def close_midway(rig, upload):
    upload.connection.close()
    return True


# Name, path, what happens while the body is under way, status of early
# answers, further arguments of the upload.
CASES = [
    ("refused after its link broke", "/far/", kill_upstreams_daemon, None, {}),
    ("refused at its deadline", "/far/", pass_the_deadline, None,
     {"time_left_ms": 700}),
    ("refused at its deadline beside its upstream", "/near/",
     pass_the_deadline, None, {"time_left_ms": 700}),
    ("refused while its upstream does not read", "/far/", stall, None,
     {"time_left_ms": 700, "body_delay_s": 3}),
    ("refused while its upstream does not read, beside it", "/near/", stall,
     None, {"time_left_ms": 700, "body_delay_s": 3}),
    ("answered early", "/far/", answer_early(200), 200, {}),
    ("answered early beside its upstream", "/near/", answer_early(200), 200,
     {}),
    ("failed early", "/far/", answer_early(500), 500, {}),
    ("shed early", "/far/", answer_early(503), 503, {}),
    ("too large", "/far/", send_too_much, None, {"chunked": True}),
    ("left by its caller", "/far/", close_midway, None, {}),
]


def other_calls_are_answered(rig, vm, event):
    """Return what `event` returns, and the status of a call open meanwhile."""
    statuses = []

    def make_call():
        try:
            statuses.append(vm.call("/small/1")[1])
        except (OSError, http.client.HTTPException):
            pass

    call = threading.Thread(target=make_call)
    for other in rig.vms:
        other.upstream.delay_s = 1
    call.start()
    time.sleep(0.2)
    for other in rig.vms:
        other.upstream.delay_s = 0
    outcome = event()
    call.join()
    return outcome, statuses


def upload_that_ends_midway_does_not_end_the_daemon(rig):
    caller_vm = rig.vms[0]
    for name, path, play, early_status, arguments in CASES:
        def event():
            upstreams_answer_early(rig, early_status)
            upload = Upload(rig, caller_vm, path + "up", **arguments)
            time.sleep(0.2)
            as_expected = play(rig, upload)
            time.sleep(0.2)
            upload.send_rest()
            return as_expected
        try:
            as_expected, statuses = other_calls_are_answered(
                rig, caller_vm, event)
        except OSError as failure:
            as_expected, statuses = failure, []
        time.sleep(0.2)
        check(caller_vm.process.poll() is None,
              f"an upload {name} does not end the daemon")
        check(as_expected is True, f"an upload {name} gets its answer")
        check(statuses == [200], f"beside an upload {name} a call is answered")
        upstreams_answer_early(rig, None)
        for vm in rig.vms:
            vm.upstream.body_delay_s = 0
        far_vm = rig.vms[1]
        if far_vm.process.poll() is not None:
            far_vm.start()
        wait_for(lambda: caller_vm.call("/far/1", "POST", b"whole")[1] == 200,
                 f"after an upload {name} others run")


def upload_under_way_at_sigterm_is_completed(rig):
    leaving = rig.vms[0]
    upload = Upload(rig, leaving, "/far/up")
    time.sleep(0.2)
    leaving.process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    upload.send_rest()
    check(upload.status() == 200, "an upload under way at SIGTERM is answered")
    check(leaving.process.wait(timeout=6) == 0,
          "its daemon exits with 0 within 6 s")


def main():
    with Rig(sys.argv[1], ["alpha", "beta", "alpha"]) as rig:
        for vm in rig.vms:
            vm.start()
        rig.store.put_configuration(configuration(3, ROUTES))
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for vm in rig.vms:
            wait_for(vm.is_ready, f"{vm.name} is ready")
        for path in ROUTES:
            wait_for(lambda: rig.vms[0].call(path + "1", "POST")[1] == 200,
                     f"{path} is served")
        upload_that_ends_midway_does_not_end_the_daemon(rig)
        upload_under_way_at_sigterm_is_completed(rig)
    return 0


if __name__ == "__main__":
    sys.exit(main())
