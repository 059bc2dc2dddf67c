"""What must hold for the calls of a soak, and what a daemon holds."""

import collections
import os
import pathlib

from platform_checks import (WINDOW_S, max_calls_in_window, max_cold_calls,
                             most_in_window, run_times)
from platform_rig import request
from soak_clients import (KEYS, MIN_UPLOAD_BYTES, ORGANISATIONS, ROUTES,
                          STEADY, SURGING, body_of)

# Statuses that promise that the call has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# violations_of_organisation judges 401.
ANSWERS_OF_DAEMONS = (*NOT_RUN, 401, 502, 504)
# A request that crosses the daemon's close is not lost; the rules allow 0.2 s,
# but a busy machine can take longer to show the close to the caller.
LOSS_SLACK_S = 1
COLD_PER_S = 10
# Time until nothing reaches an emptied domain, from when its daemons could
# learn of it.
EMPTIED_S = 2
# A daemon that was started this long ago may have no configuration yet.
START_S = 10


def violations_of_call(soak, vm, call, received):
    status = call["status"]
    if call["ended_at"] is None:
        yield "a call has no end"
        return
    body = body_of(call["id"], call["size"])
    for run in received:
        if run["path"] != call["path"] or not body.startswith(run["body"]):
            yield f"an upstream got another path or body {run['path']}"
    # The stand-in also lists calls whose body was cut off before they ran.
    runs = [run for run in received if run["early"] or run["body"] == body]
    executed = [run for run in runs if run["early"] != 503]
    _, kind = ROUTES.get(call["path"][:3], ("", "idempotent"))
    idempotent = kind == "idempotent"
    yield from violations_of_organisation(soak, vm, call, received)
    if not idempotent and len(executed) > 1:
        yield f"TWICE: ran {len(executed)} times, expected one run at most"
    if status in (401, *NOT_RUN) and executed:
        yield f"REFUSED: {status} states that it did not run, but it ran"
    if status is None:
        yield from violations_of_lost_call(soak, vm, call, runs)
        return
    if call["behind_close"]:
        yield "an answer after one that closes the connection"
    if not call["whole"]:
        # The caller sees the cut by the length. By the rules such an answer
        # counts as none: only a daemon on its way that was killed excuses it.
        if call["answer_id"] != call["id"]:
            yield "MIXED"
        if not any(soak.was_disturbed(on_the_way, ("kill",), call["sent_at"],
                                      call["ended_at"])
                   for on_the_way in (vm, *(run["vm"] for run in runs))):
            yield "LOST midway through its answer"
        return
    if call["seal"] is not None or 200 <= status < 300:
        if call["answer_id"] != call["id"] \
                or call["seal"] != "seal-of-" + call["id"] \
                or not any(call["answer"] == "done by " + run["instance"]
                           and call["answer_bytes"] == run["answer_bytes"]
                           and status == (run["early"] or 200)
                           for run in runs):
            yield "MIXED"
    elif status not in ANSWERS_OF_DAEMONS and not (
            status == 404 and call["path"].startswith("/version-")):
        yield "an answer that the daemon must not give"


def violations_of_organisation(soak, vm, call, received):
    organisation, status = call["organisation"], call["status"]
    if organisation is None:
        if received:
            yield f"ran without a valid key ({call['authorization']}), " \
                "expected 401"
        # A daemon without a configuration knows no keys and answers 503.
        expected = (401, 503) if soak.was_disturbed(
            vm, ("kill", "leave"), call["sent_at"] - START_S,
            call["ended_at"]) else (401,)
        if status not in (None, *expected):
            yield f"status {status} without a valid key " \
                f"({call['authorization']}), expected 401"
    elif status == 401:
        yield f"status 401 with a key of {organisation}, expected another"
    elif organisation == STEADY and status == 429:
        yield "status 429, although its organisation has no limit"
    for run in received:
        names = [value for name, value in run["fields"]
                 if name.lower() == "tenant"]
        if organisation and names != [organisation]:
            yield f"the upstream got the organisation {names}, expected " \
                f"{[organisation]}"


def violations_of_keys(runs):
    """A key never reaches an upstream, whoever called."""
    for run in runs:
        for name, value in run["fields"]:
            if name.lower() == "authorization" \
                    or any(key in value for key in KEYS.values()):
                yield f"{run['id']}: an upstream got the field {name}: " \
                    f"{value}, expected no key"


