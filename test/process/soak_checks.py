"""What must hold for each call of a soak, and what a daemon holds."""

import os
import pathlib

from platform_rig import request
from soak_clients import MIN_UPLOAD_BYTES, ROUTES, body_of

# Statuses that promise that the call has not run and never will.
NOT_RUN = (408, 421, 429, 503)
ANSWERS_OF_DAEMONS = (*NOT_RUN, 502, 504)
# A request that crosses the daemon's close is not lost; the rules allow 0.2 s,
# but a busy machine can take longer to show the close to the caller.
LOSS_SLACK_S = 1


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
    if not idempotent and len(executed) > 1:
        yield "TWICE"
    if not idempotent and status in NOT_RUN and executed:
        yield "REFUSED"
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
