#!/usr/bin/env python3
"""Callers that send what they should not, or go away: each gets a clear
answer and no other call is lost."""

import sys

from fleet import Checks, SmallFleet, wait_for
from raw_http import Connection, problem

LIMIT = 1048576  # of POST /deposits

# Bytes of a whole request, and the status and kind that answer it.
BAD_REQUESTS = [
    ("no request line", "nonsense\r\n\r\n", 400, "malformed-request"),
    ("a bad field", "GET /reservas/x HTTP/1.1\r\nHost: a\r\nbad field: x\r\n"
     "\r\n", 400, "malformed-request"),
    ("no host", "GET /reservas/x HTTP/1.1\r\n\r\n", 400, "malformed-request"),
    ("two hosts", "GET /reservas/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
     400, "malformed-request"),
    ("length and coding", "POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     400, "malformed-request"),
    ("coding and length", "POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
     "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
     400, "malformed-request"),
    ("two lengths", "POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
     "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
     400, "malformed-request"),
    ("an unknown coding", "POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
     "Transfer-Encoding: gzip\r\n\r\n", 400, "malformed-request"),
    ("a head that is too large", "GET /reservas/x HTTP/1.1\r\nHost: a\r\nX: "
     + "x" * 20000 + "\r\n\r\n", 431, "head-too-large"),
    ("a body that is too long", "POST /reservas/deposits HTTP/1.1\r\nHost: a"
     f"\r\nContent-Length: {LIMIT + 1}\r\n\r\n", 413, "body-too-large"),
    ("an unknown service", "GET /nothing/x HTTP/1.1\r\nHost: a\r\n\r\n", 404,
     "no-such-service"),
    ("a target that is not text", b"GET /nothing/\xff HTTP/1.1\r\nHost: a\r\n"
     b"\r\n", 404, "no-such-service"),
    ("a bad chunk", "POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
     "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "malformed-request"),
]


def check_bad_requests(checks, address):
    for what, request, status, kind in BAD_REQUESTS:
        caller = Connection(address)
        caller.send(request)
        answer = caller.read_answer()
        told = problem(answer)
        checks.that(told is not None and answer[0] == status
                    and told["kind"] == kind and told["outcome"] == "not-run"
                    and told["remedy"], f"{what} gives {status} {kind}, not "
                    f"{answer}")
        caller.close()


def check_truncated(checks, address):
    for what, request in (
            ("a truncated head", "GET /reservas/x HTT"),
            ("a truncated body", "POST /reservas/deposits HTTP/1.1\r\n"
             "Host: a\r\nContent-Length: 10\r\n\r\nabc")):
        caller = Connection(address)
        caller.send(request)
        caller.half_close()
        answer = caller.read_answer()
        checks.that(answer is not None and answer[0] == 400
                    and problem(answer), f"{what} gives 400, not {answer}")


def check_slow_head(checks, address):
    caller = Connection(address)
    caller.send("GET /reservas/x HTTP/1.1\r\nHost:")
    answer = caller.read_answer()
    checks.that(answer is not None and answer[0] == 408,
                f"a slow head gives 408, not {answer}")


def check_long_chunked_body(checks, fleet, address):
    """The upstream must not take what came so far for the whole."""
    caller = Connection(address)
    caller.send("POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
                "Idempotency-Key: too-long\r\n"
                "Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"x" * 65536
    framed = f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
    try:
        for _ in range(LIMIT // len(chunk) + 1):
            caller.send(framed)
    except OSError:
        pass
    answer = caller.read_answer()
    checks.that(answer is not None and answer[0] == 413,
                f"a long chunked body gives 413, not {answer}")
    checks.that("too-long" not in
                fleet.counts("reservas-1")["runs_by_key"],
                "a body over the limit never runs")


def check_pipelining(checks, address):
    caller = Connection(address)
    count = 20
    caller.send("".join(
        f"GET /reservas/n{number}?work_ms={number % 3} HTTP/1.1\r\nHost: a\r\n"
        f"X-Nonce: p{number}\r\n\r\n" for number in range(count)))
    nonces = []
    for _ in range(count):
        answer = caller.read_answer()
        nonces.append(answer and answer[1].get("x-nonce"))
    checks.that(nonces == [f"p{number}" for number in range(count)],
                f"pipelined requests are answered in order: {nonces}")


def check_protocol(checks, address):
    caller = Connection(address)
    caller.send("POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n")
    checks.that(caller.read_head()[0] == 100, "100 Continue is sent")
    caller.send("abcde")
    answer = caller.read_answer()
    checks.that(answer[0] == 200 and answer[2] == b"abcde",
                f"the expected body is answered: {answer}")

    caller = Connection(address)
    caller.send("GET /reservas/x HTTP/1.0\r\nX-Nonce: old\r\n\r\n")
    answer = caller.read_answer()
    checks.that(answer[0] == 200 and answer[1].get("x-nonce") == "old"
                and "transfer-encoding" not in answer[1],
                f"HTTP/1.0 is answered: {answer}")
    checks.that(caller.is_closed(), "HTTP/1.0 closes by default")

    caller = Connection(address)
    caller.send("HEAD /reservas/x HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /reservas/x HTTP/1.1\r\nHost: a\r\nX-Nonce: h\r\n\r\n")
    answer = caller.read_answer(has_body=False)
    after = caller.read_answer()
    checks.that(answer[0] in (200, 404) and after is not None
                and after[0] == 200 and after[1].get("x-nonce") == "h",
                f"HEAD has no body: {answer}, {after}")


def check_caller_gone(checks, fleet, address):
    """A repeatable call whose caller left frees its slot at the upstream."""
    callers = []
    for _ in range(3):
        caller = Connection(address)
        caller.send("GET /reservas/slow?work_ms=1400 HTTP/1.1\r\nHost: a\r\n"
                    "\r\n")
        callers.append(caller)
    wait_for(lambda: gauge(fleet, "galenarudder_open_calls") >= 3,
             "the calls to be open")
    for caller in callers:
        caller.close()
    wait_for(lambda: refusals(fleet, "canceled") >= 3,
             "the calls to be given up")
    checks.that(True, "calls of callers that left are given up")


def metrics(fleet):
    import urllib.request
    where = f"http://{fleet.vms[1]['address']}:7105/metrics"
    return urllib.request.urlopen(where, timeout=5).read().decode()


def gauge(fleet, name):
    for line in metrics(fleet).splitlines():
        if line.startswith(name + " "):
            return float(line.split()[-1])
    return 0


def refusals(fleet, kind):
    total = 0
    for line in metrics(fleet).splitlines():
        if line.startswith("galenarudder_refusals_total") and kind in line:
            total += float(line.split()[-1])
    return total


def main():
    checks = Checks()
    with SmallFleet("links") as fleet:
        address = fleet.address("lavanderia-1")  # calls cross a link
        steady = fleet.load("--targets", f"{address}:7100", "--path",
                            "/reservas/steady", "--rate", 50, "--seconds", 12,
                            "--connections", 8)
        check_bad_requests(checks, address)
        check_truncated(checks, address)
        check_slow_head(checks, address)
        check_long_chunked_body(checks, fleet, address)
        check_pipelining(checks, address)
        check_protocol(checks, address)
        check_caller_gone(checks, fleet, address)
        from fleet import report
        seen = report(steady)
        checks.that(seen["answered"] == seen["calls"],
                    f"no other call is lost: {seen}")
    checks.that(set(fleet.codes.values()) == {0}, f"exits {fleet.codes}")
    return checks.end()


if __name__ == "__main__":
    sys.exit(main())
