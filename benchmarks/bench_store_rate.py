#!/usr/bin/env python3
"""Store calls per second against the number of real daemons in three failure
domains: they must not grow with the fleet."""

import json
import pathlib
import shutil
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "examples"))

import run  # noqa: E402

SIZES = (6, 12, 24, 48)
SETTLE_S = 9
WINDOW_S = 5
START_TIMEOUT_S = 40
# The platform's service takes several hundred writes and about two thousand
# reads a second; the fleet's control plane is to stay well under both.
TARGET_WRITES_PER_S = 100
TARGET_READS_PER_S = 500
FLEET_SIZE = 1400
FLEET_DOMAINS = 8


def emit(name, value, unit, target=None):
    line = {"name": f"store_rate_{name}", "value": round(value, 3),
            "unit": unit, "better": "less"}
    if target is not None:
        line["target"] = target
        line["met"] = value <= target
    print(json.dumps(line), flush=True)


def example_of(size, folder):
    data = ROOT / "test" / "process" / "data" / "membership"
    example = pathlib.Path(folder) / "example"
    shutil.copytree(data, example)
    topology = json.loads((example / "topology.json").read_text())
    topology["services"] = [{"name": "reservas", "upstreams": size}]
    (example / "topology.json").write_text(json.dumps(topology))
    return example


def live_members(fleet, vm):
    members = run.get_json(f"{vm['address']}:7105", "/v1/members") or []
    return sum(1 for member in members if member["state"] == "alive")


def measure(build, size):
    with tempfile.TemporaryDirectory() as folder:
        fleet = run.Fleet(build, example_of(size, folder))
        try:
            fleet.start_store()
            done = fleet.apply()
            if done.returncode != 0:
                raise RuntimeError(done.stderr)
            at_start = run.get_json(fleet.store, "/stand-in/counts")
            started = time.monotonic()
            for vm in fleet.vms:
                fleet.start_daemon(vm)
            run.wait_for(lambda: all(live_members(fleet, vm) == size
                                     for vm in fleet.vms),
                         f"{size} daemons to know each other", START_TIMEOUT_S)
            time.sleep(SETTLE_S)
            before = run.get_json(fleet.store, "/stand-in/counts")
            time.sleep(WINDOW_S)
            after = run.get_json(fleet.store, "/stand-in/counts")
            elapsed = time.monotonic() - started
        finally:
            fleet.stop()
    rates = {kind: (after[kind] - before[kind]) / WINDOW_S
             for kind in ("reads", "watches")}
    # Leases are renewed each 20 s, so writes are counted from the start on;
    # the claims of the start make this an upper bound.
    rates["writes"] = (after["writes"] - at_start["writes"]) / elapsed
    return rates


def slope(points):
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / squares


def main():
    build = sys.argv[1]
    reads, writes = [], []
    for size in SIZES:
        rates = measure(build, size)
        # A waiting watch counts as a read.
        reads.append((size, rates["reads"] + rates["watches"]))
        writes.append((size, rates["writes"]))
        emit(f"reads_at_{size}", reads[-1][1], "1/s")
        emit(f"writes_at_{size}", writes[-1][1], "1/s")
    emit("reads_slope", slope(reads), "1/s per member")
    emit("writes_slope", slope(writes), "1/s per member")
    # Extrapolated: what three domains cost, for eight, plus the slope.
    for name, points, target in (("reads", reads, TARGET_READS_PER_S),
                                 ("writes", writes, TARGET_WRITES_PER_S)):
        per_domain = points[-1][1] / 3
        grown = max(0.0, slope(points)) * (FLEET_SIZE - SIZES[-1])
        emit(f"{name}_expected_at_{FLEET_SIZE}",
             per_domain * FLEET_DOMAINS + grown, "1/s", target)


if __name__ == "__main__":
    main()
