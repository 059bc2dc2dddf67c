#!/usr/bin/env python3
"""Compares the product's picks with the baselines: bench_replay.py BUILD

For every trace of test/replay, p99 and p99.9 over the answered calls of all
ranks and of the most urgent rank. The value is the product's latency over
that of the best baseline. On a trace with a fault the target is below 1, on
the steady one at most 1.05. Calls without an answer have no latency; their
number stands beside each figure, since a policy that fails calls fast can
show a lower percentile.

Baselines are taken twice. "same": retries, hedges, ejection and admission are
the same for every policy, only the pick differs. "plain": the baseline picks
alone, without ejection and hedges; retries and admission are the same.
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
# Automations that a kind of baseline does without.
BASELINE_KINDS = {"same": "", "plain": "eject,hedge"}
COLUMNS = {"all": lambda outcome: outcome["all"],
           "urgent": lambda outcome: outcome["ranks"]["urgent"]}
PERCENTILES = ("p99_ms", "p999_ms")


def unanswered(rank):
    return rank["offered"] - rank["answered"]


def compare(name, kind, outcomes):
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
            yield {"name": f"replay.{name}.{column}.{percentile}"
                           f"_vs_{kind}_baseline",
                   "value": round(ratio, 4), "unit": "ratio",
                   "target": target, "better": "less", "met": met,
                   "product_ms": values[PRODUCT], "baseline": best,
                   "baseline_ms": values[best],
                   "product_unanswered": unanswered(take(outcomes[PRODUCT])),
                   "baseline_unanswered": unanswered(take(outcomes[best]))}


def main():
    build = sys.argv[1]
    names = sys.argv[2:] or make_traces.trace_names()
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        def outcome(name, policy, observe):
            path = pathlib.Path(folder) / f"{name}.jsonl"
            return json.loads(run.replay(build, path, policy, observe))

        def submit(name, policy, observe=""):
            return pool.submit(outcome, name, policy, observe)

        for name in names:
            make_traces.make(name, folder)
        jobs = {}
        for name in names:
            jobs[name, "", PRODUCT] = submit(name, PRODUCT)
            for kind, observe in BASELINE_KINDS.items():
                for policy in BASELINES:
                    jobs[name, kind, policy] = submit(name, policy, observe)
        for name in names:
            for kind in BASELINE_KINDS:
                outcomes = {policy: jobs[name, kind, policy].result()
                            for policy in BASELINES}
                outcomes[PRODUCT] = jobs[name, "", PRODUCT].result()
                for figure in compare(name, kind, outcomes):
                    print(json.dumps(figure), flush=True)


if __name__ == "__main__":
    main()
