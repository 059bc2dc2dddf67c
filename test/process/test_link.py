#!/usr/bin/env python3
"""Large bodies, many calls at once and foreign peers on the link between two
daemons."""

import base64
import http.client
import os
import socket
import sys

from fleet import Checks, SmallFleet, report

BODY_BYTES = 64 * 1024 * 1024
# One body each way holds at most its two windows of 128 KB, the link's window
# of 256 KB and the sockets' buffers in each daemon; the rest is allocator.
MEMORY_GROWTH_KB = 24 * 1024


def resident_kb(process, field="VmHWM"):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith(field + ":"):
                return int(line.split()[1])
    return 0


def check_large_body(checks, fleet):
    """64 MB up and down while small calls flow on the same link."""
    entry = fleet.address("reservas-1")
    before = {member: resident_kb(process, "VmRSS")
              for member, process in fleet.daemons.items()}
    small = fleet.load("--targets", f"{entry}:7100", "--path",
                       "/lavanderia/records", "--rate", 100, "--seconds", 6,
                       "--connections", 8)
    body = os.urandom(BODY_BYTES)
    connection = http.client.HTTPConnection(entry, 7100, timeout=60)
    connection.request("PUT", "/lavanderia/photographs/1", body=body)
    answer = connection.getresponse()
    received = answer.read()
    connection.close()
    checks.that(answer.status == 200 and received == body,
                f"64 MB come back byte-exact: {answer.status}, "
                f"{len(received)} bytes")
    seen = report(small)
    checks.that(seen["answered"] == seen["calls"],
                f"small calls flow beside it: {seen}")
    print(f"small calls beside 64 MB: p50 {seen['p50_ms']:.1f} ms, "
          f"p99 {seen['p99_ms']:.1f} ms")
    for member, process in fleet.daemons.items():
        grown = resident_kb(process) - before[member]
        print(f"{member} grew by {grown} KB")
        checks.that(grown <= MEMORY_GROWTH_KB,
                    f"{member}'s memory is bounded: {grown} KB")


def check_many_calls(checks, fleet):
    entry = fleet.address("lavanderia-1")
    seen = report(fleet.load(
        "--targets", f"{entry}:7100", "--path", "/reservas/nonces",
        "--calls", 10000, "--connections", 64))
    checks.that(seen["calls"] == 10000 and seen["crossed"] == 0
                and seen["cut"] == 0 and seen["unreachable"] == 0,
                f"no answer is crossed: {seen}")
    checks.that(seen["answered"] + seen["refused"] == 10000,
                f"every call is answered or refused: {seen}")
    print(f"10,000 calls at 64 at once: {seen}")


def frame(payload):
    """A masked binary WebSocket frame."""
    size = len(payload)
    head = b"\x82" + (bytes([0x80 | size]) if size < 126
                      else bytes([0x80 | 126]) + size.to_bytes(2, "big"))
    return head + b"\0\0\0\0" + payload


def open_link(address):
    link = socket.create_connection((address, 7102), timeout=10)
    key = base64.b64encode(os.urandom(16)).decode()
    link.sendall((f"GET / HTTP/1.1\r\nHost: {address}\r\nUpgrade: websocket\r"
                  "\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                  f"Sec-WebSocket-Key: {key}\r\n\r\n").encode())
    head = b""
    while b"\r\n\r\n" not in head:
        head += link.recv(4096)
    return link


def ends(link):
    """Whether the peer closes the link."""
    try:
        while link.recv(4096):
            pass
    except ConnectionResetError:
        pass
    except socket.timeout:
        return False
    return True


FOREIGN_FRAMES = [
    ("bytes that are not CBOR", b"\xff\xff\xff"),
    ("arrays that nest without end", b"\x81" * 60000),
    ("a call before the handshake", b"\x82\x08\x01"),
    ("a hello without a challenge", b"\x85\x00\x01\x61x\x01\x40"),
    ("a proof before a hello", b"\x83\x02\x61k\x41x"),
]


def check_foreign_peers(checks, fleet):
    gate = fleet.address("reservas-1")
    entry = fleet.address("lavanderia-1")
    steady = fleet.load("--targets", f"{entry}:7100", "--path",
                        "/reservas/steady", "--rate", 50, "--seconds", 4,
                        "--connections", 4)
    for what, payload in FOREIGN_FRAMES:
        link = open_link(gate)
        link.sendall(frame(payload))
        checks.that(ends(link), f"{what} closes the link")
    link = open_link(gate)
    checks.that(ends(link), "a link without a handshake is closed")
    seen = report(steady)
    checks.that(seen["answered"] == seen["calls"],
                f"other calls are unharmed: {seen}")


def main():
    checks = Checks()
    with SmallFleet("links") as fleet:
        check_large_body(checks, fleet)
        check_many_calls(checks, fleet)
        check_foreign_peers(checks, fleet)
    checks.that(set(fleet.codes.values()) == {0}, f"exits {fleet.codes}")
    return checks.end()


if __name__ == "__main__":
    sys.exit(main())
