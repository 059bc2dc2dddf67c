#!/usr/bin/env python3
"""The store answers nothing to the daemons that watch it, and serves the
others. Do the others follow the operator's next configuration?"""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import case_rig  # noqa: E402  pylint: disable=wrong-import-position
import platform_rig  # noqa: E402  pylint: disable=wrong-import-position

VMS = 14
SILENT_S = 9.0
# Bounds of mantel-norte: apply 2 s, maxSkew 5 s, stable 3 s.
APPLY_S, SKEW_S, STABLE_S = 2.0, 5.0, 3.0
OLD = {"/move/": ("alpha", "non_idempotent"), "/a/": ("alpha", "idempotent"),
       "/b/": ("beta", "idempotent"), "/drop/": ("alpha", "non_idempotent")}
NEW = {"/move/": ("beta", "non_idempotent"), "/a/": ("alpha", "idempotent"),
       "/b/": ("beta", "idempotent"), "/new/": ("beta", "non_idempotent")}


class Requester(threading.Thread):
    """Sends a booking on each changed route of one VM twice a second."""

    def __init__(self, vm, record, calls):
        super().__init__(daemon=True)
        self.vm, self.record, self.calls = vm, record, calls
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.wait(0.5):
            for path in ("/move/x", "/drop/x", "/new/x"):
                sent_s = time.monotonic()
                try:
                    attempt, status, _, body = self.vm.call(path, "POST", b"1")
                except OSError as failure:
                    attempt, status, body = "-", 0, repr(failure).encode()
                served_by = body.split(b"-")[1].decode() \
                    if body.startswith(b"done by i-") else ""
                self.calls.append((sent_s, self.vm.name, path, status,
                                   served_by))
                self.record.note(f"sent {attempt} at {self.vm.name} {path}: "
                                 f"status {status} run by {served_by or '-'}",
                                 sent_s)


def follows_old(path, status, served_by):
    """Whether only the older configuration allows this answer."""
    if path == "/move/x":
        return status == 200 and served_by == "alpha"
    if path == "/drop/x":
        return status == 200
    return status == 404


def case(record):
    network = case_rig.free_network()
    services = ["alpha", "alpha", "beta", "beta"]
    rig = platform_rig.Rig(case_rig.ROOT / "target",
                           [services[n % 4] for n in range(VMS)], network)
    with rig:
        host, port = rig.store_address.split(":")
        proxies = {}
        for number, vm in enumerate(rig.vms):
            case_rig.use_heartbeat(vm, "1500ms")
            address = (f"{network}.2.{number + 1}", 8309)
            proxies[vm.name] = case_rig.SilencingProxy(address,
                                                       (host, int(port)))
            vm.store_address = "%s:%d" % address
        case_rig.settle(rig, OLD)
        # Members of the new fleet find each other before the watchers settle.
        time.sleep(8)
        for proxy in proxies.values():
            proxy.watches = 0
        # Every watch begins anew with this version.
        rig.store.put_configuration(platform_rig.configuration(5, OLD))
        time.sleep(3)
        watchers = [name for name, proxy in proxies.items() if proxy.watches]
        record.say(f"{len(watchers)} of {VMS} daemons watch the store: "
                   + " ".join(sorted(watchers)))
        calls = []
        requesters = [Requester(vm, record, calls) for vm in rig.vms]
        for requester in requesters:
            requester.start()
        time.sleep(1)
        silenced = watchers if case_rig.TROUBLE else []
        begin_s = time.monotonic()
        record.note("the store answers nothing to " + " ".join(silenced))
        for name in silenced:
            proxies[name].set_silent(True)
        time.sleep(1)
        rig.store.put_configuration(platform_rig.configuration(9, NEW))
        acked_s = time.monotonic()
        record.note("the store acknowledged version 9")
        time.sleep(max(0, begin_s + SILENT_S - time.monotonic()))
        for name in silenced:
            proxies[name].set_silent(False)
        ended_s = time.monotonic()
        record.note("the store serves all daemons again")
        time.sleep(18)
        for requester in requesters:
            requester.stopped.set()
        # In touch again, and past the bound of an unstable store.
        bound_s = max(acked_s + APPLY_S + SKEW_S,
                      ended_s + STABLE_S + APPLY_S)
        never_silenced = {vm.name for vm in rig.vms} - set(silenced)
        late = [call for call in list(calls) if call[0] > bound_s
                and call[1] in never_silenced]
        stale = [call for call in late if follows_old(*call[2:])]
        record.say(f"{len(late)} requests sent more than "
                   f"{bound_s - acked_s:.1f} s after the ack, and {STABLE_S} s "
                   "and more after the store served all, at daemons that it "
                   f"served throughout; handled by the old version: "
                   f"{len(stale)}, at {len({call[1] for call in stale})} "
                   "daemons")
        for path in ("/move/x", "/drop/x", "/new/x"):
            record.say(f"  {path}: "
                       f"{sum(call[2] == path for call in stale)} of "
                       f"{sum(call[2] == path for call in late)}")
        return bool(stale)


if __name__ == "__main__":
    case_rig.run_case(HERE, case)
