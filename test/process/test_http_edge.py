#!/usr/bin/env python3
"""Malformed requests and callers that disconnect, on the callers' port.

Each must get the status and kind that name its fault. A lenient parser could
take one request for two, run a truncated body as a complete one, or keep the
call of a caller that is gone; calls on other connections must not be lost.
"""

import sys

from fleet import Checks, FixtureFleet, wait_for
from raw_http import Connection, parse_problem

LIMIT = 1048576  # body limit of POST /deposits, in bytes

# Description, bytes of the request, and the expected status and kind.
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
    for description, request, status, kind in BAD_REQUESTS:
        caller = Connection(address)
        caller.send(request)
        answer = caller.read_answer()
        document = parse_problem(answer)
        checks.expect(document is not None and answer[0] == status
                      and document["kind"] == kind
                      and document["outcome"] == "not-run"
                      and document["remedy"],
                      f"{description} gives {status} {kind}, not {answer}")
        caller.close()


def check_truncated(checks, address):
    for description, request in (
            ("a truncated head", "GET /reservas/x HTT"),
            ("a truncated body", "POST /reservas/deposits HTTP/1.1\r\n"
             "Host: a\r\nContent-Length: 10\r\n\r\nabc")):
        caller = Connection(address)
        caller.send(request)
        caller.half_close()
        answer = caller.read_answer()
        checks.expect(answer is not None and answer[0] == 400
                      and parse_problem(answer),
                      f"{description} gives 400, not {answer}")


def check_slow_head(checks, address):
    caller = Connection(address)
    caller.send("GET /reservas/x HTTP/1.1\r\nHost:")
    answer = caller.read_answer()
    checks.expect(answer is not None and answer[0] == 408,
                  f"a slow head gives 408, not {answer}")


def check_long_chunked_body(checks, fleet, address):
    """Exceed the body limit with chunks, after the head is on its way.

    The upstream must not take the part that it received for the full body.
    """
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
    checks.expect(answer is not None and answer[0] == 413,
                  f"a long chunked body gives 413, not {answer}")
    checks.expect("too-long" not in
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
    checks.expect(nonces == [f"p{number}" for number in range(count)],
                  f"pipelined requests are answered in order: {nonces}")


def check_protocol(checks, address):
    caller = Connection(address)
    caller.send("POST /reservas/deposits HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n")
    checks.expect(caller.read_head()[0] == 100, "100 Continue is sent")
    caller.send("abcde")
    answer = caller.read_answer()
    checks.expect(answer[0] == 200 and answer[2] == b"abcde",
                  f"the expected body is answered: {answer}")

    caller = Connection(address)
    caller.send("GET /reservas/x HTTP/1.0\r\nX-Nonce: old\r\n\r\n")
    answer = caller.read_answer()
    checks.expect(answer[0] == 200 and answer[1].get("x-nonce") == "old"
                  and "transfer-encoding" not in answer[1],
                  f"HTTP/1.0 is answered: {answer}")
    checks.expect(caller.is_closed(), "HTTP/1.0 closes by default")

    caller = Connection(address)
    caller.send("HEAD /reservas/x HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /reservas/x HTTP/1.1\r\nHost: a\r\nX-Nonce: h\r\n\r\n")
    answer = caller.read_answer(has_body=False)
    after = caller.read_answer()
    checks.expect(answer[0] in (200, 404) and after is not None
                  and after[0] == 200 and after[1].get("x-nonce") == "h",
                  f"HEAD has no body: {answer}, {after}")


def check_caller_gone(checks, fleet, address):
    """A repeatable call frees its slot when its caller disconnects."""
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
             "the calls to be canceled")
    checks.expect(True, "calls of callers that disconnected are canceled")


def metrics(fleet):
    import urllib.request
    endpoint = f"http://{fleet.vms[1]['address']}:7105/metrics"
    return urllib.request.urlopen(endpoint, timeout=5).read().decode()


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
    with FixtureFleet("links") as fleet:
        address = fleet.address("lavanderia-1")  # calls cross a link
        steady_calls = fleet.start_load(
            "--targets", f"{address}:7100", "--path", "/reservas/steady",
            "--rate", 50, "--seconds", 12, "--connections", 8)
        check_bad_requests(checks, address)
        check_truncated(checks, address)
        check_slow_head(checks, address)
        check_long_chunked_body(checks, fleet, address)
        check_pipelining(checks, address)
        check_protocol(checks, address)
        check_caller_gone(checks, fleet, address)
        from fleet import read_load_report
        report = read_load_report(steady_calls)
        checks.expect(report["answered"] == report["calls"],
                      f"no other call is lost: {report}")
    checks.expect(set(fleet.exit_codes.values()) == {0},
                  f"every daemon exits with 0: {fleet.exit_codes}")
    return checks.finish()


if __name__ == "__main__":
    sys.exit(main())
