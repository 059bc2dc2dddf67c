#!/usr/bin/env python3
"""An accepted configuration comes into force on every daemon and stays.

It could be lost or reverted when the store goes down after the acceptance,
returns an older value, or loses the answer to a write, when a VM starts while
the store is down, or when somebody sends an unsigned document.
"""

import http.client
import json
import subprocess
import sys

from configuration_fleet import ConfigurationFleet, example, expect


def apply(fleet, retry_share, expected=0):
    fleet.set_retry_share(retry_share)
    result = fleet.ctl_on_files("apply", "--author", "ana",
                                "--note", f"share {retry_share}")
    expect(result.returncode == expected,
           f"apply ended with {result.returncode}: "
           f"{result.stdout}{result.stderr}")
    return result


def wait_until_in_force(fleet, version):
    example.wait_for(lambda: fleet.all_have_version(version),
                     f"version {version}")


def first_change_and_reports(fleet):
    apply(fleet, 0.1)
    wait_until_in_force(fleet, 1)
    second_apply = apply(fleet, 0.1)
    expect("in force already" in second_apply.stdout, second_apply.stdout)
    expect(fleet.stored_configuration()["version"] == 1,
           "applying the same configuration again wrote to the store")
    effective = json.loads(fleet.ctl_on_files("show", "--site", "south",
                                              "--output", "json").stdout)
    retry_share = next(value for value in effective["values"]
                       if value["path"] == "limits/retry_share")
    expect(retry_share["value"] == 0.05, retry_share)
    expect(retry_share["origin"]["document"] == "overlay south", retry_share)
    fleet.set_retry_share(0.15)
    diff = fleet.ctl_on_files("diff")
    expect(diff.returncode == 7, "diff must exit with 7 for a difference")
    expect("0.1 -> 0.15" in diff.stdout, diff.stdout)
    fleet.set_retry_share(0.3)
    invalid = fleet.ctl_on_files("apply")
    expect(invalid.returncode == 3,
           "apply must exit with 3 for a value out of bounds")
    expect("base.json: line" in invalid.stderr, invalid.stderr)
    expect("[0.0, 0.2]" in invalid.stderr, invalid.stderr)


def store_down_after_acceptance(fleet):
    fleet.set_retry_share(0.11)
    result = fleet.ctl_on_files("apply")
    fleet.set_store(down=1)
    expect(result.returncode == 0, result.stderr)
    expect("handed to 6 of 6" in result.stdout, result.stdout)
    wait_until_in_force(fleet, 2)
    store_down = fleet.ctl_on_files("apply", "--timeout_ms", "300",
                                    "--patience_ms", "300",
                                    "--base", fleet.files / "base.json")
    expect(store_down.returncode == 4,
           f"apply with the store down ended with {store_down.returncode}")
    fleet.set_store(down=0)


def store_reset_to_old_value(fleet):
    old_document = json.dumps(fleet.stored_configuration())
    apply(fleet, 0.12)
    wait_until_in_force(fleet, 3)
    fleet.overwrite_store(old_document)
    example.wait_for(lambda: fleet.stored_configuration()["version"] == 3,
                     "the newer version to be written back")
    expect(all(fleet.version_in_force(vm) == 3 for vm in fleet.vms),
           "a daemon reverted to the old version")
    refused_reversions = fleet.metric_sum(
        "galenarudder_configuration_reversions_refused_total")
    expect(refused_reversions > 0,
           "the old value was not offered to any daemon")


def lost_store_answer(fleet):
    fleet.set_retry_share(0.13)
    fleet.set_store(lose_next_answer=1)
    result = fleet.ctl_on_files("apply")
    expect(result.returncode == 0, result.stderr)
    expect("accepted version 4" in result.stdout, result.stdout)
    wait_until_in_force(fleet, 4)


def replaced_vm_takes_configuration_from_peer(fleet):
    """A VM that starts while the store is down takes a peer's version."""
    vm = fleet.vms[-1]
    process = fleet.daemons[vm["member"]]
    process.terminate()
    process.wait(timeout=15)
    fleet.set_store(down=1)
    fleet.start_daemon(vm)
    wait_until_in_force(fleet, 4)
    fleet.set_store(down=0)


