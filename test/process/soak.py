#!/usr/bin/env python3
"""A soak: real daemons under faults from outside, in series and overlapping.

Callers in processes of their own (soak_clients.py) keep calling while lanes of
faults, drawn from the seed, run side by side. What must hold in spite of any
fault is checked on the records of callers and upstreams and on the daemons.
"""

import argparse
import collections
import concurrent.futures
import contextlib
import json
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_checks import LIMIT_BOUNDS, empty_domain, take_back_domain
from platform_rig import Rig, configuration, wait_for
from soak_checks import (COLD_PER_S, metric, resources, violations_of_call,
                         violations_of_cold_upstreams,
                         violations_of_emptied_domains, violations_of_keys,
                         violations_of_limit)
from soak_clients import KEYS, ORGANISATIONS, ROUTES, STEADY, Clients

GRACE_S = 6
# What a daemon without callers may hold beyond what it held at first, when it
# had not called its peers.
MAX_FURTHER_DESCRIPTORS = 8
MAX_FURTHER_DESCRIPTORS_PER_PEER = 2
MAX_FURTHER_MEMORY_KB = 64 * 1024
INVALID_CONFIGURATIONS = (b"\xff\xfe", b"{}", b'{"version":99999}',
                          b'{"version":99999,"routes":[]}')


