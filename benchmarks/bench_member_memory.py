#!/usr/bin/env python3
"""Measure memory, membership traffic and processor time of one real daemon
among 1,400 members.

A stand-in simulates the other members.
"""

import http.client
import json
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "examples"))

import run  # noqa: E402

FLEET_SIZE = 1400
WINDOW_S = 15
JOIN_TIMEOUT_S = 60
TARGET_MEMORY_MB = 32
TARGET_CORE_SHARE = 0.029
TARGET_BYTES_PER_S = 4096
MEMBERS_ADDRESS = "127.2.3.240:7103"
CLOCK_TICKS_PER_S = 100


def print_figure(name, value, unit, target):
    print(json.dumps({"name": f"daemon_at_{FLEET_SIZE}_members_{name}",
                      "value": round(value, 4), "unit": unit,
                      "target": target, "better": "less",
                      "met": value <= target}), flush=True)


def metrics(vm):
    connection = http.client.HTTPConnection(vm["address"], 7105, timeout=5)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    return {line.split()[0]: float(line.split()[1])
            for line in text.splitlines()
            if line and not line.startswith("#")}


def membership_bytes(values):
    return (values["galenarudder_membership_bytes_sent_total"]
            + values["galenarudder_membership_bytes_received_total"])


def memory_mb(pid, field):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) / 1024
    raise KeyError(field)


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_S


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    fleet = run.Fleet(build, ROOT / "test" / "process" / "data" / "membership")
    vm = fleet.vms[0]
    member_standin = None
    try:
        fleet.start_store()
        result = fleet.apply()
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        fleet.start_daemon(vm)
        run.wait_for(lambda: run.get_json(f"{vm['address']}:7105",
                                          "/v1/status") is not None,
                     "the daemon to start")
        member_standin = subprocess.Popen(
            [str(build / "standin_members"), "--listen", MEMBERS_ADDRESS,
             "--daemon", f"{vm['address']}:7103", "--daemon_id", vm["member"],
             "--members", str(FLEET_SIZE - 1)])
        live_metric = "galenarudder_membership_live_members"
        run.wait_for(lambda: metrics(vm)[live_metric] == FLEET_SIZE,
                     f"the daemon to know {FLEET_SIZE} members",
                     JOIN_TIMEOUT_S)
        pid = fleet.daemons[vm["member"]].pid
        before, cpu_before = metrics(vm), cpu_seconds(pid)
        time.sleep(WINDOW_S)
        after, cpu_after = metrics(vm), cpu_seconds(pid)
        if after[live_metric] != FLEET_SIZE:
            raise RuntimeError(f"only {after[live_metric]} members are alive")
        print_figure("resident_memory", memory_mb(pid, "VmRSS"), "MB",
                     TARGET_MEMORY_MB)
        print_figure("peak_memory", memory_mb(pid, "VmHWM"), "MB",
                     TARGET_MEMORY_MB)
        print_figure("core_share", (cpu_after - cpu_before) / WINDOW_S, "core",
                     TARGET_CORE_SHARE)
        print_figure("bytes_per_second",
                     (membership_bytes(after) - membership_bytes(before))
                     / WINDOW_S, "B/s", TARGET_BYTES_PER_S)
    finally:
        if member_standin is not None:
            member_standin.terminate()
            member_standin.wait()
        fleet.stop()


if __name__ == "__main__":
    main()
