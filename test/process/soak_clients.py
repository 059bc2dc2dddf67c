"""The callers of a soak, in processes of their own.

Each thread calls in one of the ways in WAYS_TO_CALL. Every call is recorded,
together with how it ended; soak.py judges the records.
"""

import collections
import json
import multiprocessing
import random
import select
import signal
import threading
import time

from platform_rig import HOST
from raw_http import Connection

ROUTES = {"/a/": ("alpha", "idempotent"), "/b/": ("beta", "non_idempotent"),
          "/u/": ("alpha", "upload"), "/v/": ("beta", "upload")}
# Organisations by name: keys, calls per second and burst. STEADY has no limit.
STEADY, SURGING = "steady", "surging"
ORGANISATIONS = {STEADY: (["key-of-steady"], None, None),
                 SURGING: (["key-of-surging"], 20, 5)}
KEYS = {name: keys[0] for name, (keys, _, _) in ORGANISATIONS.items()}
# Values of the field Authorization that name no organisation; None for no
# field.
UNKNOWN_AUTHORIZATIONS = (None, "Token key-of-nobody", "Token", "Token ",
                          "Bearer key-of-steady", "Token key-of-stead",
                          "Token key-of-steady,key-of-surging")
MAX_PIPELINED = 6
MIN_UPLOAD_BYTES = 66_000


