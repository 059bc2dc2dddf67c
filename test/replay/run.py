#!/usr/bin/env python3
"""Replay traces and check their expectations: run.py BUILD [NAME...]

An expectation refers to values in the replay's JSON object by path, each with
a bound "equal", "least" or "most". A path of two names joined by "/" is their
quotient. Also checks that every offered call is counted once and that two
replays of a trace print the same bytes.
"""
import json
import operator
import pathlib
import subprocess
import sys
import tempfile

import make_traces

HERE = pathlib.Path(__file__).resolve().parent


def replay(build, path, policy="", observe=""):
    """Return the bytes that galenarudder-replay prints."""
    command = [str(pathlib.Path(build) / "galenarudder-replay"),
               "--trace", str(path), "--policy", policy, "--observe", observe,
               "--output", "json"]
    result = subprocess.run(command, stdout=subprocess.PIPE, check=True)
    return result.stdout


def value_at(outcome, path):
    if "/" in path:
        numerator, denominator = path.split("/")
        return value_at(outcome, numerator) / max(
            value_at(outcome, denominator), 1)
    for part in path.split("."):
        outcome = outcome[part]
    return outcome


COMPARISONS = {"equal": operator.eq, "least": operator.ge, "most": operator.le}


def meets_bound(value, bound):
    return all(COMPARISONS[kind](value, limit)
               for kind, limit in bound.items())


def unmet_expectations(outcome, expected):
    for path, bound in expected.items():
        value = value_at(outcome, path)
        if not meets_bound(value, bound):
            yield f"{path} is {value}, expected {bound}"


def count_mismatches(outcome):
    for name, rank in outcome["ranks"].items():
        accounted = rank["answered"] + rank["refused_not_run"] \
            + rank["unknown"]
        if accounted != rank["offered"]:
            yield f"rank {name}: {rank['offered']} offered, {accounted} ended"


def check_expectations(build, name, folder):
    path = make_traces.write_trace(name, folder)
    expected = json.loads((HERE / f"{name}.expect.json").read_text())
    outcome = json.loads(replay(build, path))
    return [*unmet_expectations(outcome, expected), *count_mismatches(outcome)]


def check_determinism(build, name, folder):
    path = make_traces.write_trace(name, folder)
    if replay(build, path) != replay(build, path):
        return ["two replays of the same trace differ"]
    return []


def main():
    build, *names = sys.argv[1:]
    names = names or make_traces.trace_names()
    failure_count = 0
    with tempfile.TemporaryDirectory() as folder:
        for name in names:
            failures = check_expectations(build, name, folder)
            failure_count += len(failures)
            print(f"{'FAIL' if failures else 'ok  '} {name}", *failures,
                  sep="\n  " if failures else " ", flush=True)
        failures = check_determinism(build, names[0], folder)
        failure_count += len(failures)
        print(*failures or ["ok   two replays print the same bytes"], sep="\n")
    return 1 if failure_count else 0


if __name__ == "__main__":
    sys.exit(main())
