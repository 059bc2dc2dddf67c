#!/usr/bin/env python3
"""Runs every benchmark, collects its figures into build/bench/summary.jsonl,
prints them as a table and writes build/bench/report.html with plots."""

import argparse
import html
import json
import pathlib
import subprocess
import sys

BENCHMARK_TIMEOUT_S = 300
BAR_WIDTH_PX = 400
ROW_HEIGHT_PX = 22


def benchmarks(build, only):
    """Commands of all benchmarks, programs first."""
    here = pathlib.Path(__file__).resolve().parent
    commands = []
    for source in sorted(here.glob("bench_*.cpp")):
        commands.append((source.stem, [str(build / source.stem)]))
    for script in sorted(here.glob("bench_*.py")):
        commands.append((script.stem, [sys.executable, str(script),
                                       str(build)]))
    return [(name, command) for name, command in commands
            if only is None or only in name]


def run_one(name, command):
    """Returns the figures that one benchmark printed and whether it ended
    well."""
    print(f"running {name}", flush=True)
    try:
        done = subprocess.run(command, capture_output=True, text=True,
                              timeout=BENCHMARK_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        print(f"  {name} did not end in {BENCHMARK_TIMEOUT_S} s")
        return [], False
    figures = []
    for line in done.stdout.splitlines():
        if not line.startswith("{"):
            continue
        figure = json.loads(line)
        figure["benchmark"] = name
        figures.append(figure)
    if done.returncode != 0:
        print(f"  {name} ended with {done.returncode}: "
              f"{done.stderr.strip()[-300:]}")
    return figures, done.returncode == 0


def verdict(figure):
    if figure.get("met") is None:
        return "-"
    return "yes" if figure["met"] else "NO"


def print_table(figures):
    print(f"\n{'figure':<58}{'value':>14} {'unit':<22}{'target':>10}  met")
    for figure in figures:
        target = figure.get("target")
        print(f"{figure['name']:<58}{figure['value']:>14} "
              f"{figure['unit']:<22}{'' if target is None else target:>10}"
              f"  {verdict(figure)}")


def plot(figures):
    """One bar for each figure with a target: its share of the target."""
    rows = []
    for figure in figures:
        if not isinstance(figure.get("target"), (int, float)):
            continue
        if not figure["target"]:
            continue
        share = float(figure["value"]) / figure["target"]
        width = min(2.0, max(0.0, share)) / 2 * BAR_WIDTH_PX
        colour = "#4a7" if figure.get("met") else "#c44"
        top = len(rows) * ROW_HEIGHT_PX
        rows.append(
            f'<text x="0" y="{top + 15}">{html.escape(figure["name"])}</text>'
            f'<rect x="480" y="{top + 3}" width="{width:.0f}" height="14" '
            f'fill="{colour}"/>'
            f'<text x="{490 + BAR_WIDTH_PX}" y="{top + 15}">'
            f'{figure["value"]} of {figure["target"]} '
            f'{html.escape(figure["unit"])}</text>')
    height = len(rows) * ROW_HEIGHT_PX
    line = 480 + BAR_WIDTH_PX / 2
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="1200" '
            f'height="{height}" font-family="sans-serif" font-size="12">'
            + "".join(rows) +
            f'<line x1="{line}" x2="{line}" y1="0" y2="{height}" '
            'stroke="#333" stroke-dasharray="4"/></svg>')


def write_report(folder, figures):
    rows = "".join(
        f"<tr><td>{html.escape(figure['name'])}</td><td>{figure['value']}</td>"
        f"<td>{html.escape(figure['unit'])}</td>"
        f"<td>{figure.get('target')}</td><td>{verdict(figure)}</td></tr>"
        for figure in figures)
    (folder / "report.html").write_text(
        "<!doctype html><meta charset='utf-8'><title>galenarudder bench</title>"
        "<h1>galenarudder bench</h1><p>Bars show each figure beside its "
        "target, the dashed line. Red: not met.</p>" + plot(figures) +
        "<table border='1' cellspacing='0' cellpadding='4'><tr><th>figure</th>"
        "<th>value</th><th>unit</th><th>target</th><th>met</th></tr>"
        + rows + "</table>\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--only", help="run those whose name contains this")
    arguments = parser.parse_args()
    build = pathlib.Path(arguments.build).resolve()
    folder = build / "bench"
    folder.mkdir(exist_ok=True)
    figures = []
    broken = []
    for name, command in benchmarks(build, arguments.only):
        found, ended_well = run_one(name, command)
        figures += found
        if not ended_well:
            broken.append(name)
    summary = "".join(json.dumps(figure) + "\n" for figure in figures)
    (folder / "summary.jsonl").write_text(summary)
    write_report(folder, figures)
    print_table(figures)
    missed = [figure["name"] for figure in figures
              if figure.get("met") is False]
    print(f"\n{len(figures)} figures, {len(missed)} targets not met")
    if broken:
        print("did not end well: " + ", ".join(broken))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
