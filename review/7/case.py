#!/usr/bin/env python3
"""The backend of a VM ends and one of another service gets its address. The
settings file says so, and no signal comes. Which service do the requests of
this VM name as their caller?"""

import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import case_rig  # noqa: E402  pylint: disable=wrong-import-position
import platform_rig  # noqa: E402  pylint: disable=wrong-import-position

ROUTES = {"/book/": ("gamma", "non_idempotent")}
# Bounds of mantel-norte.
DRAIN_S, REUSE_AFTER_S = 2.0, 2.0
# Far more than any bound of the pages for following a change (apply is 2 s,
# with maxSkew 7 s).
FOLLOWED_S = 12.0
JUDGED_S = 10.0


def write_settings(vm):
    """Replace the settings file as a whole, as the platform renders it."""
    template = (case_rig.ROOT / "deploy" / "settings.json.in").read_text()
    fresh = vm.settings.with_suffix(".new")
    fresh.write_text(platform_rig.render(template, vm.template_values()))
    os.replace(fresh, vm.settings)


def keep_asking(vm, record, sent, stopped):
    while not stopped.wait(0.1):
        sent_s = time.monotonic()
        try:
            attempt, status, _, _ = vm.call("/book/x", "POST", b"1")
        except OSError as failure:
            attempt, status = "-", repr(failure)
        record.note(f"sent {attempt} at {vm.name}: status {status}", sent_s)
        sent.append((attempt, sent_s))


def case(record):
    network = case_rig.free_network()
    rig = platform_rig.Rig(case_rig.ROOT / "target",
                           ["alpha", "gamma", "beta", "gamma"], network)
    with rig:
        for vm in rig.vms:
            case_rig.use_heartbeat(vm, "1500ms")
        case_rig.settle(rig, ROUTES)
        changed = rig.vms[0]
        sent, stopped = [], threading.Event()
        threading.Thread(target=keep_asking, daemon=True,
                         args=(changed, record, sent, stopped)).start()
        time.sleep(2)
        # The backend leaves and ends.
        record.say(f"the backend of alpha on {changed.name} leaves: "
                   f"{changed.upstream.leave()}")
        time.sleep(DRAIN_S + 1)
        changed.upstream.check_ins_enabled.clear()
        time.sleep(0.5)
        changed.upstream.check_in(
            {"born": changed.upstream.started_ms}, "DELETE")
        time.sleep(REUSE_AFTER_S)
        # A backend of another service starts at the address.
        changed.service = changed.upstream.service = "beta"
        changed.upstream.start_instance()
        write_settings(changed)
        changed_s = time.monotonic()
        record.note("the settings file names service beta")
        if not case_rig.TROUBLE:
            changed.process.send_signal(signal.SIGHUP)
            record.note("SIGHUP")
        time.sleep(0.5)
        changed.upstream.check_ins_enabled.set()
        time.sleep(FOLLOWED_S + JUDGED_S)
        code = changed.upstream.check_in(changed.upstream.check_in_body())
        record.say(f"a check-in of the new backend is answered with {code}")
        stopped.set()
        time.sleep(1)
        sent_at = dict(sent)
        judged, wrong = 0, 0
        for vm in rig.vms:
            for call in vm.upstream.received_calls:
                sent_s = sent_at.get(call["id"], 0)
                if sent_s < changed_s + FOLLOWED_S:
                    continue
                judged += 1
                wrong += call["caller"] != "beta"
                record.note(f"{call['id']} runs at {call['instance']} with "
                            f"Caller-Service {call['caller']}",
                            call["received_at_s"])
        record.say(f"{judged} requests that began on {changed.name} later than "
                   f"{FOLLOWED_S} s after its settings named service beta were "
                   f"run; {wrong} with another Caller-Service")
        if judged == 0:
            raise RuntimeError("no request was run")
        return wrong != 0


if __name__ == "__main__":
    case_rig.run_case(HERE, case)