def body_of(attempt, size):
    """Return the body that the call with this id carries."""
    return (f"{attempt}." * (size // len(attempt) + 1)).encode()[:size]


class Caller(threading.Thread):
    def __init__(self, soak, name, call_repeatedly):
        super().__init__(daemon=True)
        self.soak = soak
        self.name = name
        self.call_repeatedly = call_repeatedly
        self.rng = random.Random(name)
        self.records = []

    def run(self):
        while not self.soak.ended.is_set():
            self.vm = self.rng.randrange(len(self.soak.addresses))
            # Before connecting: the daemon may be gone when connect returns.
            self.connected_at = time.monotonic()
            try:
                self.connection = Connection(*self.soak.addresses[self.vm])
            except OSError:
                time.sleep(0.05)
                continue
            try:
                self.call_repeatedly(self)
            finally:
                self.connection.close()

    def pause(self, longest_s):
        time.sleep(self.rng.uniform(0, longest_s))

    def new_call(self, method, path, size=0, time_left_ms=2000,
                 organisation=STEADY):
        """Return the record of a call, and the head that is to be sent.

        Without an organisation the call carries no valid key.
        """
        attempt = f"{self.name}-{len(self.records)}"
        authorization = f"Token {KEYS[organisation]}" if organisation \
            else self.rng.choice(UNKNOWN_AUTHORIZATIONS)
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: {attempt}\r\nTimeout-Ms: {time_left_ms}\r\n"
                f"Content-Length: {size}\r\nTenant: forged\r\n")
        if authorization is not None:
            head += f"Authorization: {authorization}\r\n"
        head = (head + "\r\n").encode()
        record = {"id": attempt, "vm": self.vm, "path": path, "size": size,
                  "organisation": organisation, "authorization": authorization,
                  "connected_at": self.connected_at,
                  "sent_at": time.monotonic(), "ended_at": None,
                  "status": None, "closes": False, "left": False,
                  "is_first": True, "behind_close": False, "hung": False}
        self.records.append(record)
        return record, head

    def send(self, data):
        """Send data; a broken connection shows when the answer is read."""
        try:
            self.connection.send(data)
        except OSError:
            pass

    def read_answer(self, record):
        """Record the answer; return whether the connection stays open."""
        try:
            answer = self.connection.read_answer()
        except TimeoutError:
            record["hung"] = True
            answer = None
        except OSError:
            answer = None
        record["ended_at"] = time.monotonic()
        if answer is None:
            return False
        status, fields, body = answer
        record.update(
            status=status, answer_id=fields.get("attempt-id"),
            seal=fields.get("reply-seal"), answer_bytes=len(body),
            answer=body.rstrip().decode("latin-1"),
            whole=len(body) == int(fields.get("content-length", -1)),
            closes=fields.get("connection", "").lower() == "close")
        return not record["closes"]

    def leave(self, record):
        record.update(left=True, ended_at=time.monotonic())
        return False

    def call(self, method, path, size=0, organisation=STEADY):
        record, head = self.new_call(method, path, size,
                                     organisation=organisation)
        self.send(head + body_of(record["id"], size))
        return self.read_answer(record)

    def call_any(self, organisation=STEADY):
        if self.rng.random() < 0.5:
            return self.call("GET", "/a/x", organisation=organisation)
        return self.call("POST", "/b/x", self.rng.randrange(0, 3000),
                         organisation)

    def call_without_valid_key(self):
        return self.call_any(None)

    def call_in_surges(self):
        """Call far above the limit of the organisation while it surges."""
        if not self.soak.surge.is_set():
            self.pause(0.6)
        return self.call_any(SURGING)

    def pipeline(self):
        """Send calls behind open ones until the connection closes."""
        waiting = collections.deque()
        is_open = True
        while True:
            may_send = is_open and not self.soak.ended.is_set()
            if may_send and len(waiting) < self.rng.randint(1, MAX_PIPELINED):
                calls = [self.new_call("GET", "/a/x")
                         for _ in range(self.rng.randint(1, 3))]
                for record, _ in calls:
                    record["is_first"] = not waiting
                    waiting.append(record)
                self.send(b"".join(head for _, head in calls))
            elif waiting:
                record = waiting.popleft()
                record["behind_close"] = not is_open
                is_open = self.read_answer(record) and is_open
            else:
                return is_open
            self.pause(0.02)

    def upload(self):
        size = self.rng.randint(MIN_UPLOAD_BYTES, 300_000)
        time_left_ms = self.rng.choice((2000, 2000, self.rng.randint(50, 400)))
        parts = self.rng.randint(3, 10)
        left_at = self.rng.choice((None, None, self.rng.randrange(parts)))
        path = self.rng.choice(("/u/x", "/v/x"))
        record, head = self.new_call("POST", path, size, time_left_ms)
        body = body_of(record["id"], size)
        self.send(head)
        for part in range(parts):
            if part == left_at:
                return self.leave(record)
            self.send(body[size * part // parts:size * (part + 1) // parts])
            # An answer may come before the whole body was sent.
            if select.select([self.connection.socket], [], [],
                             self.rng.uniform(0, 0.15))[0]:
                break
        whole = part == parts - 1
        return self.read_answer(record) and whole

    def leave_before_answer(self):
        method, path = self.rng.choice((("GET", "/a/x"), ("POST", "/b/x")))
        record, head = self.new_call(method, path)
        self.send(head)
        self.pause(0.3)
        return self.leave(record)

    def call_changed_route(self):
        version = self.soak.version.value + self.rng.randint(-2, 1)
        return self.call("GET", f"/version-{version}/x")


def kept(call_once, longest_pause_s):
    """Use each connection until the daemon closes it or is gone."""
    def call_repeatedly(caller):
        while not caller.soak.ended.is_set() and call_once(caller):
            caller.pause(longest_pause_s)
    return call_repeatedly


def on_new_connection(call_once, longest_pause_s):
    def call_repeatedly(caller):
        call_once(caller)
        caller.pause(longest_pause_s)
    return call_repeatedly


WAYS_TO_CALL = [
    kept(Caller.pipeline, 0), kept(Caller.pipeline, 0),
    kept(Caller.pipeline, 0), kept(Caller.pipeline, 0),
    kept(Caller.call_any, 0.05), kept(Caller.call_any, 3),
    kept(Caller.upload, 0.2), kept(Caller.call_changed_route, 0.2),
    on_new_connection(Caller.call_any, 0.1),
    on_new_connection(Caller.leave_before_answer, 0.1),
    kept(Caller.call_without_valid_key, 0.4),
    kept(Caller.call_in_surges, 0.02), kept(Caller.call_in_surges, 0.02)]


class Clients:
    """Processes that call until `stop`, which returns all records."""

    def __init__(self, addresses, seed, folder, processes):
        # Forked before the process that starts them has threads.
        context = multiprocessing.get_context("fork")
        self.addresses = addresses
        self.begun = context.Event()
        self.ended = context.Event()
        self.surge = context.Event()
        self.version = context.Value("i", 0)
        self.files = [folder / f"calls-{number}.json"
                      for number in range(processes)]
        self.processes = [
            context.Process(target=self.play, args=(f"{seed}-{number}", file),
                            daemon=True)
            for number, file in enumerate(self.files)]
        for process in self.processes:
            process.start()

    def play(self, name, file):
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        self.begun.wait()
        callers = [Caller(self, f"{name}-{number}", call_repeatedly)
                   for number, call_repeatedly in enumerate(WAYS_TO_CALL)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        file.write_text(json.dumps([record for caller in callers
                                    for record in caller.records]))

    def stop(self):
        self.ended.set()
        for process in self.processes:
            process.join()
        return [record for file in self.files
                for record in json.loads(file.read_text())]
