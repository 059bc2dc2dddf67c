#!/usr/bin/env python3
"""Compares the product's picks with the baselines: bench_replay.py BUILD

For every trace of test/replay, p99 and p99.9 over the answered calls of all
ranks and of the most urgent rank. Retries, hedges, ejection and admission are
the same for every policy; only the pick differs. The value is the product's
latency over that of the best baseline. On a trace with a fault the target is
below 1, on the steady one at most 1.05.
"""
import concurrent.futures
import json
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test" / "replay"))

import make_traces  # noqa: E402
import run  # noqa: E402

PRODUCT = "expected_completion"
BASELINES = ("random", "round_robin", "least_outstanding", "power_of_two")
STEADY_TARGET = 1.05
FAULT_TARGET = 1.0
PARALLEL = 3
COLUMNS = {"all": lambda outcome: outcome["all"],
           "urgent": lambda outcome: outcome["ranks"]["urgent"]}
PERCENTILES = ("p99_ms", "p999_ms")


def compare(name, outcomes):
    """Yields one figure for each column and percentile of a trace."""
    is_steady = name.endswith("-steady")
    target = STEADY_TARGET if is_steady else FAULT_TARGET
    for column, take in COLUMNS.items():
        for percentile in PERCENTILES:
            values = {policy: take(outcome)[percentile]
                      for policy, outcome in outcomes.items()}
            best = min(BASELINES, key=values.get)
            ratio = values[PRODUCT] / values[best]
            met = ratio <= target if is_steady else ratio < target
            yield {"name": f"replay.{name}.{column}.{percentile}_vs_baseline",
                   "value": round(ratio, 4), "unit": "ratio",
                   "target": target, "better": "less", "met": met,
                   "product_ms": values[PRODUCT], "baseline": best,
                   "baseline_ms": values[best]}


def main():
    build = sys.argv[1]
    names = sys.argv[2:] or make_traces.trace_names()
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        def outcome(name, policy):
            path = pathlib.Path(folder) / f"{name}.jsonl"
            return json.loads(run.replay(build, path, policy))

        for name in names:
            make_traces.make(name, folder)
        jobs = {(name, policy): pool.submit(outcome, name, policy)
                for name in names for policy in (PRODUCT, *BASELINES)}
        for name in names:
            outcomes = {policy: jobs[name, policy].result()
                        for policy in (PRODUCT, *BASELINES)}
            for figure in compare(name, outcomes):
                print(json.dumps(figure), flush=True)


if __name__ == "__main__":
    main()
