#!/usr/bin/env python3
"""Two operators apply a change to the same version at once, 200 times.

Each time exactly one change must be accepted, and the store must hold every
accepted change as the next version. Prints one JSON object per figure.
"""

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


def print_figure(name, value, target):
    print(json.dumps({"name": name, "value": value, "unit": "count",
                      "target": target, "better": "less",
                      "met": value <= target}), flush=True)


def apply_change(fleet, folder, author, made_from):
    share = 0.01 + made_from / 10000 + 0.1 * AUTHORS.index(author)
    fleet.write_retry_share(folder, round(share, 5))
    return fleet.ctl_on_files("apply", "--author", author,
                              f"--made_from={made_from}",
                              files=folder).returncode


def main():
    fleet = ConfigurationFleet(sys.argv[1], TOPOLOGY)
    rounds_without_one_winner = 0
    lost_changes = 0
    try:
        fleet.start_all()
        folders = {author: fleet.files.parent / author for author in AUTHORS}
        for folder in folders.values():
            shutil.copytree(fleet.files, folder)
        version = 0
        with concurrent.futures.ThreadPoolExecutor(len(AUTHORS)) as pool:
            for _ in range(RACES):
                futures = [pool.submit(apply_change, fleet, folders[author],
                                       author, version) for author in AUTHORS]
                exit_codes = [future.result() for future in futures]
                rounds_without_one_winner += sorted(exit_codes) != [0, 5]
                stored_configuration = fleet.stored_configuration()
                winner = AUTHORS[exit_codes.index(0)] \
                    if 0 in exit_codes else None
                lost_changes += (stored_configuration["version"] != version + 1
                                 or stored_configuration["author"] != winner)
                version = stored_configuration["version"]
    finally:
        fleet.stop()
    print_figure("apply_race_rounds_without_exactly_one_winner",
                 rounds_without_one_winner, 0)
    print_figure("apply_race_lost_changes", lost_changes, 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
