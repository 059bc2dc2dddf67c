#!/usr/bin/env python3
"""Two operators apply at one moment: exactly one is accepted, and the other
is told whose change won and what differs."""

import concurrent.futures
import shutil
import sys

from configuration_fleet import ConfigurationFleet, example, expect

ROUNDS = 10
TOPOLOGY = {
    "address_prefix": "127.2.4",
    "domains": ["north", "south", "east"],
    "store": "127.2.4.251:8500",
    "slots": 9, "connections": 20, "probe_ms": 0,
    "services": [{"name": "kitcheck", "upstreams": 3}],
}


def race(fleet, folders, made_from):
    def change(author, share):
        fleet.write_share(folders[author], share)
        return fleet.tool("apply", "--author", author,
                          f"--made_from={made_from}", files=folders[author])

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        jobs = {author: pool.submit(change, author, share) for author, share
                in (("ana", 0.01 + made_from / 1000),
                    ("boris", 0.1 + made_from / 1000))}
        return {author: job.result() for author, job in jobs.items()}


def check_round(fleet, results, version):
    winners = [author for author, done in results.items()
               if done.returncode == 0]
    losers = [author for author, done in results.items()
              if done.returncode == 5]
    expect(len(winners) == 1 and len(losers) == 1, results)
    told = results[losers[0]].stderr
    expect(f"by {winners[0]}" in told, told)
    expect("/limits/retry_share/value" in told, told)
    stored = fleet.stored()
    expect(stored["version"] == version, stored["version"])
    expect(stored["author"] == winners[0], stored["author"])


def main():
    fleet = ConfigurationFleet(sys.argv[1], TOPOLOGY)
    try:
        fleet.start_all()
        folders = {}
        for author in ("ana", "boris"):
            folders[author] = fleet.files.parent / author
            shutil.copytree(fleet.files, folders[author])
        for made_from in range(ROUNDS):
            check_round(fleet, race(fleet, folders, made_from), made_from + 1)
        example.wait_for(lambda: fleet.all_at(ROUNDS), "the last version")
        expect(fleet.reversions() == 0, "a daemon went back")
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
