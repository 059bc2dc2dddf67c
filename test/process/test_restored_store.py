#!/usr/bin/env python3
"""Daemons whose store comes back from an older copy.

Covers revisions and lease ids that are given out again with other contents,
restarts and cuts around the restore, and configurations that are older or
invalid. In each case a change could be missed for good, be undone, or a lease
of another member be renewed.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_rig import Rig, check, configuration, wait_for

ROUTES = {"/a/": ("alpha", "idempotent"), "/b/": ("beta", "non_idempotent")}
SLOTS = "galenarudder/introducers/"
IN_FORCE_WITHIN_S = 6


def status(vm, path):
    return vm.call(path)[1]


def with_route(prefix):
    return {**ROUTES, prefix: ("alpha", "idempotent")}


def put(rig, version, prefix):
    rig.store.put_configuration(configuration(version, with_route(prefix)))


def in_force_everywhere(rig, prefix, description):
    for vm in rig.vms:
        wait_for(lambda: status(vm, prefix + "1") == 200,
                 f"{vm.name}: {description}", IN_FORCE_WITHIN_S)


def write_other_keys(rig, count):
    for _ in range(count):
        with rig.store.changed:
            rig.store.write("servers/other", b"1")


def write_other_keys_until(rig, revision):
    write_other_keys(rig, revision - rig.store.revision)


def cut_off_and_restore(rig, earlier, mode="busy"):
    rig.store.set_mode(mode)
    time.sleep(0.2)
    rig.store.restore(earlier)


def start(rig):
    rig.store.put_configuration(configuration(1, ROUTES))
    for vm in rig.vms:
        vm.start()
        vm.upstream.check_ins_enabled.set()
    for vm in rig.vms:
        wait_for(lambda: vm.is_ready() and status(vm, "/a/1") == 200
                 and status(vm, "/b/1") == 200, f"{vm.name} serves")
    wait_for(lambda: sum(key.startswith(SLOTS)
                         for key in rig.store.items) == 4,
             "each daemon holds an introducer slot")


def change_before_the_first_call_is_not_missed(rig):
    earlier = rig.store.take_copy()
    write_other_keys(rig, 5)
    put(rig, 5, "/c5/")
    in_force_everywhere(rig, "/c5/", "version 5 is in force")
    with rig.store.changed:
        known = rig.store.revision
        rig.store.restore(earlier)
        put(rig, 6, "/c6/")
        write_other_keys_until(rig, known + 20)
    in_force_everywhere(
        rig, "/c6/", "a change is not missed where the first call after the "
        "restore is a watch")


def change_below_the_known_revision_is_not_missed(rig):
    earlier = rig.store.take_copy()
    write_other_keys(rig, 5)
    put(rig, 10, "/c10/")
    known = rig.store.revision
    in_force_everywhere(rig, "/c10/", "version 10 is in force")
    cut_off_and_restore(rig, earlier)
    put(rig, 11, "/c11/")
    write_other_keys_until(rig, known + 20)
    rig.store.set_mode("up")
    in_force_everywhere(
        rig, "/c11/",
        "a change under a revision below the known one is not missed")


def change_under_the_known_revision_is_not_missed(rig):
    earlier = rig.store.take_copy()
    write_other_keys(rig, 5)
    put(rig, 20, "/c20/")
    known = rig.store.items["op/config"]["rev"]
    in_force_everywhere(rig, "/c20/", "version 20 is in force")
    cut_off_and_restore(rig, earlier, "silent")
    write_other_keys_until(rig, known - 1)
    put(rig, 21, "/c21/")
    write_other_keys(rig, 20)
    rig.store.set_mode("up")
    in_force_everywhere(
        rig, "/c21/", "a change under the known revision is not missed")


def change_under_the_known_revision_is_read_after_410(rig):
    earlier = rig.store.take_copy()
    write_other_keys(rig, 5)
    put(rig, 30, "/c30/")
    known = rig.store.items["op/config"]["rev"]
    in_force_everywhere(rig, "/c30/", "version 30 is in force")
    write_other_keys(rig, 20)
    rig.store.compact_history()
    time.sleep(1)
    cut_off_and_restore(rig, earlier)
    write_other_keys_until(rig, known - 1)
    put(rig, 31, "/c31/")
    rig.store.set_mode("up")
    in_force_everywhere(
        rig, "/c31/",
        "a change under the known revision is seen where a watch gets 410")


def older_configuration_is_not_taken(rig):
    earlier = rig.store.take_copy()
    put(rig, 40, "/c40/")
    in_force_everywhere(rig, "/c40/", "version 40 is in force")
    rig.store.restore(earlier)
    end = time.monotonic() + 3
    while time.monotonic() < end:
        for vm in rig.vms:
            if status(vm, "/c40/1") != 200 or status(vm, "/c31/1") != 404:
                raise AssertionError(f"{vm.name} took an older version")
        time.sleep(0.1)
    check(True, "an older version that the store shows is not taken")
    restarted = rig.vms[0]
    restarted.stop()
    restarted.start()
    wait_for(lambda: restarted.is_ready()
             and status(restarted, "/c40/1") == 200,
             "a daemon that restarts before the operator writes again gets "
             "the newest version from its peers", IN_FORCE_WITHIN_S)
    put(rig, 40, "/c40/")
    put(rig, 41, "/c41/")
    in_force_everywhere(rig, "/c41/", "the next change is not missed")


def invalid_configuration_is_not_taken(rig):
    earlier = rig.store.take_copy()
    put(rig, 50, "/c50/")
    known = rig.store.items["op/config"]["rev"]
    in_force_everywhere(rig, "/c50/", "version 50 is in force")
    cut_off_and_restore(rig, earlier)
    write_other_keys_until(rig, known - 1)
    rig.store.put_configuration(b'{"version":51,"routes":[]}')
    write_other_keys(rig, 20)
    rig.store.set_mode("up")
    time.sleep(2)
    check(all(status(vm, "/c50/1") == 200 for vm in rig.vms),
          "an invalid configuration after the restore is not taken")
    put(rig, 52, "/c52/")
    in_force_everywhere(rig, "/c52/", "the next valid one is")


def second_restore_within_a_second(rig):
    earlier = rig.store.take_copy()
    write_other_keys(rig, 5)
    put(rig, 60, "/c60/")
    known = rig.store.revision
    in_force_everywhere(rig, "/c60/", "version 60 is in force")
    cut_off_and_restore(rig, earlier)
    put(rig, 61, "/c61/")
    write_other_keys_until(rig, known + 20)
    rig.store.set_mode("up")
    time.sleep(0.5)
    cut_off_and_restore(rig, earlier)
    put(rig, 62, "/c62/")
    write_other_keys_until(rig, known + 40)
    rig.store.set_mode("up")
    in_force_everywhere(
        rig, "/c62/", "a change between two restores within a second is not "
        "missed")


def lease_given_out_again_is_not_renewed(rig):
    store = rig.store
    with store.changed:
        former = sorted(store.leases)
        for key in [key for key in store.items if key.startswith(SLOTS)]:
            del store.items[key]
        store.leases = {lease: (60, time.monotonic() + 60)
                        for lease in former}
        earlier_calls = len(store.requested_paths)
    earlier = store.take_copy()
    store.restore(earlier)

    def renewed():
        return [path for path in store.requested_paths[earlier_calls:]
                if path.rsplit("/", 1)[-1] in map(str, former)
                and "/kv-keep/" in path]
    wait_for(lambda: len([key for key, item in store.items.items()
                          if key.startswith(SLOTS)
                          and item["lease"] not in former]) == 4
             or renewed(),
             "daemons claim their slots anew under leases of their own", 90)
    check(not renewed(), "no daemon renews a lease id that was given out again")


def main():
    with Rig(sys.argv[1], ["alpha", "beta", "alpha", "beta"],
             network="127.9") as rig:
        start(rig)
        failures = []
        for scenario in (change_before_the_first_call_is_not_missed,
                         change_below_the_known_revision_is_not_missed,
                         change_under_the_known_revision_is_not_missed,
                         change_under_the_known_revision_is_read_after_410,
                         older_configuration_is_not_taken,
                         invalid_configuration_is_not_taken,
                         second_restore_within_a_second,
                         lease_given_out_again_is_not_renewed):
            try:
                scenario(rig)
            except AssertionError as failure:
                failures.append(f"{scenario.__name__}: {failure}")
                print("FAILED", failures[-1], flush=True)
        check(not failures, f"all scenarios passed: {failures}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
