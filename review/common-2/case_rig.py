"""What the script cases 6 to 10 have in common.

Daemons are the program that the deploy file builds, started with its settings
template. Store and upstreams are the project's stand-ins in test/process.
"""

import json
import os
import pathlib
import random
import signal
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "process"))

import platform_rig  # noqa: E402  pylint: disable=wrong-import-position

BROKEN, HELD, NOT_RUN = 1, 0, 2
LONGEST_S = 115
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_network():
    """Return the first two numbers of loopback addresses that are unused."""
    for _ in range(50):
        network = f"127.{random.randint(20, 220)}"
        try:
            for ip, port in ((f"{network}.1.1", 8309), (f"{network}.0.1", 8304),
                             (f"{network}.0.1", 8301)):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return network
        except OSError:
            continue
    raise OSError("no free loopback network")


def use_heartbeat(vm, heartbeat):
    """Give the daemon the heartbeat of the users' installations."""
    plain = vm.template_values
    vm.template_values = lambda: {**plain(), "heartbeat": heartbeat}


class SilencingProxy:
    """The path of one VM to the store.

    While it is silent, it takes connections and requests and returns nothing.
    A connection that was open in that time returns nothing further.
    """

    def __init__(self, address, target):
        self.target = target
        self.silent = False
        self.watches = 0
        self.open = []
        self.lock = threading.Lock()
        self.listener = socket.create_server(address, backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.carry, args=(caller,),
                             daemon=True).start()

    def carry(self, caller):
        path = {"silent": False}
        with self.lock:
            path["silent"] = self.silent
            self.open.append(path)
        try:
            store = socket.create_connection(self.target)
        except OSError:
            caller.close()
            return
        back = threading.Thread(target=self.copy, daemon=True,
                                args=(store, caller, path, False))
        back.start()
        self.copy(caller, store, path, True)

    def copy(self, source, sink, path, to_store):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            if path["silent"]:
                if not data:
                    break
                continue
            if not data:
                break
            if to_store and b"/galenarudder/kv-watch" in data:
                self.watches += 1
            try:
                sink.sendall(data)
            except OSError:
                break
        if path["silent"] and not to_store:
            return
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def set_silent(self, silent):
        with self.lock:
            self.silent = silent
            if silent:
                for path in self.open:
                    path["silent"] = True


class Record:
    """Writes record.txt; times are seconds since the case began."""

    def __init__(self, folder):
        self.began_s = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def note(self, text, at_s=None):
        at_s = time.monotonic() if at_s is None else at_s
        with self.lock:
            self.file.write(f"{at_s - self.began_s:8.3f} {text}\n")
            self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.note(text)


class Stopped(Exception):
    """The case was stopped, or takes too long."""


def stop_case(number, _):
    raise Stopped(f"signal {number}")


def run_case(folder, case):
    """Run a case and exit as the review asks; all daemons end before that."""
    os.chdir(ROOT)
    signal.signal(signal.SIGTERM, stop_case)
    signal.signal(signal.SIGALRM, stop_case)
    signal.alarm(LONGEST_S)
    record = Record(folder)
    record.note(f"TROUBLE={'1' if TROUBLE else '0'}")
    try:
        broken = case(record)
    except Exception as failure:  # pylint: disable=broad-except
        record.say(f"could not run: {type(failure).__name__}: {failure}")
        sys.stdout.flush()
        os._exit(NOT_RUN)
    record.say("the rule was broken" if broken else "the rule held")
    sys.stdout.flush()
    os._exit(BROKEN if broken else HELD)


def settle(rig, routes, version=1, **options):
    """Start all daemons and wait until each serves every route."""
    rig.store.put_configuration(
        platform_rig.configuration(version, routes, **options))
    for vm in rig.vms:
        vm.start()
        vm.upstream.check_ins_enabled.set()
    for vm in rig.vms:
        wait_until(vm.is_ready, f"{vm.name} is ready", 40)
    paths = [prefix + "start" for prefix in routes]
    for vm in rig.vms:
        wait_until(lambda: all(vm.call(path)[1] == 200 for path in paths),
                   f"{vm.name} serves all routes", 40)


def wait_until(condition, what, timeout_s):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"not within {timeout_s} s: {what}")


def as_json(value):
    return json.dumps(value, sort_keys=True)