class Soak:
    def __init__(self, rig, clients, seed):
        self.rig = rig
        self.clients = clients
        self.seed = seed
        self.ended = threading.Event()
        self.version = 1
        self.version_lock = threading.Lock()
        self.locks = {vm.name: threading.RLock() for vm in rig.vms}
        # Name of a VM or the store, kind of fault, begin and end.
        self.disturbances = []
        # VM, begin and end of each time for which an upstream was cold.
        self.cold_times = []
        # Domain, begin and end of each time for which it was emptied.
        self.emptied_times = []
        self.violations = []
        self.faults_played = collections.Counter()

    def violated(self, description, vm=None):
        self.violations.append((description, vm))

    @contextlib.contextmanager
    def must_hold(self, vm=None):
        try:
            yield
        except AssertionError as failure:
            self.violated(str(failure), vm)

    @contextlib.contextmanager
    def disturbance(self, disturbed, kind):
        row = [disturbed.name, kind, time.monotonic(), float("inf")]
        self.disturbances.append(row)
        yield
        row[3] = time.monotonic()

    def was_disturbed(self, vm, kinds, begin, end):
        return any(name == vm.name and kind in kinds and first <= end
                   and last >= begin
                   for name, kind, first, last in self.disturbances)

    def start(self):
        for vm in self.rig.vms:
            vm.start()
        self.put_configuration()
        for vm in self.rig.vms:
            vm.upstream.check_ins_enabled.set()
        self.wait_for_calm()
        self.at_first = {vm.name: resources(vm) for vm in self.rig.vms}

    def put_configuration(self, further_routes=0):
        with self.version_lock:
            self.version += 1
            routes = {**ROUTES,
                      f"/version-{self.version}/": ("alpha", "idempotent"),
                      **{f"/wide-{number}/": ("alpha", "idempotent")
                         for number in range(further_routes)}}
            self.rig.store.put_configuration(configuration(
                self.version, routes, organisations=ORGANISATIONS,
                cold_per_s=COLD_PER_S))
            self.clients.version.value = self.version

    def start_daemon(self, vm):
        """Start a daemon; return when it handles signals."""
        position = vm.log.stat().st_size
        vm.start()
        wait_for(lambda: "daemon.started" in vm.log.read_text(
            errors="replace")[position:], f"{vm.name} has started")

    def check_alive(self, vm):
        code = vm.process.poll()
        if code is not None:
            self.violated(f"{vm.name} ended by itself with {code}", vm)
            self.start_daemon(vm)

    def kill(self, vm):
        self.check_alive(vm)
        with self.disturbance(vm, "kill"):
            vm.process.kill()
            vm.process.wait()

    def leave(self, vm, meanwhile=None):
        """Stop a daemon by SIGTERM; `meanwhile` happens before it is gone."""
        self.check_alive(vm)
        with self.disturbance(vm, "leave"):
            vm.process.terminate()
            end = time.monotonic() + GRACE_S
            if meanwhile:
                end += meanwhile(vm)
            try:
                code = vm.process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.violated(f"{vm.name} ran {GRACE_S} s after SIGTERM", vm)
                code = vm.stop()
        if code != 0:
            self.violated(f"{vm.name} ended with {code} after SIGTERM", vm)

    def leave_together(self, vms, pause_s=0):
        with concurrent.futures.ThreadPoolExecutor(len(vms)) as pool:
            leaving = []
            for vm in vms:
                leaving.append(pool.submit(self.leave, vm))
                time.sleep(pause_s)
            for future in leaving:
                future.result()

    def freeze(self, vm, time_s):
        """Return how long the process was stopped."""
        with self.disturbance(vm, "freeze"):
            vm.process.send_signal(signal.SIGSTOP)
            time.sleep(time_s)
            vm.process.send_signal(signal.SIGCONT)
        return time_s

    def play_lane(self, name, faults):
        rng = random.Random(f"{self.seed}-{name}")
        while not self.ended.wait(rng.uniform(0.1, 1.5)):
            play_fault = rng.choice(faults)
            self.faults_played[play_fault.__name__] += 1
            try:
                play_fault(self, rng)
            except OSError:
                # A check-in at a daemon that is down.
                pass
            except Exception as failure:  # pylint: disable=broad-except
                self.violated(f"the player failed: {failure!r}")

    def wait_for_calm(self):
        for vm in self.rig.vms:
            wait_for(vm.is_ready, f"{vm.name} is ready")
        for vm in self.rig.vms:
            for path in (*ROUTES, f"/version-{self.version}/"):
                wait_for(lambda: vm.call(path + "calm", "POST",
                                         key=KEYS[STEADY])[1] == 200,
                         f"{vm.name} serves {path}")

    def calm(self):
        self.rig.store.set_mode("up")
        self.rig.store.write_answers_to_lose = 0
        for vm in self.rig.vms:
            self.check_alive(vm)
            calm_upstream(vm.upstream)
        self.put_configuration()
        self.wait_for_calm()

    def check_resources(self):
        peers = len(self.rig.vms) - 1
        for vm in self.rig.vms:
            memory_kb, descriptors = self.at_first[vm.name]
            descriptors += MAX_FURTHER_DESCRIPTORS \
                + peers * MAX_FURTHER_DESCRIPTORS_PER_PEER
            with self.must_hold(vm):
                wait_for(lambda: metric(vm, "galenarudder_open_calls") == 0,
                         f"{vm.name} has no open calls")
                wait_for(lambda: resources(vm)[1] <= descriptors,
                         f"{vm.name} holds {descriptors} descriptors at most")
            now_kb, now_descriptors = resources(vm)
            text = f"{vm.name}: {now_descriptors} descriptors, {now_kb} kB " \
                f"({memory_kb} kB at first)"
            print(text, flush=True)
            if now_kb > memory_kb + MAX_FURTHER_MEMORY_KB:
                self.violated(text, vm)

    def check_logs(self):
        for vm in self.rig.vms:
            version = 0
            # SIGKILL can cut the last line of a lifetime.
            for line in vm.log.read_text(errors="replace").splitlines():
                if not line.startswith("{") or "Assertion" in line \
                        or any(key in line for key in KEYS.values()):
                    self.violated(f"{vm.name} wrote {line!r}", vm)
                if '"daemon.started"' in line:
                    version = 0
                found = re.search(
                    r'"configuration.in_force","version":(\d+),', line)
                if found and int(found[1]) < version:
                    self.violated(f"{vm.name} went back from {version} to "
                                  f"{found[1]}", vm)
                version = int(found[1]) if found else version
            if version != self.version:
                self.violated(f"{vm.name} has version {version} in force, "
                              f"not {self.version}", vm)

    def check_calls(self, calls):
        runs = collections.defaultdict(list)
        for vm in self.rig.vms:
            for run in vm.upstream.received_calls:
                runs[run["id"]].append({**run, "vm": vm})
            for description in violations_of_keys(vm.upstream.received_calls):
                self.violated(description, vm)
        for description, vm in (
                *violations_of_cold_upstreams(self.cold_times),
                *violations_of_emptied_domains(self)):
            self.violated(description, vm)
        for description in violations_of_limit(self.rig.vms):
            self.violated(description)
        for call in calls:
            vm = self.rig.vms[call["vm"]]
            for description in violations_of_call(
                    self, vm, call, runs.pop(call["id"], [])):
                self.violated(f"{call['id']}: {description}: {call}", vm)
        for attempt in runs:
            if not attempt.startswith("call-"):
                self.violated(f"an upstream ran {attempt}, which nobody sent")


def some_vms(soak, rng, count):
    return rng.sample(soak.rig.vms, min(count, len(soak.rig.vms)))


@contextlib.contextmanager
def held(soak, vms):
    """Keep other lanes from the daemons of these VMs."""
    with contextlib.ExitStack() as stack:
        # In one order, so that lanes cannot wait for each other.
        for vm in sorted(vms, key=lambda vm: vm.name):
            stack.enter_context(soak.locks[vm.name])
        yield


def kill_some(soak, rng, count=None):
    vms = some_vms(soak, rng, count or rng.randint(1, 2))
    with held(soak, vms):
        for vm in vms:
            soak.kill(vm)
        time.sleep(rng.uniform(0, 1.5))
        for vm in vms:
            soak.start_daemon(vm)


