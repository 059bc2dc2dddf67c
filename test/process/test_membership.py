#!/usr/bin/env python3
"""Membership over real daemons: start with the store down, a crash, a paused
process, a restart, a store that returns, a clean leave."""

import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "examples"))

import run  # noqa: E402

NOTICE_TIMEOUT_S = 60


class MembershipFleet(run.Fleet):
    """Daemons without upstreams; the store starts when a test wants it."""

    def __init__(self, build):
        super().__init__(build,
                         ROOT / "test" / "process" / "data" / "membership")

    def members_seen_by(self, vm):
        found = run.get_json(f"{vm['address']}:7105", "/v1/members")
        return {record["id"]: record for record in found or []}

    def all_see(self, member, state, watchers):
        for vm in watchers:
            record = self.members_seen_by(vm).get(member)
            if record is None or record["state"] != state:
                return False
        return True

    def all_count(self, watchers):
        for vm in watchers:
            live = [record for record in self.members_seen_by(vm).values()
                    if record["state"] == "alive"]
            if len(live) != len(self.vms):
                return False
        return True

    def slots_claimed(self):
        claimed = 0
        for domain in self.topology["domains"]:
            for slot in range(3):
                entry = run.get_json(
                    self.store,
                    f"/v1/kv/galenarudder/introducers/{domain}/{slot}")
                if entry and entry[0].get("Session"):
                    claimed += 1
        return claimed

    def metric(self, vm, name):
        import http.client
        connection = http.client.HTTPConnection(vm["address"], 7105, timeout=2)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        finally:
            connection.close()
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise KeyError(name)


def wait(condition, what):
    run.wait_for(condition, what, NOTICE_TIMEOUT_S)
    print(f"ok: {what}", flush=True)


def check(condition, what):
    if not condition:
        raise AssertionError(what)
    print(f"ok: {what}", flush=True)


def test_start_without_store(fleet):
    for vm in fleet.vms:
        fleet.start_daemon(vm)
    wait(lambda: fleet.all_count(fleet.vms),
         "all find each other by the settings' introducers, store down")
    fleet.start_store()
    wait(lambda: fleet.slots_claimed() >= 3,
         "introducers claim slots once the store is there")


def test_crash_and_restart(fleet):
    victim, others = fleet.vms[4], fleet.vms[:4] + fleet.vms[5:]
    before = fleet.members_seen_by(others[0])[victim["member"]]
    process = fleet.daemons[victim["member"]]
    process.kill()
    process.wait()
    wait(lambda: fleet.all_see(victim["member"], "dead", others),
         "a killed daemon is dead to all")
    fleet.start_daemon(victim)
    wait(lambda: fleet.all_count(fleet.vms), "it is back after a restart")
    after = fleet.members_seen_by(others[0])[victim["member"]]
    check(after["incarnation"] > before["incarnation"],
          "its incarnation is higher")


def test_pause(fleet):
    victim, others = fleet.vms[3], fleet.vms[:3] + fleet.vms[4:]
    before = fleet.members_seen_by(others[0])[victim["member"]]
    process = fleet.daemons[victim["member"]]
    process.send_signal(signal.SIGSTOP)
    try:
        wait(lambda: fleet.all_see(victim["member"], "dead", others),
             "a paused daemon is dead to all")
    finally:
        process.send_signal(signal.SIGCONT)
    wait(lambda: fleet.all_count(fleet.vms), "it is back once it runs")
    after = fleet.members_seen_by(others[0])[victim["member"]]
    check(after["incarnation"] > before["incarnation"],
          "it refuted with a higher incarnation")
    check(fleet.metric(victim, "galenarudder_membership_pauses_total") >= 1,
          "it counted its own pause")
    check(fleet.metric(victim, "galenarudder_membership_deaths_total") == 0,
          "it declared nobody dead for its own pause")


def test_leave(fleet):
    leaver, others = fleet.vms[5], fleet.vms[:5]
    process = fleet.daemons.pop(leaver["member"])
    process.terminate()
    wait(lambda: fleet.all_see(leaver["member"], "left", others),
         "a daemon that was told to leave has left for all")
    check(process.wait(run.STOP_TIMEOUT_S) == 0, "it ended with code 0")


def main():
    fleet = MembershipFleet(sys.argv[1])
    try:
        test_start_without_store(fleet)
        test_pause(fleet)
        test_crash_and_restart(fleet)
        test_leave(fleet)
    finally:
        codes = fleet.stop()
    for member, code in codes.items():
        check(code == 0, f"{member} ended cleanly ({code})")


if __name__ == "__main__":
    main()
