#!/usr/bin/env python3
"""Invalid and unfinished responses of upstreams, over real processes.

A caller must never take one for a complete answer, neither beside the upstream
nor over a link, and neither with HTTP/1.1 nor with HTTP/1.0.
"""

import pathlib
import select
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import HOST, Rig, UpstreamHandler, check, configuration, \
    wait_for

ROUTES = {"/near/": ("alpha", "upload"), "/far/": ("beta", "upload"),
          "/small/": ("alpha", "idempotent")}
# More than the windows of a link and the buffers of sockets hold, so that a
# write is under way when the upstream resets its connection.
UPLOAD_BYTES = 32_000_000
PART_BYTES = 64_000
STATED = b"Attempt-Id: %s\r\nReply-Seal: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + STATED
LENGTH = b"Content-Length: 2\r\n"
PART = b"p" * 3000

INVALID = {
    "status-700": b"HTTP/1.1 700 Odd\r\n" + STATED + LENGTH + b"\r\nok",
    "status-000": b"HTTP/1.1 000 Odd\r\n" + STATED + LENGTH + b"\r\nok",
    "blank-in-name": OK + b"Na me: a\r\n" + LENGTH + b"\r\nok",
    "folded": OK + b"Name: a\r\n b\r\n" + LENGTH + b"\r\nok",
    "two-lengths": OK + LENGTH + LENGTH + b"\r\nok",
}
# Parts that are sent before the connection is reset.
CUT_OFF = {
    "reset-at-once": [OK + b"\r\n" + PART],
    "reset-later": [OK + b"\r\n", PART, PART],
    "reset-after-96-kib": [OK + b"\r\n", b"p" * 96 * 1024],
}


class RawHandler(UpstreamHandler):
    """Answers paths that end with the name of a row with its bytes."""

    def serve(self):
        name = self.path.rsplit("/", 1)[-1]
        if name not in INVALID and name not in CUT_OFF:
            super().serve()
            return
        attempt = self.headers.get("Attempt-Id", "").encode()
        for part in CUT_OFF.get(name, [INVALID.get(name)]):
            self.wfile.write(part % attempt if b"%s" in part else part)
            self.wfile.flush()
            time.sleep(0.2)
        self.close_connection = True
        if name in CUT_OFF:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       struct.pack("ii", 1, 0))
            # The server would shut the connection down in order first.
            self.server.shutdown_request = self.server.close_request

    do_GET = do_POST = serve


def upload_and_receive(connection, chunked):
    """Send an upload while reading. Return what was received and whether the
    end was one in order.

    One thread reads before each write: a write on another one can take the
    error of a reset from the socket, and the read then sees an end in order.
    """
    part = b"x" * PART_BYTES
    if chunked:
        part = b"%x\r\n%s\r\n" % (len(part), part)
    unsent = memoryview(part * (UPLOAD_BYTES // PART_BYTES))
    received = b""
    connection.setblocking(False)
    while True:
        select.select([connection], [connection] if unsent else [], [], 20)
        try:
            data = connection.recv(65536)
            if not data:
                return received, True
            received += data
        except BlockingIOError:
            pass
        except ConnectionResetError:
            return received, False
        try:
            if unsent:
                unsent = unsent[connection.send(unsent):]
        except BlockingIOError:
            pass
        except ConnectionResetError:
            # Nothing had ended in order just before.
            return received, False
        except BrokenPipeError:
            unsent = b""


def upload(rig, vm, path, version, chunked):
    """Return the status and whether the response looks complete."""
    address, port = vm.outbound.split(":")
    length = "Transfer-Encoding: chunked" if chunked \
        else f"Content-Length: {UPLOAD_BYTES}"
    with socket.create_connection((address, int(port)), timeout=20) \
            as connection:
        attempt = f"upload-{next(rig.attempt_numbers)}"
        connection.sendall(
            f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {attempt}\r\nTimeout-Ms: 5000\r\n"
            f"Connection: close\r\n{length}\r\n\r\n".encode())
        received, in_order = upload_and_receive(connection, chunked)
    head, _, body = received.partition(b"\r\n\r\n")
    if not head:
        return None, False
    status = int(head.split()[1])
    head = head.lower()
    if b"transfer-encoding: chunked" in head:
        return status, body.endswith(b"0\r\n\r\n")
    if b"content-length: " in head:
        size = head.split(b"content-length: ")[1].split(b"\r\n")[0]
        return status, len(body) == int(size)
    return status, in_order


def play(rig, vm):
    for place in ("near", "far"):
        for name in INVALID:
            status = vm.call(f"/{place}/{name}", "POST", b"x")[1]
            check(status == 502, f"{place}, {name}: 502 ({status})")
        for name in CUT_OFF:
            for version, chunked in (("1.1", True), ("1.1", False),
                                     ("1.0", False)):
                status, complete = upload(rig, vm, f"/{place}/{name}", version,
                                          chunked)
                check(status == 502 or not complete,
                      f"{place}, {name}, HTTP/{version}, chunked {chunked}: "
                      f"not taken for complete ({status})")
        status = vm.call(f"/{place}/valid", "POST", b"x")[1]
        check(status == 200, f"{place}: a valid answer follows ({status})")


def main():
    with Rig(sys.argv[1], ["alpha", "beta"]) as rig:
        document = configuration(1, ROUTES)
        document["limits"]["maxBodyBytes"] = 2 * UPLOAD_BYTES
        rig.store.put_configuration(document)
        for vm in rig.vms:
            vm.upstream.RequestHandlerClass = RawHandler
            vm.start()
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
        for vm in rig.vms:
            wait_for(vm.is_ready, f"{vm.name} is ready")
        entry = rig.vms[0]
        for place in ("near", "far"):
            wait_for(lambda: entry.call(f"/{place}/first", "POST",
                                        b"x")[1] == 200, f"{place} is served")
        play(rig, entry)
        for vm in rig.vms:
            check(vm.process.poll() is None, f"{vm.name} runs")


if __name__ == "__main__":
    main()
