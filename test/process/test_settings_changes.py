#!/usr/bin/env python3
"""The settings file of a daemon changes without a signal, or beside one.

Guards against calls that name a service which their VM no longer runs, and
against check-ins of a new upstream that are refused for as long as the daemon
runs.
"""

import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import ROOT, Rig, check, configuration, render, request, \
    wait_for

ROUTES = {"/g/": ("gamma", "idempotent")}
# docs/OPERATIONS.md: when a change of the settings file is in force.
IN_FORCE_S = 1.0


def rendered(vm, service):
    vm.service = service
    template = (ROOT / "deploy" / "settings.json.in").read_text()
    return render(template, vm.template_values())


def rename(vm, text):
    fresh = vm.settings.with_suffix(".new")
    fresh.write_text(text)
    os.replace(fresh, vm.settings)


def rewrite_in_halves(vm, text):
    with open(vm.settings, "w", encoding="utf-8") as file:
        file.write(text[:len(text) // 2])
        file.flush()
        time.sleep(0.3)
        file.write(text[len(text) // 2:])


def remove_first(vm, text):
    vm.settings.unlink()
    time.sleep(0.7)
    rename(vm, text)


def switch_link(vm, text):
    target = vm.settings.with_suffix(f".{time.monotonic_ns()}")
    target.write_text(text)
    link = vm.settings.with_suffix(".link")
    link.symlink_to(target)
    os.replace(link, vm.settings)


def break_first(vm, text):
    vm.settings.write_text("{")
    time.sleep(1.5)
    rename(vm, text)


def change_twice(vm, text):
    rename(vm, text.replace('"service": "', '"service": "not-'))
    time.sleep(0.2)
    rename(vm, text)


def keep_times(vm, text):
    """Same size, same times, same file."""
    before = vm.settings.stat()
    padded = text + " " * (max(0, before.st_size - len(text)))
    vm.settings.write_text(padded)
    os.utime(vm.settings, ns=(before.st_atime_ns, before.st_mtime_ns))


def signal_before(vm, text):
    vm.process.send_signal(signal.SIGHUP)
    rewrite_in_halves(vm, text)


def signal_meanwhile(vm, text):
    vm.settings.write_text(text[:50])
    vm.process.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    rename(vm, text)
    vm.process.send_signal(signal.SIGHUP)


ROWS = [rename, rewrite_in_halves, remove_first, switch_link, break_first,
        change_twice, keep_times, signal_before, signal_meanwhile]


def named_caller(rig, vm):
    attempt = vm.call("/g/1")[0]
    return [call["caller"] for other in rig.vms
            for call in other.upstream.received_calls
            if call["id"] == attempt]


def log_lines(vm, event):
    lines = [json.loads(line) for line in vm.log.read_text().splitlines()
             if line.endswith("}")]
    return [line for line in lines if line["event"] == event]


def main():
    with Rig(sys.argv[1], ["alpha", "gamma", "gamma"]) as rig:
        vm = rig.vms[0]
        rig.store.put_configuration(configuration(1, ROUTES))
        for each in rig.vms:
            each.start()
            each.upstream.check_ins_enabled.set()
        wait_for(lambda: named_caller(rig, vm) == ["alpha"], "calls are served")
        check(not log_lines(vm, "settings.reloaded"),
              "settings that did not change are not put in force again")
        for number, change in enumerate(ROWS):
            service = ("beta", "alpha")[number % 2]
            change(vm, rendered(vm, service))
            time.sleep(IN_FORCE_S)
            check(named_caller(rig, vm) == [service],
                  f"{change.__name__}: calls name the service of the file")
            vm.upstream.service = service
            vm.upstream.start_instance()
            check(vm.upstream.check_in(vm.upstream.check_in_body()) == 200,
                  f"{change.__name__}: its upstream may check in")
        refused = len(log_lines(vm, "settings.refused"))
        vm.settings.write_text("{")
        time.sleep(2)
        check(len(log_lines(vm, "settings.refused")) == refused + 1,
              "a file that cannot be used is logged once")
        check(named_caller(rig, vm) == ["beta"], "the old settings stay")
        good = json.loads(rendered(vm, "alpha"))
        rename(vm, json.dumps({**good, "store": "127.0.0.1:1"}))
        time.sleep(IN_FORCE_S)
        last = log_lines(vm, "settings.reloaded")[-1]
        check(last["applied"] == "service"
              and last["needs_a_restart"] == "store",
              f"a setting that needs a restart is named: {last}")
        metrics = request(f"{vm.ip}:9464", "GET", "/metrics")[2].decode()
        check("galenarudder_settings_pending 1\n" in metrics,
              "and counted in a metric")


if __name__ == "__main__":
    main()
