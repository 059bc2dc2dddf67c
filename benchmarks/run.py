#!/usr/bin/env python3
"""Run every benchmark and report its figures.

Writes the figures to build/bench/summary.jsonl, prints them as a table and
writes build/bench/report.html with a plot.
"""

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
    """Return name and command of each benchmark, programs before scripts."""
    folder = pathlib.Path(__file__).resolve().parent
    commands = []
    for source in sorted(folder.glob("bench_*.cpp")):
        commands.append((source.stem, [str(build / source.stem)]))
    for script in sorted(folder.glob("bench_*.py")):
        commands.append((script.stem, [sys.executable, str(script),
                                       str(build)]))
    return [(name, command) for name, command in commands
            if only is None or only in name]


def run_benchmark(name, command):
    """Return the figures that a benchmark printed and whether it succeeded."""
    print(f"running {name}", flush=True)
    try:
        result = subprocess.run(command, capture_output=True, text=True,
                                timeout=BENCHMARK_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        print(f"  {name} did not finish within {BENCHMARK_TIMEOUT_S} s")
        return [], False
    figures = []
    for line in result.stdout.splitlines():
        if not line.startswith("{"):
            continue
        figure = json.loads(line)
        figure["benchmark"] = name
        figures.append(figure)
    if result.returncode != 0:
        print(f"  {name} exited with {result.returncode}: "
              f"{result.stderr.strip()[-300:]}")
    return figures, result.returncode == 0


def format_met(figure):
    if figure.get("met") is None:
        return "-"
    return "yes" if figure["met"] else "NO"


def print_table(figures):
    print(f"\n{'figure':<58}{'value':>14} {'unit':<22}{'target':>10}  met")
    for figure in figures:
        target = figure.get("target")
        print(f"{figure['name']:<58}{figure['value']:>14} "
              f"{figure['unit']:<22}{'' if target is None else target:>10}"
              f"  {format_met(figure)}")


def plot(figures):
    """Draw a bar for each figure with a target, relative to the target."""
    rows = []
    for figure in figures:
        if not isinstance(figure.get("target"), (int, float)):
            continue
        if not figure["target"]:
            continue
        fraction_of_target = float(figure["value"]) / figure["target"]
        width = min(2.0, max(0.0, fraction_of_target)) / 2 * BAR_WIDTH_PX
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
        f"<td>{figure.get('target')}</td><td>{format_met(figure)}</td></tr>"
        for figure in figures)
    (folder / "report.html").write_text(
        "<!doctype html><meta charset='utf-8'><title>galenarudder bench</title>"
        "<h1>galenarudder bench</h1><p>Bars show each figure relative to its "
        "target, the dashed line. Red: target not met.</p>" + plot(figures) +
        "<table border='1' cellspacing='0' cellpadding='4'><tr><th>figure</th>"
        "<th>value</th><th>unit</th><th>target</th><th>met</th></tr>"
        + rows + "</table>\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--only",
                        help="run only benchmarks whose name contains this")
    arguments = parser.parse_args()
    build = pathlib.Path(arguments.build).resolve()
    folder = build / "bench"
    folder.mkdir(exist_ok=True)
    figures = []
    failed_benchmarks = []
    for name, command in benchmarks(build, arguments.only):
        new_figures, succeeded = run_benchmark(name, command)
        figures += new_figures
        if not succeeded:
            failed_benchmarks.append(name)
    summary = "".join(json.dumps(figure) + "\n" for figure in figures)
    (folder / "summary.jsonl").write_text(summary)
    write_report(folder, figures)
    print_table(figures)
    missed = [figure["name"] for figure in figures
              if figure.get("met") is False]
    print(f"\n{len(figures)} figures, {len(missed)} targets not met")
    if failed_benchmarks:
        print("failed benchmarks: " + ", ".join(failed_benchmarks))
    return 1 if failed_benchmarks else 0


if __name__ == "__main__":
    sys.exit(main())
