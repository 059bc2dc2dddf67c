#!/usr/bin/env python3
"""A backend rejects part of its requests and gives part of its answers twice.
Does a booking run twice, or run although its requester was told that it did
not?"""

import http.client
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import case_rig  # noqa: E402  pylint: disable=wrong-import-position
import platform_rig  # noqa: E402  pylint: disable=wrong-import-position

ROUTES = {"/book/": ("beta", "non_idempotent")}
# The largest doses of mantel-norte: garble "extra late" x 0.03 for 5 s at a
# share of 0.6 of the backends, and srv_grey "shed all" x 0.55 for 8.5 s.
GARBLE_X, GARBLE_S = 0.03, 5.0
SHED_X, SHED_S = 0.45, 8.0
WORK_S = 0.02
REQUESTERS = 24


class GreyHandler(platform_rig.UpstreamHandler):
    """Sheds and repeats answers as its server says, else is a sound backend.

    A rejection looks as `fleetbench wire` shows it: status 503 with
    Not-Executed. A second copy of an answer arrives late, just before the next
    answer on the connection.
    """

    extra = b""

    def answer(self, status, body=b"", fields=()):
        sent = (f"HTTP/1.1 {status} {self.responses[status][0]}\r\n"
                + "".join(f"{name}: {value}\r\n" for name, value in fields)
                + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        if self.extra:
            self.wfile.write(self.extra)
            self.wfile.flush()
            self.server.extras += 1
            self.extra = b""
        self.wfile.write(sent)
        if random.random() < self.server.garble_x:
            self.extra = sent

    def serve(self):
        server = self.server
        if self.path.startswith("/book/") and random.random() < server.shed_x:
            self.body()
            server.shed_ids.append(self.headers.get("Attempt-Id", ""))
            return self.answer(503, b"", [("Not-Executed", "1")])
        return super().serve()

    do_GET = do_POST = serve


class Requester(threading.Thread):
    """Books again and again on a connection that it keeps."""

    def __init__(self, vm, number, record, answers):
        super().__init__(daemon=True)
        self.vm, self.number = vm, number
        self.record, self.answers = record, answers
        self.stopped = threading.Event()

    def run(self):
        count = 0
        connection = None
        while not self.stopped.wait(0.07):
            count += 1
            attempt = f"book-{self.number}-{count}"
            sent_s = time.monotonic()
            try:
                connection = connection or http.client.HTTPConnection(
                    self.vm.outbound, timeout=10)
                connection.request("POST", f"/book/{count}", b"1", {
                    "Host": platform_rig.HOST, "Attempt-Id": attempt,
                    "Timeout-Ms": "2000"})
                answer = connection.getresponse()
                status = answer.status
                answer.read()
                if answer.will_close:
                    connection = None
            except (OSError, http.client.HTTPException):
                status, connection = 0, None
            self.record.note(f"{attempt} at {self.vm.name}: status {status}",
                             sent_s)
            self.answers[attempt] = status


def case(record):
    network = case_rig.free_network()
    rig = platform_rig.Rig(case_rig.ROOT / "target",
                           ["alpha", "beta", "alpha", "beta", "beta", "beta"],
                           network)
    with rig:
        for vm in rig.vms:
            case_rig.use_heartbeat(vm, "1500ms")
            vm.upstream.delay_s = WORK_S
        shedding = [vm.upstream for vm in rig.vms if vm.service == "beta"]
        garbling = shedding[:2]
        for grey in shedding:
            grey.shed_x = grey.garble_x = 0
            grey.shed_ids, grey.extras = [], 0
            grey.RequestHandlerClass = GreyHandler
        case_rig.settle(rig, ROUTES)
        answers = {}
        requesters = [Requester(rig.vms[2 * (number % 2)], number, record,
                                answers) for number in range(REQUESTERS)]
        for requester in requesters:
            requester.start()
        time.sleep(2)
        for grey in shedding:
            grey.shed_x = SHED_X
        record.note("the backends shed")
        time.sleep(1)
        if case_rig.TROUBLE:
            for grey in garbling:
                grey.garble_x = GARBLE_X
            record.note("two of four give some answers twice")
        time.sleep(GARBLE_S)
        for grey in garbling:
            grey.garble_x = 0
        record.note("they give each answer once")
        time.sleep(SHED_S - GARBLE_S - 1)
        for grey in shedding:
            grey.shed_x = 0
        time.sleep(1)
        for requester in requesters:
            requester.stopped.set()
        for requester in requesters:
            requester.join(timeout=12)
        runs = {}
        for vm in rig.vms:
            for call in vm.upstream.received_calls:
                runs.setdefault(call["id"], []).append(
                    (call["received_at_s"], call["instance"]))
        twice = [attempt for attempt in answers
                 if len(runs.get(attempt, [])) > 1]
        refused = [attempt for attempt, status in answers.items()
                   if status in (408, 421, 429, 503) and attempt in runs]
        for attempt in twice + refused:
            for at_s, instance in runs[attempt]:
                record.note(f"{attempt} runs at {instance}; its requester got "
                            f"status {answers[attempt]}", at_s)
        record.say(f"{len(answers)} bookings; "
                   f"{sum(len(grey.shed_ids) for grey in shedding)} rejections "
                   f"and {sum(grey.extras for grey in shedding)} second copies "
                   f"of answers by the backends; {len(twice)} bookings ran "
                   f"twice, {len(refused)} ran and were answered as not run")
        return bool(twice or refused)


if __name__ == "__main__":
    case_rig.run_case(HERE, case)
