#!/usr/bin/env python3
"""Two operators apply a change to the same version at the same time.

Exactly one change must be accepted: without the comparison of versions in the
store, the second would overwrite the first. The refusal of the other names
the author of the accepted change and the differences.
"""

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


def apply_concurrently(fleet, folders, made_from):
    def apply_change(author, share):
        fleet.write_retry_share(folders[author], share)
        return fleet.ctl_on_files("apply", "--author", author,
                                  f"--made_from={made_from}",
                                  files=folders[author])

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futures = {author: pool.submit(apply_change, author, share)
                   for author, share in
                   (("ana", 0.01 + made_from / 1000),
                    ("boris", 0.1 + made_from / 1000))}
        return {author: future.result() for author, future in futures.items()}


def check_round(fleet, results, version):
    winners = [author for author, result in results.items()
               if result.returncode == 0]
    losers = [author for author, result in results.items()
              if result.returncode == 5]
    expect(len(winners) == 1 and len(losers) == 1, results)
    message = results[losers[0]].stderr
    expect(f"by {winners[0]}" in message, message)
    expect("/limits/retry_share/value" in message, message)
    stored_configuration = fleet.stored_configuration()
    expect(stored_configuration["version"] == version,
           stored_configuration["version"])
    expect(stored_configuration["author"] == winners[0],
           stored_configuration["author"])


def main():
    fleet = ConfigurationFleet(sys.argv[1], TOPOLOGY)
    try:
        fleet.start_all()
        folders = {}
        for author in ("ana", "boris"):
            folders[author] = fleet.files.parent / author
            shutil.copytree(fleet.files, folders[author])
        for made_from in range(ROUNDS):
            check_round(fleet, apply_concurrently(fleet, folders, made_from),
                        made_from + 1)
        example.wait_for(lambda: fleet.all_have_version(ROUNDS),
                         "the last version")
        expect(fleet.adopted_reversions() == 0,
               "a daemon adopted an older version")
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
