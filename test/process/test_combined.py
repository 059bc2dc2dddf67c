#!/usr/bin/env python3
"""Several faults at the same time over real processes.

- The store is down and a failure domain is lost during a flood of calls: calls
  could be cut, get another caller's answer or run twice for one key.
- A daemon is paused until its lease has expired while the configuration
  changes: on resuming, it could bring the old version back.
- An upstream is drained while it is slow and its calls are hedged: a late
  answer could be mixed up, or the drained upstream get new work.
"""

import pathlib
import sys
import time

from combined import (BackgroundCalls, FaultFleet, ROOT, check,
                      http_request, run, send_call)

TOPOLOGY = ROOT / "test/process/data/combined"


def keyed_deposit_call(vms):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        name = f"deposit-{thread}-{number}"
        return send_call(vm, "POST", "/reservas/deposits", name, name, name)
    return call


def plain_deposit_call(vms):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        name = f"plain-{thread}-{number}"
        return send_call(vm, "POST", "/reservas/deposits?work_ms=2", name,
                         name)
    return call


def browse_call(vms):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        return send_call(vm, "GET", "/escaparate/catalogue?work_ms=20",
                         f"browse-{thread}-{number}")
    return call


def store_down_and_domain_lost_during_flood(fleet):
    remaining = fleet.vms_outside("oviedo")
    flood = BackgroundCalls(browse_call(remaining), threads=24)
    deposits = BackgroundCalls(plain_deposit_call(remaining), threads=2)
    keyed = BackgroundCalls(keyed_deposit_call(remaining), threads=2)
    flood.wait_for_more(200)
    keyed.wait_for_more(5)
    fleet.set_store("down=1")
    fleet.kill_domain("oviedo")
    flood.wait_for_more(400)
    deposits.wait_for_more(100)
    fleet.set_store("down=0")
    keyed_calls_before = keyed.completed()
    run.wait_for(lambda: any(outcome.complete for outcome
                             in keyed.outcomes[keyed_calls_before:]),
                 "keyed calls to be answered again")
    outcomes = flood.stop() + deposits.stop() + keyed.stop()
    answered = [outcome for outcome in outcomes if outcome.status == 200]
    check(all(outcome.complete for outcome in answered),
          f"{len(answered)} answers are complete and the caller's own")
    unanswered = [outcome for outcome in outcomes if outcome.status is None]
    check(not unanswered,
          f"no call of {len(outcomes)} ended without an answer "
          "or a refusal")
    runs = fleet.runs_by_key()
    check(all(count == 1 for count in runs.values()),
          f"each of {len(runs)} keys ran at most once")
    refused_keys_that_ran = [outcome.key for outcome in outcomes
                             if outcome.not_run and outcome.key in runs]
    check(not refused_keys_that_ran,
          "no call that was refused as not-run ran")
    check(fleet.versions_in_force(remaining) == [1] * len(remaining),
          "the configuration did not change")


def configuration_changes_while_lease_holder_is_paused(fleet):
    paused = fleet.vms[0]
    others = fleet.vms_outside("oviedo")[1:]
    fleet.pause(paused)
    result = fleet.ctl_from(others[0], "apply", "--store", fleet.store,
                            "--base", fleet.changed_base(),
                            "--overlays", fleet.example / "overlays",
                            "--author", "beñat", "--note", "second")
    check(result.returncode == 0,
          f"apply was accepted: {result.stderr.strip()}")
    run.wait_for(lambda: fleet.versions_in_force(others) == [2] * len(others),
                 "version 2 at the other members")
    fleet.wait_until_leases_expire()
    fleet.resume(paused)
    run.wait_for(lambda: fleet.versions_in_force([paused]) == [2],
                 "version 2 at the resumed member")
    members = fleet.vms_outside("oviedo")
    check(fleet.versions_in_force(members) == [2] * len(members),
          "no member went back to version 1")
    answer = send_call(paused, "POST", "/reservas/deposits", "after", "after")
    check(answer.complete, "the resumed member serves calls again")


def drain_during_hedge_with_late_answer(fleet):
    vms = fleet.vms_outside("oviedo")
    catalogue = [vm for vm in vms if vm["service"] == "escaparate"]
    slow, fast = catalogue[0], catalogue[1]
    browsing = BackgroundCalls(browse_call(vms), threads=4)
    browsing.wait_for_more(100)
    fleet.set_upstream(slow, "slow=20")
    browsing.wait_for_more(40)
    fleet.drain_upstream(slow)
    browsing.wait_for_more(100)
    fleet.set_upstream(slow, "slow=1")
    outcomes = browsing.stop()
    check(all(outcome.complete for outcome in outcomes),
          f"{len(outcomes)} calls got their own complete answer")
    before = fleet.upstream_counts(slow)["runs"]
    after_drain = BackgroundCalls(browse_call(vms), threads=4)
    after_drain.wait_for_more(100)
    after_drain.stop()
    check(fleet.upstream_counts(slow)["runs"] == before,
          "the drained upstream got no new work")
    check(fleet.upstream_counts(fast)["runs"] > 0, "the other upstream serves")


class CombinedFleet(FaultFleet):
    # Meant to exceed every lease that a daemon takes.
    EXPIRY_WAIT_S = 12

    def changed_base(self):
        path = pathlib.Path(self.folder.name) / "second-base.json"
        text = (self.example / "base.json").read_text()
        path.write_text(text.replace('"value": 128', '"value": 120'))
        return path

    def ctl_from(self, vm, command, *arguments):
        vms_in_order = self.vms
        self.vms = [vm] + [other for other in vms_in_order if other is not vm]
        try:
            return self.ctl(command, *arguments)
        finally:
            self.vms = vms_in_order

    def wait_until_leases_expire(self):
        time.sleep(self.EXPIRY_WAIT_S)

    def drain_upstream(self, vm):
        http_request(f"{vm['address']}:7101", "POST", "/v1/upstream/drain")


def main():
    fleet = CombinedFleet(sys.argv[1], TOPOLOGY)
    try:
        fleet.start()
        store_down_and_domain_lost_during_flood(fleet)
        configuration_changes_while_lease_holder_is_paused(fleet)
        drain_during_hedge_with_late_answer(fleet)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
