#!/usr/bin/env python3
"""Two operators race 200 times: always exactly one is accepted, and every
accepted change is in the store's line of versions. One JSON object per
figure."""

import concurrent.futures
import json
import pathlib
import shutil
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test/process"))

from configuration_fleet import ConfigurationFleet  # noqa: E402

RACES = 200
TOPOLOGY = {
    "address_prefix": "127.2.4",
    "domains": ["north"],
    "store": "127.2.4.254:8500",
    "slots": 9, "connections": 20, "probe_ms": 0,
    "services": [{"name": "kitcheck", "upstreams": 1}],
}
AUTHORS = ("ana", "boris")


def report(name, value, target):
    print(json.dumps({"name": name, "value": value, "unit": "count",
                      "target": target, "better": "less",
                      "met": value <= target}), flush=True)


def change(fleet, folder, author, made_from):
    share = 0.01 + made_from / 10000 + 0.1 * AUTHORS.index(author)
    fleet.write_share(folder, round(share, 5))
    return fleet.tool("apply", "--author", author,
                      f"--made_from={made_from}", files=folder).returncode


def main():
    fleet = ConfigurationFleet(sys.argv[1], TOPOLOGY)
    not_one_winner = 0
    lost = 0
    try:
        fleet.start_all()
        folders = {author: fleet.files.parent / author for author in AUTHORS}
        for folder in folders.values():
            shutil.copytree(fleet.files, folder)
        version = 0
        with concurrent.futures.ThreadPoolExecutor(len(AUTHORS)) as pool:
            for _ in range(RACES):
                jobs = [pool.submit(change, fleet, folders[author], author,
                                    version) for author in AUTHORS]
                codes = [job.result() for job in jobs]
                not_one_winner += sorted(codes) != [0, 5]
                stored = fleet.stored()
                winner = AUTHORS[codes.index(0)] if 0 in codes else None
                lost += (stored["version"] != version + 1
                         or stored["author"] != winner)
                version = stored["version"]
    finally:
        fleet.stop()
    report("apply_race_rounds_without_exactly_one_winner", not_one_winner, 0)
    report("apply_race_lost_changes", lost, 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
