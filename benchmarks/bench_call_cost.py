#!/usr/bin/env python3
"""Measure the cost of one call.

Reports processor time and resident memory of the entry and the gate, and the
store calls for a call with an Idempotency-Key. The figures have no target;
docs/CAPACITY.md calculates with them.
"""

import concurrent.futures
import http.client
import json
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test/process"))
from combined import FaultFleet, run  # noqa: E402

TOPOLOGY = ROOT / "test/process/data/cost"
PLAIN_CALLS = 20000
KEYED_CALLS = 2000
CONNECTIONS = 16
US_PER_S = 1_000_000


def processor_us(process):
    """Return the user and system time of a process in microseconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return ticks * US_PER_S / os.sysconf("SC_CLK_TCK")


def resident_kb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").open():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError("the process has no VmRSS")


def send_many(address, calls, keyed):
    """Send calls over one persistent connection; return how many succeeded."""
    connection = http.client.HTTPConnection(address, 7100, timeout=20)
    answered = 0
    for number in range(calls):
        nonce = f"{id(connection)}-{number}"
        headers = {"X-Nonce": nonce}
        if keyed:
            headers["Idempotency-Key"] = nonce
        connection.request("POST", "/reservas/deposits?work_ms=0.1",
                           body="x" * 200, headers=headers)
        answer = connection.getresponse()
        answer.read()
        answered += answer.status == 200 \
            and answer.getheader("X-Nonce") == nonce
    connection.close()
    return answered


def send_all(address, calls, keyed):
    with concurrent.futures.ThreadPoolExecutor(CONNECTIONS) as pool:
        futures = [pool.submit(send_many, address, calls // CONNECTIONS, keyed)
                   for _ in range(CONNECTIONS)]
        return sum(future.result() for future in futures)


def print_figure(name, value, unit):
    print(json.dumps({"name": name, "value": round(value, 3), "unit": unit,
                      "target": None, "better": "less", "met": None}),
          flush=True)


def main():
    fleet = FaultFleet(sys.argv[1], TOPOLOGY)
    try:
        fleet.start()
        gate_vm = next(vm for vm in fleet.vms if vm["service"] == "reservas")
        entry_vm = next(vm for vm in fleet.vms if vm is not gate_vm)
        entry = fleet.daemons[entry_vm["member"]]
        gate = fleet.daemons[gate_vm["member"]]
        send_all(entry_vm["address"], CONNECTIONS * 20, keyed=False)

        before = processor_us(entry), processor_us(gate)
        answered = send_all(entry_vm["address"], PLAIN_CALLS, keyed=False)
        print_figure("entry_cpu_us_per_call",
                     (processor_us(entry) - before[0]) / answered, "us")
        print_figure("gate_cpu_us_per_call",
                     (processor_us(gate) - before[1]) / answered, "us")
        print_figure("entry_resident_kb", resident_kb(entry), "kB")
        print_figure("gate_resident_kb", resident_kb(gate), "kB")

        before_counts = run.get_json(fleet.store, "/stand-in/counts")
        answered = send_all(entry_vm["address"], KEYED_CALLS, keyed=True)
        after_counts = run.get_json(fleet.store, "/stand-in/counts")
        for kind in ("reads", "writes"):
            print_figure(f"keyed_call_store_{kind}",
                         (after_counts[kind] - before_counts[kind])
                         / answered, "calls per call")
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