def ctl_reports(fleet):
    status = json.loads(fleet.ctl_on_files("status", "--output",
                                           "json").stdout)
    expect(status["version"] == 4, status)
    expect({site["site"] for site in status["sites"]}
           == {"north", "south", "east"}, status)
    history = json.loads(fleet.ctl_on_files("history", "--output",
                                            "json").stdout)
    expect([change["version"] for change in history] == [4, 3, 2, 1], history)
    change = fleet.ctl_on_files("history", "--change", history[2]["change_id"])
    expect(change.returncode == 0 and "replaced" in change.stdout,
           change.stdout)
    snapshot_output = fleet.ctl_on_files("snapshot").stdout
    lines = snapshot_output.splitlines()
    header, snapshot_record = json.loads(lines[0]), json.loads(lines[1])
    expect(header["format"] == "galenarudder-trace-1", header)
    expect(len(snapshot_record["snapshot"]["members"]) == len(fleet.vms),
           snapshot_record)
    expect("load" in snapshot_record["snapshot"], snapshot_record)
    trace = fleet.files / "snapshot.jsonl"
    trace.write_text(snapshot_output)
    replayed = subprocess.run(
        [fleet.build / "galenarudder-replay", "--trace", trace],
        capture_output=True, text=True, timeout=30, check=False)
    expect(replayed.returncode == 0, replayed.stderr)
    decisions = json.loads(fleet.ctl_on_files("decisions", "--output",
                                              "json").stdout)
    # Nine automations, each with three effects.
    expect(len(decisions["counts"]) == 27, decisions)


def check_compares_with_the_fleet(fleet):
    """The exit status, locations and differences of check against a daemon.

    A check that ignored the fleet would pass a service that nobody runs.
    """
    base = json.loads((fleet.files / "base.json").read_text())
    overlays = sorted((fleet.files / "overlays").glob("*.json"))

    def check(document, *arguments):
        path = fleet.files / "checked.json"
        path.write_text(json.dumps(document, indent=1))
        result = fleet.ctl("check", path, *overlays, "--json", *arguments)
        report = json.loads(result.stdout)
        return result.returncode, {
            (finding["code"], finding["pointer"]): finding
            for finding in report["findings"]}

    status, findings = check(base)
    expect(status == 1, findings)
    expect(("service-without-upstreams", "/services/0") in findings, findings)
    expect(all(finding["severity"] != "error" for finding in
               findings.values()), findings)
    in_force = fleet.stored_configuration()["base"]["limits"]["retry_share"]
    changed = base | {"limits": base["limits"] | {
        "retry_share": in_force | {"value": 0.19}}}
    status, findings = check(changed)
    expect(status == 1, findings)
    difference = findings["changed", "/limits/retry_share"]
    expect(difference["before"]["value"] == in_force["value"]
           and difference["after"]["value"] == 0.19
           and difference["line"] > 1, difference)
    status, findings = check(base | {"colour": 1, "shade": 2})
    expect(status == 2 and ("schema", "/colour") in findings
           and ("schema", "/shade") in findings, findings)
    # Overlays in force are not removed by a check that names none.
    unnamed = json.loads(fleet.ctl("check", fleet.files / "base.json",
                                   "--json").stdout)["findings"]
    expect([finding["code"] for finding in unnamed
            if finding["code"] in ("overlays-not-compared", "removed")]
           == ["overlays-not-compared"], unnamed)
    # Without --daemon nothing is compared, not even with the default address.
    local = subprocess.run(
        [fleet.build / "galenarudderctl", "check", fleet.files / "base.json"],
        capture_output=True, text=True, timeout=30, check=False)
    expect(local.returncode == 0 and "[fleet-not-known]" in local.stdout,
           local.stdout)


def unsigned_documents_are_refused(fleet):
    forged = fleet.stored_configuration()
    forged["version"] = 99
    host, port = fleet.vms[0]["address"], 7105
    connection = http.client.HTTPConnection(host, port, timeout=5)
    connection.request("PUT", "/v1/configuration", body=json.dumps(
        {"from": {"version": 0, "hash": ""},
         "to": {"version": 99, "hash": ""}, "body": json.dumps(forged)}))
    expect(connection.getresponse().status == 403,
           "a daemon did not refuse an unsigned document")
    expect(fleet.version_in_force(fleet.vms[0]) == 4,
           "a daemon took a forged version")


def main():
    fleet = ConfigurationFleet(sys.argv[1])
    try:
        fleet.start_all()
        for step in (first_change_and_reports, store_down_after_acceptance,
                     store_reset_to_old_value, lost_store_answer,
                     replaced_vm_takes_configuration_from_peer, ctl_reports,
                     check_compares_with_the_fleet,
                     unsigned_documents_are_refused):
            step(fleet)
            print(f"ok: {step.__name__}", flush=True)
        expect(fleet.adopted_reversions() == 0,
               "a daemon adopted an older version")
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
