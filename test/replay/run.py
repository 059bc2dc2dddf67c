#!/usr/bin/env python3
"""Replays the traces and checks their stated outcomes: run.py BUILD [NAME...]

An expectation names values of the replay's object by path, each with "equal",
"least" or "most". A path of two names joined by "/" is their quotient.
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
    """Returns the bytes that galenarudder-replay prints."""
    command = [str(pathlib.Path(build) / "galenarudder-replay"),
               "--trace", str(path), "--policy", policy, "--observe", observe,
               "--output", "json"]
    done = subprocess.run(command, stdout=subprocess.PIPE, check=True)
    return done.stdout


def value_at(outcome, path):
    if "/" in path:
        upper, lower = path.split("/")
        return value_at(outcome, upper) / max(value_at(outcome, lower), 1)
    for part in path.split("."):
        outcome = outcome[part]
    return outcome


TESTS = {"equal": operator.eq, "least": operator.ge, "most": operator.le}


def holds(value, bound):
    return all(TESTS[kind](value, limit) for kind, limit in bound.items())


def failures(outcome, expected):
    for path, bound in expected.items():
        value = value_at(outcome, path)
        if not holds(value, bound):
            yield f"{path} is {value}, stated {bound}"


def answers_add_up(outcome):
    for name, rank in outcome["ranks"].items():
        ended = rank["answered"] + rank["refused_not_run"] + rank["unknown"]
        if ended != rank["offered"]:
            yield f"rank {name}: {rank['offered']} offered, {ended} ended"


def check(build, name, folder):
    path = make_traces.make(name, folder)
    expected = json.loads((HERE / f"{name}.expect.json").read_text())
    outcome = json.loads(replay(build, path))
    return [*failures(outcome, expected), *answers_add_up(outcome)]


def check_repeats(build, name, folder):
    path = make_traces.make(name, folder)
    if replay(build, path) != replay(build, path):
        return ["two replays of one trace differ"]
    return []


def main():
    build, *names = sys.argv[1:]
    names = names or make_traces.trace_names()
    wrong = 0
    with tempfile.TemporaryDirectory() as folder:
        for name in names:
            found = check(build, name, folder)
            wrong += len(found)
            print(f"{'FAIL' if found else 'ok  '} {name}", *found, sep="\n  "
                  if found else " ", flush=True)
        found = check_repeats(build, names[0], folder)
        wrong += len(found)
        print(*found or ["ok   same bytes twice"], sep="\n")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
