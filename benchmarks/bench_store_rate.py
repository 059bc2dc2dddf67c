#!/usr/bin/env python3
"""Measure store calls per second for fleets of several sizes.

Real daemons in three failure domains; the rate must not grow with the number
of daemons.
"""

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
# The platform's store serves several hundred writes and about 2,000 reads per
# second; the daemons must stay well below both.
TARGET_WRITES_PER_S = 100
TARGET_READS_PER_S = 500
FLEET_SIZE = 1400
FLEET_DOMAINS = 8


def print_figure(name, value, unit, target=None):
    figure = {"name": f"store_rate_{name}", "value": round(value, 3),
              "unit": unit, "better": "less"}
    if target is not None:
        figure["target"] = target
        figure["met"] = value <= target
    print(json.dumps(figure), flush=True)


def create_example(size, folder):
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
        fleet = run.Fleet(build, create_example(size, folder))
        try:
            fleet.start_store()
            result = fleet.apply()
            if result.returncode != 0:
                raise RuntimeError(result.stderr)
            start_counts = run.get_json(fleet.store, "/stand-in/counts")
            started = time.monotonic()
            for vm in fleet.vms:
                fleet.start_daemon(vm)
            run.wait_for(lambda: all(live_members(fleet, vm) == size
                                     for vm in fleet.vms),
                         f"{size} daemons to know each other", START_TIMEOUT_S)
            time.sleep(SETTLE_S)
            counts_before = run.get_json(fleet.store, "/stand-in/counts")
            time.sleep(WINDOW_S)
            counts_after = run.get_json(fleet.store, "/stand-in/counts")
            elapsed = time.monotonic() - started
        finally:
            fleet.stop()
    rates = {kind: (counts_after[kind] - counts_before[kind]) / WINDOW_S
             for kind in ("reads", "watches")}
    # Leases are renewed every 20 s, so writes are counted from the start;
    # the claims made at the start make this an upper bound.
    rates["writes"] = (counts_after["writes"]
                       - start_counts["writes"]) / elapsed
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
        print_figure(f"reads_at_{size}", reads[-1][1], "1/s")
        print_figure(f"writes_at_{size}", writes[-1][1], "1/s")
    print_figure("reads_slope", slope(reads), "1/s per member")
    print_figure("writes_slope", slope(writes), "1/s per member")
    # Extrapolates the cost of three domains to eight, plus the slope.
    for name, points, target in (("reads", reads, TARGET_READS_PER_S),
                                 ("writes", writes, TARGET_WRITES_PER_S)):
        per_domain = points[-1][1] / 3
        growth = max(0.0, slope(points)) * (FLEET_SIZE - SIZES[-1])
        print_figure(f"{name}_expected_at_{FLEET_SIZE}",
                     per_domain * FLEET_DOMAINS + growth, "1/s", target)


if __name__ == "__main__":
    main()
