#!/usr/bin/env python3
"""Replays of traces and scenarios: test_replay.py BUILD

Every trace of test/replay meets its expectations. The example scenarios play,
with figures that account for every call, and an invalid one is rejected.
"""
import json
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree

ROOT = pathlib.Path(__file__).parents[2]
RUNNER = ROOT / "test" / "replay" / "run.py"
SCENARIOS = ROOT / "examples" / "scenarios"
OUTCOMES = ["in_time", "late", "refused_at_once", "failed"]


def replay(build, *options):
    return subprocess.run(
        [str(pathlib.Path(build) / "galenarudder-replay"), *map(str, options)],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, check=False)


def check_accounts(row, what):
    ended = sum(row[name]["mean"] for name in OUTCOMES)
    assert abs(ended - row["offered"]["mean"]) < 0.01, (what, row)


def check_scenario(build, name, changes, folder):
    plot = folder / "plot.svg"
    options = ["--scenario", SCENARIOS / f"{name}.json",
               "--compare", SCENARIOS / f"{name}-{changes}.json",
               "--seeds", 2, "--svg", plot]
    played = replay(build, *options, "--output", "json", "--threads", 2)
    assert played.returncode == 0, played.stderr
    result = json.loads(played.stdout)
    for part in ("scenario", "compared"):
        shown = result[part]
        assert shown["total"]["offered"]["mean"] > 1000, shown["total"]
        for what, row in [("total", shown["total"]), *shown["calls"].items(),
                          *enumerate(shown["per_second"])]:
            check_accounts(row, what)
    offered = result["difference"]["total"]["offered"]
    assert offered == {"mean": 0, "spread": 0}, offered
    assert xml.etree.ElementTree.parse(plot).getroot().tag.endswith("svg")
    print(f"ok   {name}")


def check_table(build):
    options = ["--scenario", SCENARIOS / "catch-up-radio.json"]
    first = replay(build, *options)
    assert first.returncode == 0, first.stderr
    assert "second 29" in first.stdout and "total" in first.stdout, first
    assert replay(build, *options).stdout == first.stdout, "tables differ"
    print("ok   two plays of a scenario print the same table")


def check_invalid(build, folder):
    scenario = json.loads((SCENARIOS / "catch-up-radio.json").read_text())
    scenario["seconds"] = "many"
    path = folder / "invalid.json"
    path.write_text(json.dumps(scenario))
    played = replay(build, "--scenario", path)
    assert played.returncode == 2, played
    for part in ("/seconds", '"many"', "remedy"):
        assert part in played.stderr, played.stderr
    print("ok   an invalid scenario is rejected")


def main():
    build = sys.argv[1]
    traces = subprocess.run([sys.executable, RUNNER, build], check=False)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        check_scenario(build, "catch-up-radio", "limits", folder)
        check_scenario(build, "instalment-lender", "one-price", folder)
        check_table(build)
        check_invalid(build, folder)
    return traces.returncode


if __name__ == "__main__":
    sys.exit(main())
