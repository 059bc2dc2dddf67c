#!/usr/bin/env python3
"""Measure the latency that two daemons and the link between them add.

galenarudder-load calls the stand-in upstream in turn directly and through the
daemons. The reported difference is the median over the rounds, since a shared
machine stalls now and then.
"""

import json
import pathlib
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test/process"))
from combined import FaultFleet  # noqa: E402

TOPOLOGY = ROOT / "test/process/data/cost"
# One daemon's share of 360,000 calls per second at 1,400 daemons, and five
# times that rate.
RATES_PER_S = (257, 5 * 257)
ROUNDS = 5
DURATION_S = 2
CONNECTIONS = 32
TARGET_ADDED_P99_MS = 2.0


def measure(build, endpoint, target, rate):
    result = subprocess.run(
        [build / "galenarudder-load", "--targets", endpoint, "--path", target,
         "--method", "POST", "--rate", str(rate), "--seconds",
         str(DURATION_S), "--connections", str(CONNECTIONS),
         "--body_bytes", "200", "--output", "json"],
        capture_output=True, text=True, timeout=60, check=False)
    if result.returncode != 0:
        raise RuntimeError(result.stderr or result.stdout)
    return json.loads(result.stdout)


def print_figure(name, value, target):
    met = None if target is None else value <= target
    print(json.dumps({"name": name, "value": round(value, 3), "unit": "ms",
                      "target": target, "better": "less", "met": met}),
          flush=True)


def measure_rate(build, entry, gate, rate):
    """Alternate direct and forwarded calls; print medians over the rounds."""
    direct, through_daemons = [], []
    for _ in range(ROUNDS):
        direct.append(measure(build, f"{gate['address']}:8080",
                              "/deposits?work_ms=2", rate))
        through_daemons.append(measure(build, f"{entry['address']}:7100",
                                       "/reservas/deposits?work_ms=2", rate))
    for percentile in ("p50_ms", "p99_ms"):
        direct_ms = statistics.median(
            direct_run[percentile] for direct_run in direct)
        added_ms = statistics.median(
            through_run[percentile] - direct_run[percentile]
            for direct_run, through_run in zip(direct, through_daemons))
        print_figure(f"direct_{percentile}_at_{rate}_per_s", direct_ms, None)
        target = TARGET_ADDED_P99_MS if percentile == "p99_ms" else None
        print_figure(f"added_{percentile}_at_{rate}_per_s", added_ms, target)


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    fleet = FaultFleet(build, TOPOLOGY)
    try:
        fleet.start()
        gate = next(vm for vm in fleet.vms if vm["service"] == "reservas")
        entry = next(vm for vm in fleet.vms if vm is not gate)
        for rate in RATES_PER_S:
            measure_rate(build, entry, gate, rate)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