def kill_all(soak, rng):
    kill_some(soak, rng, len(soak.rig.vms))


def leave_in_turn(soak, rng):
    for vm in some_vms(soak, rng, 3):
        if soak.ended.is_set():
            return
        with held(soak, [vm]):
            soak.leave(vm)
            soak.start_daemon(vm)


def leave_overlapping(soak, rng):
    vms = some_vms(soak, rng, 2)
    with held(soak, vms):
        soak.leave_together(vms, rng.uniform(0, 2))
        for vm in vms:
            soak.start_daemon(vm)


def leave_with_further_signals(soak, rng):
    [vm] = some_vms(soak, rng, 1)
    wait_s = rng.uniform(0, 2)
    signal_number = rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGSTOP))

    def meanwhile(vm):
        time.sleep(wait_s)
        if signal_number == signal.SIGSTOP:
            return soak.freeze(vm, 0.5)
        vm.process.send_signal(signal_number)
        return 0
    with held(soak, [vm]):
        soak.leave(vm, meanwhile)
        soak.start_daemon(vm)


def freeze(soak, rng):
    [vm] = some_vms(soak, rng, 1)
    with held(soak, [vm]):
        soak.freeze(vm, rng.uniform(0.1, 2))


def reload_settings(soak, rng):
    [vm] = some_vms(soak, rng, 1)
    with held(soak, [vm]):
        vm.process.send_signal(signal.SIGHUP)


def disturb_store(soak, rng):
    with soak.disturbance(soak.rig.store, "outage"):
        soak.rig.store.set_mode(rng.choice(("silent", "busy", "many")))
        time.sleep(rng.uniform(0.2, 3))
        soak.rig.store.set_mode("up")


def lose_write_answers_and_history(soak, rng):
    soak.rig.store.write_answers_to_lose = rng.randint(0, 5)
    if rng.random() < 0.5:
        soak.rig.store.compact_history()


def drain_upstream(soak, rng):
    [vm] = some_vms(soak, rng, 1)
    vm.upstream.leave()
    time.sleep(rng.uniform(0.5, 3))
    vm.upstream.start_instance()


def restart_upstream(soak, rng):
    [vm] = some_vms(soak, rng, 1)
    instance = vm.upstream.instance
    vm.upstream.start_instance()
    if rng.random() < 0.5:
        # The same id with a new start.
        vm.upstream.instance = instance


def calm_upstream(upstream):
    upstream.delay_s = 0
    upstream.answer_bytes = 0
    upstream.early_status = None
    upstream.limit_per_s = None
    if upstream.states_leaving:
        upstream.start_instance()
    upstream.states_leaving = False


def disturb_upstream(soak, rng):
    [vm] = some_vms(soak, rng, 1)
    vm.upstream.early_status = rng.choice((None, None, 200, 500, 503))
    vm.upstream.answer_bytes = rng.choice((0, 0, 300_000))
    if vm.upstream.early_status is None:
        vm.upstream.delay_s = rng.uniform(0.05, 1)
    time.sleep(rng.uniform(0.5, 3))
    calm_upstream(vm.upstream)


def change_configuration(soak, rng):
    for _ in range(rng.randint(1, 5)):
        if rng.random() < 0.3:
            soak.rig.store.put_configuration(
                rng.choice(INVALID_CONFIGURATIONS))
        time.sleep(rng.uniform(0, 0.3))
        soak.put_configuration()


def widen_configuration(soak, rng):
    for _ in range(rng.randint(1, 3)):
        soak.put_configuration(rng.choice((200, 1400, 2800)))
        time.sleep(rng.uniform(0, 0.5))


def limit_upstream(soak, rng):
    vms = some_vms(soak, rng, rng.randint(1, 3))
    for vm in vms:
        vm.upstream.limit_per_s = rng.choice((0, 0.5, 3, 20))
    time.sleep(rng.uniform(0.5, 4))
    for vm in vms:
        vm.upstream.limit_per_s = None


def state_leave(soak, rng):
    [vm] = some_vms(soak, rng, 1)
    vm.upstream.states_leaving = True
    time.sleep(rng.uniform(0.5, 2))
    vm.upstream.states_leaving = False
    vm.upstream.start_instance()


def surge(soak, rng):
    soak.clients.surge.set()
    time.sleep(rng.uniform(1, 6))
    soak.clients.surge.clear()


def some_domain(soak, rng):
    """Return a failure domain and its VMs."""
    domain = rng.choice(sorted({vm.zone for vm in soak.rig.vms}))
    return domain, [vm for vm in soak.rig.vms if vm.zone == domain]


