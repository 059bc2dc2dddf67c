#!/usr/bin/env python3
"""Compare the product's picks with baseline policies: bench_replay.py BUILD

Reports, for every trace of test/replay, p99 and p99.9 over the answered calls
of all ranks and of the most urgent rank. The value is the product's latency
divided by that of the best baseline. On a trace with a fault the target is
below 1, on the steady trace at most 1.05. Calls without an answer have no
latency; each figure states their number, since a policy that fails calls fast
can have a lower percentile.

Each baseline is replayed in two ways. "same": retries, hedges, ejection and
admission are the same for every policy, only the pick differs. "plain": the
baseline runs without ejection and hedges; retries and admission are the same.
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
# Automations that each kind of baseline runs without.
BASELINE_KINDS = {"same": "", "plain": "eject,hedge"}
COLUMNS = {"all": lambda replay_outcome: replay_outcome["all"],
           "urgent": lambda replay_outcome: replay_outcome["ranks"]["urgent"]}
PERCENTILES = ("p99_ms", "p999_ms")


def unanswered(rank):
    return rank["offered"] - rank["answered"]


def compare(name, kind, outcomes):
    """Yield one figure for each column and percentile of a trace."""
    is_steady = name.endswith("-steady")
    target = STEADY_TARGET if is_steady else FAULT_TARGET
    for column, select in COLUMNS.items():
        for percentile in PERCENTILES:
            values = {policy: select(replay_outcome)[percentile]
                      for policy, replay_outcome in outcomes.items()}
            best = min(BASELINES, key=values.get)
            ratio = values[PRODUCT] / values[best]
            met = ratio <= target if is_steady else ratio < target
            yield {"name": f"replay.{name}.{column}.{percentile}"
                           f"_vs_{kind}_baseline",
                   "value": round(ratio, 4), "unit": "ratio",
                   "target": target, "better": "less", "met": met,
                   "product_ms": values[PRODUCT], "baseline": best,
                   "baseline_ms": values[best],
                   "product_unanswered": unanswered(select(outcomes[PRODUCT])),
                   "baseline_unanswered": unanswered(select(outcomes[best]))}


def main():
    build = sys.argv[1]
    names = sys.argv[2:] or make_traces.trace_names()
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        def replay_outcome(name, policy, observe):
            path = pathlib.Path(folder) / f"{name}.jsonl"
            return json.loads(run.replay(build, path, policy, observe))

        def submit(name, policy, observe=""):
            return pool.submit(replay_outcome, name, policy, observe)

        for name in names:
            make_traces.write_trace(name, folder)
        futures = {}
        for name in names:
            futures[name, "", PRODUCT] = submit(name, PRODUCT)
            for kind, observe in BASELINE_KINDS.items():
                for policy in BASELINES:
                    futures[name, kind, policy] = submit(name, policy, observe)
        for name in names:
            for kind in BASELINE_KINDS:
                outcomes = {policy: futures[name, kind, policy].result()
                            for policy in BASELINES}
                outcomes[PRODUCT] = futures[name, "", PRODUCT].result()
                for figure in compare(name, kind, outcomes):
                    print(json.dumps(figure), flush=True)


if __name__ == "__main__":
    main()
