#!/usr/bin/env python3
"""Large bodies, many concurrent calls and unauthenticated peers on the link
between two daemons.

A large body could fill a daemon's memory or block the small calls beside it,
answers of concurrent calls could be swapped, and a peer that sends malformed
messages or no handshake could keep a link open or disturb other calls.
"""

import base64
import http.client
import os
import socket
import sys

from fleet import Checks, FixtureFleet, read_load_report

BODY_BYTES = 64 * 1024 * 1024
# One body each way holds at most its two windows of 128 KB, the link's window
# of 256 KB and the sockets' buffers in each daemon; the rest is
# allocator overhead.
MEMORY_GROWTH_KB = 24 * 1024


def resident_kb(process, field="VmHWM"):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith(field + ":"):
                return int(line.split()[1])
    return 0


def check_large_body(checks, fleet):
    """Send 64 MB up and down while small calls use the same link."""
    entry = fleet.address("reservas-1")
    memory_before_kb = {member: resident_kb(process, "VmRSS")
                        for member, process in fleet.daemons.items()}
    small_calls = fleet.start_load("--targets", f"{entry}:7100", "--path",
                                   "/lavanderia/records", "--rate", 100,
                                   "--seconds", 6, "--connections", 8)
    body = os.urandom(BODY_BYTES)
    connection = http.client.HTTPConnection(entry, 7100, timeout=60)
    connection.request("PUT", "/lavanderia/photographs/1", body=body)
    answer = connection.getresponse()
    received = answer.read()
    connection.close()
    checks.expect(answer.status == 200 and received == body,
                  f"64 MB come back unchanged: {answer.status}, "
                  f"{len(received)} bytes")
    report = read_load_report(small_calls)
    checks.expect(report["answered"] == report["calls"],
                  f"small calls are answered meanwhile: {report}")
    print(f"small calls during the 64 MB: p50 {report['p50_ms']:.1f} ms, "
          f"p99 {report['p99_ms']:.1f} ms")
    for member, process in fleet.daemons.items():
        growth_kb = resident_kb(process) - memory_before_kb[member]
        print(f"{member} grew by {growth_kb} KB")
        checks.expect(growth_kb <= MEMORY_GROWTH_KB,
                      f"{member}'s memory is bounded: {growth_kb} KB")


def check_many_calls(checks, fleet):
    entry = fleet.address("lavanderia-1")
    report = read_load_report(fleet.start_load(
        "--targets", f"{entry}:7100", "--path", "/reservas/nonces",
        "--calls", 10000, "--connections", 64))
    checks.expect(report["calls"] == 10000 and report["crossed"] == 0
                  and report["cut"] == 0 and report["unreachable"] == 0,
                  f"no answer is swapped or cut short: {report}")
    checks.expect(report["answered"] + report["refused"] == 10000,
                  f"every call is answered or refused: {report}")
    print(f"10,000 calls, 64 at a time: {report}")


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


def is_closed_by_peer(link):
    """Return whether the peer closes the link."""
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
    ("arrays nested 60,000 deep", b"\x81" * 60000),
    ("a call before the handshake", b"\x82\x08\x01"),
    ("a hello without a challenge", b"\x85\x00\x01\x61x\x01\x40"),
    ("a proof before a hello", b"\x83\x02\x61k\x41x"),
]


def check_foreign_peers(checks, fleet):
    gate = fleet.address("reservas-1")
    entry = fleet.address("lavanderia-1")
    steady_calls = fleet.start_load("--targets", f"{entry}:7100", "--path",
                                    "/reservas/steady", "--rate", 50,
                                    "--seconds", 4, "--connections", 4)
    for description, payload in FOREIGN_FRAMES:
        link = open_link(gate)
        link.sendall(frame(payload))
        checks.expect(is_closed_by_peer(link),
                      f"{description} closes the link")
    link = open_link(gate)
    checks.expect(is_closed_by_peer(link),
                  "a link without a handshake is closed")
    report = read_load_report(steady_calls)
    checks.expect(report["answered"] == report["calls"],
                  f"other calls are answered: {report}")


def main():
    checks = Checks()
    with FixtureFleet("links") as fleet:
        check_large_body(checks, fleet)
        check_many_calls(checks, fleet)
        check_foreign_peers(checks, fleet)
    checks.expect(set(fleet.exit_codes.values()) == {0},
                  f"every daemon exits with 0: {fleet.exit_codes}")
    return checks.finish()


if __name__ == "__main__":
    sys.exit(main())
