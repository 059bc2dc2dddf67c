#!/usr/bin/env python3
"""Keys of organisations over real daemons on the users' platform.

Guards against a withdrawn key that still admits calls: on a kept connection,
in a storm of versions, or after a restart while the store is away. Guards also
against a key that reaches an upstream or a log.
"""

import http.client
import json
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import (HOST, Rig, check, configuration, request,
                          wait_for)

ROUTES = {"/a/": ("alpha", "idempotent"), "/b/": ("beta", "idempotent"),
          "/open/": ("beta", "idempotent")}
COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst",
           "allowedRegions"]
# Time from the store's acknowledgement of a version until a key that it
# withdraws must be refused.
WITHDRAWAL_S = 2.5


class Caller:
    """A caller with one kept connection."""

    def __init__(self, vm, source=None):
        self.connection = http.client.HTTPConnection(
            vm.outbound, timeout=10,
            source_address=(source, 0) if source else None)

    def status(self, key=None, path="/a/x", fields=()):
        sent = {"Host": HOST, "Timeout-Ms": "2000", "Attempt-Id": "call",
                **dict(fields)}
        if key:
            sent["Authorization"] = f"Token {key}"
        self.connection.request("GET", path, headers=sent)
        answer = self.connection.getresponse()
        answer.read()
        return answer.status


class Operators:
    """Write versions in which organisation `radio` has the given keys."""

    def __init__(self, rig):
        self.rig = rig
        self.version = 0

    def put(self, *keys):
        """Return when the store acknowledged the version."""
        self.version += 1
        self.rig.store.put_configuration(self.document(*keys))
        return time.monotonic()

    def document(self, *keys):
        written = configuration(self.version, ROUTES)
        written["routes"]["columns"].append("public")
        for row in written["routes"]["rows"]:
            row.append(row[2] == "/open/")
        written["tenants"] = {
            "columns": COLUMNS,
            "rows": [["radio", list(keys), 0, 0, 0, None],
                     ["other", ["key-of-other"], 1, None, None, None]]}
        return written


def keys_decide_who_may_call(rig):
    sent = {"Tenant": "forged"}
    for vm in rig.vms:
        caller = Caller(vm)
        for key, path, expected in [
                ("key-one", "/a/x", 200), ("key-of-other", "/b/x", 200),
                ("key-none", "/a/x", 401), (None, "/a/x", 401),
                (None, "/open/x", 200), ("key-none", "/open/x", 200)]:
            check(caller.status(key, path, sent.items()) == expected,
                  f"{vm.name}: {path} with {key} gets {expected}")
        check(Caller(vm, vm.ip).status() == 200,
              f"{vm.name}: a call of the upstream needs no key")
        check(Caller(vm, vm.ip).status("key-none") == 401,
              f"{vm.name}: an unknown key from that address is refused")
    names = {value for vm in rig.vms for call in vm.upstream.received_calls
             for name, value in call["fields"] if name.lower() == "tenant"}
    check(names == {"radio", "other"}, "upstreams get the organisation's name")


def withdrawal_reaches_kept_connections(rig, operators):
    callers = {vm.name: Caller(vm) for vm in rig.vms}
    for name, caller in callers.items():
        check(caller.status("key-one") == 200, f"{name} takes the key")
    acknowledged = operators.put("key-two")
    took_s = {}
    while len(took_s) < len(callers):
        for name, caller in callers.items():
            if name not in took_s and caller.status("key-one") == 401:
                took_s[name] = time.monotonic() - acknowledged
                check(caller.status("key-two") == 200,
                      f"{name} takes the added key at once")
        check(time.monotonic() - acknowledged < WITHDRAWAL_S,
              "the key is not taken for too long")
    print(f"withdrawn after at most {max(took_s.values()):.3f} s")