def violations_of_limit(vms):
    _, calls_per_s, burst = ORGANISATIONS[SURGING]
    bound = max_calls_in_window(calls_per_s, burst)
    times = run_times(vms, SURGING)
    most, at_s = most_in_window(sorted(times.values()), WINDOW_S)
    print(f"limit: at most {most} of {bound:.0f} calls in {WINDOW_S} s, "
          f"{len(times)} in all", flush=True)
    if most > bound:
        last = next(call for call, time_s in times.items() if time_s == at_s)
        yield f"{last}: last of {most} calls of {SURGING} that ran within " \
            f"{WINDOW_S} s, expected {bound:.0f} at most"


def violations_of_cold_upstreams(cold_times):
    """No start of an upstream gets more calls in a second than it takes."""
    most_of_all = 0
    bound = max_cold_calls(COLD_PER_S)
    for vm, begin, end in cold_times:
        starts = collections.defaultdict(dict)
        for run in vm.upstream.received_calls:
            if begin <= run["begun_at_s"] <= end:
                starts[run["started_ms"]][run["begun_at_s"]] = run["id"]
        for calls in starts.values():
            most, at_s = most_in_window(sorted(calls), 1)
            most_of_all = max(most, most_of_all)
            if most > bound:
                yield f"{calls[at_s]}: last of {most} calls in a second at " \
                    f"{vm.name}, {at_s - begin:.2f} s after it returned " \
                    f"cold, expected {bound:.0f} at most", vm
    print(f"cold: at most {most_of_all} of {bound:.0f} calls in a second, "
          f"{len(cold_times)} upstreams", flush=True)


def knows_of_emptied_domain_at(soak, vm, begin):
    """Return when a VM must know that its domain was emptied at `begin`.

    That takes EMPTIED_S in which the store answers and the VM's daemon runs.
    A later outage of the store counts, too, if all daemons were started in it
    or shortly before: none is left that can tell the others.
    """
    outages = []
    for name, kind, first, last in soak.disturbances:
        if (name, kind) == (vm.name, "freeze"):
            outages.append((first, last, False))
        elif kind == "outage":
            outages.append((first, last, all(
                soak.was_disturbed(other, ("kill", "leave"),
                                   first - 2 * EMPTIED_S, last)
                for other in soak.rig.vms)))
    known_at = begin + EMPTIED_S
    for first, last, forgets in sorted(outages):
        if last > begin and (first < known_at or forgets):
            known_at = max(known_at, last + EMPTIED_S)
    return known_at


def violations_of_emptied_domains(soak):
    last_s, checked_s = 0, 0
    for domain, begin, end in soak.emptied_times:
        for vm in soak.rig.vms:
            if vm.zone != domain:
                continue
            known_at = knows_of_emptied_domain_at(soak, vm, begin)
            checked_s += max(0, end - known_at)
            for run in vm.upstream.received_calls:
                after_s = run["begun_at_s"] - begin
                if begin < run["begun_at_s"] < min(end, known_at):
                    last_s = max(last_s, after_s)
                if known_at < run["begun_at_s"] < end:
                    yield f"{run['id']}: reached {vm.name} {after_s:.2f} s " \
                        f"after {domain} was emptied, expected none later " \
                        f"than {known_at - begin:.2f} s", vm
    print(f"emptied: {len(soak.emptied_times)} times, the last permitted "
          f"call after {last_s:.2f} s, none may come for {checked_s:.0f} s",
          flush=True)


def violations_of_lost_call(soak, vm, call, runs):
    if call["left"] or soak.was_disturbed(
            vm, ("kill", "freeze"), call["sent_at"], call["ended_at"]):
        return
    if call["hung"]:
        yield "a live daemon neither answered nor closed the connection"
    elif runs:
        yield "LOST after it was passed on"
    elif call["is_first"] and call["size"] < MIN_UPLOAD_BYTES \
            and call["ended_at"] > call["sent_at"] + LOSS_SLACK_S:
        yield "LOST after it was read"
    elif not call["behind_close"] and not soak.was_disturbed(
            vm, ("kill", "leave"), call["connected_at"], call["ended_at"]):
        yield "a live daemon closed the connection without an answer"


def resources(vm):
    """Return the memory in kB and the number of descriptors of a daemon."""
    folder = pathlib.Path(f"/proc/{vm.process.pid}")
    for line in (folder / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            memory_kb = int(line.split()[1])
    return memory_kb, len(os.listdir(folder / "fd"))


def metric(vm, name):
    text = request(f"{vm.ip}:9464", "GET", "/metrics")[2].decode()
    return next(float(line.split()[-1]) for line in text.splitlines()
                if line.startswith(name + " "))