def return_cold(soak, rng):
    """Restart the upstreams of a domain, in half of the cases its daemons,
    too."""
    _, vms = some_domain(soak, rng)
    time_s = rng.uniform(1, 4)
    loses_power = rng.random() < 0.5
    with held(soak, vms):
        for vm in vms:
            if loses_power:
                soak.kill(vm)
            upstream = vm.upstream
            # Otherwise it states the cold time on the health path only.
            upstream.announces_cold = rng.random() < 0.7
            upstream.cold_until_s = time.monotonic() + time_s
            upstream.start_instance()
            soak.cold_times.append(
                (vm, time.monotonic(), upstream.cold_until_s))
        if loses_power:
            for vm in vms:
                soak.start_daemon(vm)
    time.sleep(time_s)


def evacuate(soak, rng):
    domain, _ = some_domain(soak, rng)
    begin = empty_domain(soak.rig, domain)
    soak.ended.wait(rng.uniform(3, 8))
    soak.emptied_times.append((domain, begin, time.monotonic()))
    take_back_domain(soak.rig, domain)


FAULTS = (
    kill_some, kill_all, leave_in_turn, leave_in_turn, leave_overlapping,
    leave_overlapping, leave_with_further_signals, freeze, reload_settings,
    disturb_store, lose_write_answers_and_history, drain_upstream,
    restart_upstream, disturb_upstream, disturb_upstream,
    change_configuration, change_configuration)
# On lanes of their own, so that the other lanes of a seed stay as they are.
FURTHER_FAULTS = (widen_configuration, limit_upstream, limit_upstream,
                  state_leave)
LANES_OF_FAULTS = {"further": FURTHER_FAULTS, "surge": (surge,),
                   "cold": (return_cold,), "evacuations": (evacuate,)}


def play(build, seed, time_s, vms, network, logs=None, lanes=3, processes=3):
    """Play one soak; return whether all that must hold held."""
    with tempfile.TemporaryDirectory(prefix="galenarudder-soak-") as folder:
        addresses = [(f"{network}.0.{number + 1}", 8304)
                     for number in range(vms)]
        clients = Clients(addresses, seed, pathlib.Path(folder), processes)
        services = [("alpha", "beta")[number // 2 % 2]
                    for number in range(vms)]
        with Rig(build, services, network,
                 {**LIMIT_BOUNDS, "evac": "2s"}) as rig:
            soak = Soak(rig, clients, seed)
            soak.start()
            clients.begun.set()
            lanes_of_faults = [(lane, FAULTS) for lane in range(lanes)]
            lanes_of_faults += LANES_OF_FAULTS.items()
            threads = [threading.Thread(target=soak.play_lane, args=lane)
                       for lane in lanes_of_faults]
            for thread in threads:
                thread.start()
            time.sleep(time_s)
            soak.ended.set()
            for thread in threads:
                thread.join()
            calls = finish(soak)
            statuses = collections.Counter(call["status"] for call in calls)
            print(f"seed {seed}: {len(calls)} calls, {dict(statuses)}, faults "
                  f"{dict(soak.faults_played)}", flush=True)
            if soak.violations:
                report(soak, calls, logs, f"python3 test/process/soak.py "
                       f"{build} --seed {seed} --seconds {time_s} "
                       f"--vms {vms} --network {network}")
            return not soak.violations


def finish(soak):
    with soak.must_hold():
        soak.calm()
    calls = soak.clients.stop()
    soak.check_resources()
    soak.leave_together(soak.rig.vms)
    soak.check_logs()
    soak.check_calls(calls)
    return calls


def report(soak, calls, logs, command):
    for vm in {vm.name: vm for _, vm in soak.violations if vm}.values():
        lines = vm.log.read_text(errors="replace").splitlines()
        print(f"--- {vm.name}", *lines[-100:], sep="\n")
    for description, _ in soak.violations:
        print(f"VIOLATED: {description}")
    print(f"{len(soak.violations)} violations; to play it again: {command}",
          flush=True)
    if logs is None:
        return
    folder = pathlib.Path(logs) / str(soak.seed)
    shutil.copytree(soak.rig.folder, folder, dirs_exist_ok=True)
    runs = [{**run, "body": len(run["body"]), "vm": vm.name}
            for vm in soak.rig.vms for run in vm.upstream.received_calls]
    (folder / "records.json").write_text(json.dumps(
        {"calls": calls, "runs": runs, "disturbances": soak.disturbances}))
    (folder / "violations.txt").write_text("\n".join(
        [command] + [description for description, _ in soak.violations]))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--network", default="127.20")
    parser.add_argument("--logs", help="folder for the logs of failed runs")
    options = parser.parse_args()
    return 0 if play(options.build, options.seed, options.seconds,
                     options.vms, options.network, options.logs) else 1


if __name__ == "__main__":
    sys.exit(main())
