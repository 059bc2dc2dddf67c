#!/usr/bin/env python3
"""Faults that come together: the store down while a failure domain is lost
while a flood runs; a lease that lapses while its holder is paused and the
configuration changes; a drain during a hedge with an answer that is late."""

import pathlib
import sys
import time

from combined import (Flood, HarmedFleet, ROOT, check, run, run_request,
                      send)

TOPOLOGY = ROOT / "test/process/data/combined"


def keyed_deposit(vms):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        name = f"deposit-{thread}-{number}"
        return send(vm, "POST", "/reservas/deposits", name, name, name)
    return call


def plain_deposit(vms):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        name = f"plain-{thread}-{number}"
        return send(vm, "POST", "/reservas/deposits?work_ms=2", name, name)
    return call


def browse(vms):
    def call(thread, number):
        vm = vms[(thread + number) % len(vms)]
        return send(vm, "GET", "/escaparate/catalogue?work_ms=20",
                    f"browse-{thread}-{number}")
    return call


def store_down_domain_lost_flood(fleet):
    kept = fleet.outside("oviedo")
    flood = Flood(browse(kept), threads=24)
    deposits = Flood(plain_deposit(kept), threads=2)
    keyed = Flood(keyed_deposit(kept), threads=2)
    flood.wait_for_more(200)
    keyed.wait_for_more(5)
    fleet.store_set("down=1")
    fleet.kill_domain("oviedo")
    flood.wait_for_more(400)
    deposits.wait_for_more(100)
    fleet.store_set("down=0")
    keyed_before = keyed.count()
    run.wait_for(lambda: any(outcome.whole for outcome
                             in keyed.outcomes[keyed_before:]),
                 "keyed calls to be answered again")
    outcomes = flood.stop() + deposits.stop() + keyed.stop()
    answered = [each for each in outcomes if each.status == 200]
    check(all(each.whole for each in answered),
          f"{len(answered)} answers are each caller's own and whole")
    cut = [each for each in outcomes if each.status is None]
    check(not cut, f"no call of {len(outcomes)} ended without an answer "
                   "or a refusal")
    runs = fleet.runs_by_key()
    check(all(count == 1 for count in runs.values()),
          f"each of {len(runs)} keys ran at most once")
    ran_but_refused = [each.key for each in outcomes
                       if each.not_run and each.key in runs]
    check(not ran_but_refused, "what was refused as not-run did not run")
    check(fleet.versions(kept) == [1] * len(kept),
          "the configuration did not change")


def paused_lease_holder_and_new_configuration(fleet):
    paused = fleet.vms[0]
    others = fleet.outside("oviedo")[1:]
    fleet.pause(paused)
    done = fleet.ctl_from(others[0], "apply", "--store", fleet.store,
                          "--base", fleet.changed_base(),
                          "--overlays", fleet.example / "overlays",
                          "--author", "beñat", "--note", "second")
    check(done.returncode == 0, f"apply was accepted: {done.stderr.strip()}")
    run.wait_for(lambda: fleet.versions(others) == [2] * len(others),
                 "version 2 at the others")
    fleet.wait_for_lapse()
    fleet.resume(paused)
    run.wait_for(lambda: fleet.versions([paused]) == [2],
                 "version 2 at the member that was paused")
    everyone = fleet.outside("oviedo")
    check(fleet.versions(everyone) == [2] * len(everyone),
          "no member went back to version 1")
    answer = send(paused, "POST", "/reservas/deposits", "after", "after")
    check(answer.whole, "the member that was paused serves calls again")


def drain_during_hedge_with_late_answer(fleet):
    vms = fleet.outside("oviedo")
    catalogue = [vm for vm in vms if vm["service"] == "escaparate"]
    slow, quick = catalogue[0], catalogue[1]
    warm = Flood(browse(vms), threads=4)
    warm.wait_for_more(100)
    fleet.upstream_set(slow, "slow=20")
    warm.wait_for_more(40)
    fleet.drain_upstream(slow)
    warm.wait_for_more(100)
    fleet.upstream_set(slow, "slow=1")
    outcomes = warm.stop()
    check(all(each.whole for each in outcomes),
          f"{len(outcomes)} calls were answered whole, none crossed or cut")
    before = fleet.upstream_counts(slow)["runs"]
    after_drain = Flood(browse(vms), threads=4)
    after_drain.wait_for_more(100)
    after_drain.stop()
    check(fleet.upstream_counts(slow)["runs"] == before,
          "the drained upstream got no new work")
    check(fleet.upstream_counts(quick)["runs"] > 0, "the other one serves")


class CombinedFleet(HarmedFleet):
    # Longer than any lease of the product.
    LAPSE_S = 12

    def changed_base(self):
        path = pathlib.Path(self.folder.name) / "second-base.json"
        text = (self.example / "base.json").read_text()
        path.write_text(text.replace('"value": 128', '"value": 120'))
        return path

    def ctl_from(self, vm, command, *arguments):
        first = self.vms
        self.vms = [vm] + [other for other in first if other is not vm]
        try:
            return self.ctl(command, *arguments)
        finally:
            self.vms = first

    def wait_for_lapse(self):
        time.sleep(self.LAPSE_S)

    def drain_upstream(self, vm):
        run_request(f"{vm['address']}:7101", "POST", "/v1/upstream/drain")


def main():
    fleet = CombinedFleet(sys.argv[1], TOPOLOGY)
    try:
        fleet.start()
        store_down_domain_lost_flood(fleet)
        paused_lease_holder_and_new_configuration(fleet)
        drain_during_hedge_with_late_answer(fleet)
    finally:
        fleet.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
