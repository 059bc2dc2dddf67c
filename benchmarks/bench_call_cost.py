#!/usr/bin/env python3
"""What one call costs: processor time at the entry and at the gate, and store
calls for a keyed call. Slopes for docs/CAPACITY.md, without a target of
their own."""

import concurrent.futures
import http.client
import json
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test/process"))
from combined import HarmedFleet, run  # noqa: E402

TOPOLOGY = ROOT / "test/process/data/cost"
PLAIN_CALLS = 20000
KEYED_CALLS = 2000
CONNECTIONS = 16
US_PER_S = 1_000_000


def processor_us(process):
    """User and system time that the process has used."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return ticks * US_PER_S / os.sysconf("SC_CLK_TCK")


def resident_kb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").open():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise RuntimeError("the process has no VmRSS")


def send_many(address, calls, keyed):
    """Sends calls over one kept connection; returns how many were whole."""
    connection = http.client.HTTPConnection(address, 7100, timeout=20)
    whole = 0
    for number in range(calls):
        nonce = f"{id(connection)}-{number}"
        headers = {"X-Nonce": nonce}
        if keyed:
            headers["Idempotency-Key"] = nonce
        connection.request("POST", "/reservas/deposits?work_ms=0.1",
                           body="x" * 200, headers=headers)
        answer = connection.getresponse()
        answer.read()
        whole += answer.status == 200 and answer.getheader("X-Nonce") == nonce
    connection.close()
    return whole


def send_all(address, calls, keyed):
    with concurrent.futures.ThreadPoolExecutor(CONNECTIONS) as pool:
        jobs = [pool.submit(send_many, address, calls // CONNECTIONS, keyed)
                for _ in range(CONNECTIONS)]
        return sum(job.result() for job in jobs)


def report(name, value, unit):
    print(json.dumps({"name": name, "value": round(value, 3), "unit": unit,
                      "target": None, "better": "less", "met": None}),
          flush=True)


def main():
    fleet = HarmedFleet(sys.argv[1], TOPOLOGY)
    try:
        fleet.start()
        gate_vm = next(vm for vm in fleet.vms if vm["service"] == "reservas")
        entry_vm = next(vm for vm in fleet.vms if vm is not gate_vm)
        entry = fleet.daemons[entry_vm["member"]]
        gate = fleet.daemons[gate_vm["member"]]
        send_all(entry_vm["address"], CONNECTIONS * 20, keyed=False)

        before = processor_us(entry), processor_us(gate)
        whole = send_all(entry_vm["address"], PLAIN_CALLS, keyed=False)
        report("entry_cpu_us_per_call",
               (processor_us(entry) - before[0]) / whole, "us")
        report("gate_cpu_us_per_call",
               (processor_us(gate) - before[1]) / whole, "us")
        report("entry_resident_kb", resident_kb(entry), "kB")
        report("gate_resident_kb", resident_kb(gate), "kB")

        counts = run.get_json(fleet.store, "/stand-in/counts")
        whole = send_all(entry_vm["address"], KEYED_CALLS, keyed=True)
        after = run.get_json(fleet.store, "/stand-in/counts")
        for kind in ("reads", "writes"):
            report(f"keyed_call_store_{kind}",
                   (after[kind] - counts[kind]) / whole, "calls per call")
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
