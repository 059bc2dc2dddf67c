#!/usr/bin/env python3
"""Membership over real daemons: start with the store down, crash, pause,
restart, leave.

Members could fail to find each other while the store is down, miss a death,
or take a restarted or resumed daemon for dead; a paused daemon could declare
its healthy peers dead when it resumes.
"""

import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "examples"))

import run  # noqa: E402

NOTICE_TIMEOUT_S = 60


class MembershipFleet(run.Fleet):
    """Daemons without upstreams; a test starts the store itself."""

    def __init__(self, build):
        super().__init__(build,
                         ROOT / "test" / "process" / "data" / "membership")

    def members_known_to(self, vm):
        members = run.get_json(f"{vm['address']}:7105", "/v1/members")
        return {record["id"]: record for record in members or []}

    def all_report_state(self, member, state, observers):
        for vm in observers:
            record = self.members_known_to(vm).get(member)
            if record is None or record["state"] != state:
                return False
        return True

    def all_know_live_members(self, observers):
        for vm in observers:
            live = [record for record in self.members_known_to(vm).values()
                    if record["state"] == "alive"]
            if len(live) != len(self.vms):
                return False
        return True

    def claimed_introducer_slots(self):
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


def wait_for(condition, description):
    run.wait_for(condition, description, NOTICE_TIMEOUT_S)
    print(f"ok: {description}", flush=True)


def check(condition, description):
    if not condition:
        raise AssertionError(description)
    print(f"ok: {description}", flush=True)


def test_start_without_store(fleet):
    for vm in fleet.vms:
        fleet.start_daemon(vm)
    wait_for(lambda: fleet.all_know_live_members(fleet.vms),
             "with the store down, all find each other through introducers")
    fleet.start_store()
    wait_for(lambda: fleet.claimed_introducer_slots() >= 3,
             "introducers claim slots once the store is up")


def test_crash_and_restart(fleet):
    victim, others = fleet.vms[4], fleet.vms[:4] + fleet.vms[5:]
    before = fleet.members_known_to(others[0])[victim["member"]]
    process = fleet.daemons[victim["member"]]
    process.kill()
    process.wait()
    wait_for(lambda: fleet.all_report_state(victim["member"], "dead", others),
             "every member sees the killed daemon as dead")
    fleet.start_daemon(victim)
    wait_for(lambda: fleet.all_know_live_members(fleet.vms),
             "every member sees it as alive after a restart")
    after = fleet.members_known_to(others[0])[victim["member"]]
    check(after["incarnation"] > before["incarnation"],
          "its incarnation is higher than before")


def test_pause(fleet):
    victim, others = fleet.vms[3], fleet.vms[:3] + fleet.vms[4:]
    before = fleet.members_known_to(others[0])[victim["member"]]
    process = fleet.daemons[victim["member"]]
    process.send_signal(signal.SIGSTOP)
    try:
        wait_for(lambda: fleet.all_report_state(victim["member"], "dead",
                                              others),
                 "every member sees the paused daemon as dead")
    finally:
        process.send_signal(signal.SIGCONT)
    wait_for(lambda: fleet.all_know_live_members(fleet.vms),
             "every member sees it as alive once it runs")
    after = fleet.members_known_to(others[0])[victim["member"]]
    check(after["incarnation"] > before["incarnation"],
          "it refuted with a higher incarnation")
    check(fleet.metric(victim, "galenarudder_membership_pauses_total") >= 1,
          "it detected its own pause")
    check(fleet.metric(victim, "galenarudder_membership_deaths_total") == 0,
          "it declared no member dead because of its own pause")


def test_leave(fleet):
    leaver, others = fleet.vms[5], fleet.vms[:5]
    process = fleet.daemons.pop(leaver["member"])
    process.terminate()
    wait_for(lambda: fleet.all_report_state(leaver["member"], "left", others),
             "every member sees the stopped daemon as left")
    check(process.wait(run.STOP_TIMEOUT_S) == 0, "it exited with 0")


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
        check(code == 0, f"{member} exited with 0 ({code})")


if __name__ == "__main__":
    main()
