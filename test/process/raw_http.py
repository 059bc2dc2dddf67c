"""HTTP over plain sockets, for requests that no client library would send."""

import json
import socket

ANSWER_TIMEOUT_S = 20


class Connection:
    """A connection to a daemon's port for callers."""

    def __init__(self, address, port=7100):
        self.socket = socket.create_connection((address, port),
                                               timeout=ANSWER_TIMEOUT_S)
        self.read_ahead = b""

    def send(self, text):
        data = text if isinstance(text, bytes) else text.encode()
        self.socket.sendall(data)

    def half_close(self):
        self.socket.shutdown(socket.SHUT_WR)

    def close(self):
        self.socket.close()

    def _more(self):
        data = self.socket.recv(65536)
        self.read_ahead += data
        return bool(data)

    def read_head(self):
        """Return the status and the fields with names in lower case.

        Returns None if the peer closed the connection.
        """
        while b"\r\n\r\n" not in self.read_ahead:
            try:
                if not self._more():
                    return None
            except ConnectionResetError:
                return None
        head, self.read_ahead = self.read_ahead.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return int(lines[0].split()[1]), fields

    def read_answer(self, has_body=True):
        """Return status, fields and body, or None if the peer closed."""
        head = self.read_head()
        if head is None:
            return None
        status, fields = head
        if not has_body or status in (100, 204, 304):
            return status, fields, b""
        if "content-length" in fields:
            size = int(fields["content-length"])
            while len(self.read_ahead) < size and self._more():
                pass
            body = self.read_ahead[:size]
            self.read_ahead = self.read_ahead[size:]
            return status, fields, body
        while self._more():
            pass
        return status, fields, self.read_ahead

    def is_closed(self):
        """Wait until the peer closes and discard what it sends before."""
        try:
            while self.socket.recv(65536):
                pass
        except ConnectionResetError:
            pass
        return True


def parse_problem(answer):
    """Return the problem document of an answer, or None if it has none."""
    if answer is None:
        return None
    _, fields, body = answer
    if fields.get("content-type") != "application/problem+json":
        return None
    return json.loads(body)