def withdrawal_holds_in_a_storm(rig, operators):
    """Versions come every 50 ms; one withdraws the key, later ones keep it so.

    Keys are called meanwhile on kept connections.
    """
    operators.put("key-two", "key-storm")
    for vm in rig.vms:
        wait_for(lambda: Caller(vm).status("key-storm") == 200,
                 f"{vm.name} takes the key of the storm")
    acknowledged = None
    taken_after_s = []
    failed = []
    ended = threading.Event()

    def call_repeatedly(vm):
        caller = Caller(vm)
        while not ended.is_set():
            started = time.monotonic()
            status = caller.status("key-storm")
            if status == 200 and acknowledged:
                taken_after_s.append(started - acknowledged)
            if caller.status("key-two") != 200:
                failed.append(vm.name)
    threads = [threading.Thread(target=call_repeatedly, args=(vm,))
               for vm in rig.vms]
    for thread in threads:
        thread.start()
    for number in range(100):
        keys = ["key-two", f"key-{number}"]
        at = operators.put(*keys, *(["key-storm"] if number < 20 else []))
        if number == 20:
            acknowledged = at
        time.sleep(0.05)
    time.sleep(WITHDRAWAL_S)
    ended.set()
    for thread in threads:
        thread.join()
    last_s = max(taken_after_s, default=0)
    print(f"last taken {last_s:.3f} s after the acknowledgement")
    check(last_s < WITHDRAWAL_S, "the withdrawn key stops working")
    check(not failed, "the key that stays always works")


def restart_without_the_store_keeps_the_withdrawal(rig, operators):
    operators.put("key-three")
    for vm in rig.vms:
        wait_for(lambda: Caller(vm).status("key-two") == 401,
                 f"{vm.name} refuses the withdrawn key")
    rig.store.set_mode("silent")
    vm = rig.vms[0]
    vm.stop()
    vm.start()
    statuses = set()

    def ready():
        statuses.add(Caller(vm).status("key-two"))
        return Caller(vm).status("key-three") == 200
    wait_for(ready, "a restarted daemon learns the keys from a peer")
    for _ in range(20):
        statuses.add(Caller(vm).status("key-two"))
        time.sleep(0.1)
    check(statuses <= {401, 503},
          f"the withdrawn key is never taken again: {statuses}")
    rig.store.set_mode("up")


def check_compares_keys_by_digest(rig, operators):
    """The tables are compared with what a daemon translated from them.

    A check that compared other forms would report every row as changed.
    """
    def findings(*keys):
        path = rig.folder / "checked.json"
        path.write_text(json.dumps(operators.document(*keys)))
        result = subprocess.run(
            [rig.build / "galenarudderctl-platform", "check", path, "--json",
             f"--daemon={rig.vms[0].ip}:9464"],
            capture_output=True, text=True, timeout=30, check=False)
        check("key-" not in result.stdout + result.stderr,
              "check shows no key")
        check(result.returncode == 0,
              f"check exits with {result.returncode}")
        return [finding["pointer"]
                for finding in json.loads(result.stdout)["findings"]
                if finding["code"] in ("added", "removed", "changed")]

    check(findings("key-one") == [], "check finds what is in force unchanged")
    check(findings("key-two") == ["/tenants/rows/0/1"],
          "check finds the changed key and nothing else")


def keys_stay_inside(rig):
    for vm in rig.vms:
        log = vm.log.read_text(errors="replace")
        check("key-" not in log, f"{vm.name} logs no key")
        metrics = request(f"{vm.ip}:9464", "GET", "/metrics")[2].decode()
        check('kind="unknown-key"' in metrics and "key-" not in metrics,
              f"{vm.name} counts refused keys without naming them")
        for call in vm.upstream.received_calls:
            values = [value for name, value in call["fields"]
                      if name.lower() == "authorization" or "key-" in value]
            if values:
                raise AssertionError(f"an upstream got {values}")
    print("ok: no upstream got a key")


def main():
    with Rig(sys.argv[1], ["alpha", "beta", "alpha", "beta"],
             network="127.21") as rig:
        operators = Operators(rig)
        operators.put("key-one")
        for vm in rig.vms:
            vm.upstream.check_ins_enabled.set()
            vm.start()
        for vm in rig.vms:
            wait_for(lambda: all(Caller(vm).status("key-one", path) == 200
                                 for path in ("/a/x", "/b/x")),
                     f"{vm.name} serves both services")
        keys_decide_who_may_call(rig)
        check_compares_keys_by_digest(rig, operators)
        withdrawal_reaches_kept_connections(rig, operators)
        withdrawal_holds_in_a_storm(rig, operators)
        restart_without_the_store_keeps_the_withdrawal(rig, operators)
        keys_stay_inside(rig)


if __name__ == "__main__":
    main()
