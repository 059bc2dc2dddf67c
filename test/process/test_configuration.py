#!/usr/bin/env python3
"""An accepted configuration comes into force everywhere and stays, with the
store down, set back or losing its answer."""

import http.client
import json
import subprocess
import sys

from configuration_fleet import ConfigurationFleet, example, expect


def apply(fleet, share, expected=0):
    fleet.set_share(share)
    done = fleet.tool("apply", "--author", "ana", "--note", f"share {share}")
    expect(done.returncode == expected,
           f"apply ended with {done.returncode}: {done.stdout}{done.stderr}")
    return done


def in_force(fleet, version):
    example.wait_for(lambda: fleet.all_at(version), f"version {version}")


def first_change_and_reports(fleet):
    apply(fleet, 0.1)
    in_force(fleet, 1)
    again = apply(fleet, 0.1)
    expect("in force already" in again.stdout, again.stdout)
    expect(fleet.stored()["version"] == 1, "applying again wrote")
    shown = json.loads(fleet.tool("show", "--site", "south", "--output",
                                  "json").stdout)
    share = next(value for value in shown["values"]
                 if value["path"] == "limits/retry_share")
    expect(share["value"] == 0.05, share)
    expect(share["origin"]["document"] == "overlay south", share)
    fleet.set_share(0.15)
    differing = fleet.tool("diff")
    expect(differing.returncode == 7, "diff must report a difference")
    expect("0.1 -> 0.15" in differing.stdout, differing.stdout)
    fleet.set_share(0.3)
    rejected = fleet.tool("apply")
    expect(rejected.returncode == 3, "out of bounds must be invalid")
    expect("base.json: line" in rejected.stderr, rejected.stderr)
    expect("[0.0, 0.2]" in rejected.stderr, rejected.stderr)


def store_down_after_acceptance(fleet):
    fleet.set_share(0.11)
    done = fleet.tool("apply")
    fleet.set_store(down=1)
    expect(done.returncode == 0, done.stderr)
    expect("handed to 6 of 6" in done.stdout, done.stdout)
    in_force(fleet, 2)
    down = fleet.tool("apply", "--timeout_ms", "300", "--patience_ms", "300",
                      "--base", fleet.files / "base.json")
    expect(down.returncode == 4, f"store down: {down.returncode}")
    fleet.set_store(down=0)


def store_set_back(fleet):
    old = json.dumps(fleet.stored())
    apply(fleet, 0.12)
    in_force(fleet, 3)
    fleet.overwrite_store(old)
    example.wait_for(lambda: fleet.stored()["version"] == 3,
                     "the newer version to be written back")
    expect(all(fleet.version_at(vm) == 3 for vm in fleet.vms), "reverted")
    refused = fleet.sum_of(
        "galenarudder_configuration_reversions_refused_total")
    expect(refused > 0, "the old value was not offered to any daemon")


def lost_answer(fleet):
    fleet.set_share(0.13)
    fleet.set_store(lose_next_answer=1)
    done = fleet.tool("apply")
    expect(done.returncode == 0, done.stderr)
    expect("accepted version 4" in done.stdout, done.stdout)
    in_force(fleet, 4)


def replaced_vm(fleet):
    """A VM that starts while the store is down takes a peer's version."""
    vm = fleet.vms[-1]
    process = fleet.daemons[vm["member"]]
    process.terminate()
    process.wait(timeout=15)
    fleet.set_store(down=1)
    fleet.start_daemon(vm)
    in_force(fleet, 4)
    fleet.set_store(down=0)


def reports(fleet):
    status = json.loads(fleet.tool("status", "--output", "json").stdout)
    expect(status["version"] == 4, status)
    expect({site["site"] for site in status["sites"]}
           == {"north", "south", "east"}, status)
    history = json.loads(fleet.tool("history", "--output", "json").stdout)
    expect([change["version"] for change in history] == [4, 3, 2, 1], history)
    found = fleet.tool("history", "--change", history[2]["change_id"])
    expect(found.returncode == 0 and "replaced" in found.stdout, found.stdout)
    taken = fleet.tool("snapshot").stdout
    lines = taken.splitlines()
    header, snapshot = json.loads(lines[0]), json.loads(lines[1])
    expect(header["format"] == "galenarudder-trace-1", header)
    expect(len(snapshot["snapshot"]["members"]) == len(fleet.vms), snapshot)
    expect("load" in snapshot["snapshot"], snapshot)
    trace = fleet.files / "snapshot.jsonl"
    trace.write_text(taken)
    replayed = subprocess.run(
        [fleet.build / "galenarudder-replay", "--trace", trace],
        capture_output=True, text=True, timeout=30, check=False)
    expect(replayed.returncode == 0, replayed.stderr)
    decisions = json.loads(fleet.tool("decisions", "--output", "json").stdout)
    expect(len(decisions["counts"]) == 18, decisions)


def unsigned_documents_are_refused(fleet):
    forged = fleet.stored()
    forged["version"] = 99
    host, port = fleet.vms[0]["address"], 7105
    connection = http.client.HTTPConnection(host, port, timeout=5)
    connection.request("PUT", "/v1/configuration", body=json.dumps(
        {"from": {"version": 0, "hash": ""},
         "to": {"version": 99, "hash": ""}, "body": json.dumps(forged)}))
    expect(connection.getresponse().status == 403, "an unsigned document")
    expect(fleet.version_at(fleet.vms[0]) == 4, "a forged version")


def main():
    fleet = ConfigurationFleet(sys.argv[1])
    try:
        fleet.start_all()
        for step in (first_change_and_reports, store_down_after_acceptance,
                     store_set_back, lost_answer, replaced_vm, reports,
                     unsigned_documents_are_refused):
            step(fleet)
            print(f"ok: {step.__name__}", flush=True)
        expect(fleet.reversions() == 0, "a daemon went back")
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
