"""Small fleets of real processes for the tests of links and callers."""

import json
import pathlib
import subprocess
import sys

SOURCE = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(SOURCE / "examples"))

import run  # noqa: E402  pylint: disable=wrong-import-position

wait_for = run.wait_for
get_json = run.get_json


def build_folder():
    return sys.argv[1] if len(sys.argv) > 1 else "build"


class SmallFleet(run.Fleet):
    """The topology of test/process/data/NAME, as a context."""

    def __init__(self, name):
        super().__init__(build_folder(),
                         SOURCE / "test" / "process" / "data" / name)
        self.upstreams = {}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        for process in self.daemons.values():
            # A daemon that a test stopped must go on to end.
            if process.poll() is None:
                process.send_signal(18)
        self.codes = self.stop()

    def start_upstream(self, vm):
        super().start_upstream(vm)
        self.upstreams[vm["member"]] = self.standins[-1]

    def address(self, member):
        for vm in self.vms:
            if vm["member"] == member:
                return vm["address"]
        raise KeyError(member)

    def counts(self, member):
        return get_json(f"{self.address(member)}:8080", "/stand-in/counts")

    def set_behaviour(self, member, query):
        """Changes how a stand-in upstream behaves."""
        return get_json(f"{self.address(member)}:8080",
                        f"/stand-in/set?{query}")

    def load(self, *arguments):
        """Starts galenarudder-load; report() reads its result."""
        return subprocess.Popen(
            [str(self.build / "galenarudder-load"), "--output", "json",
             *(str(part) for part in arguments)],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def report(load):
    out, err = load.communicate(timeout=120)
    if not out:
        raise RuntimeError(f"galenarudder-load failed: {err}")
    return json.loads(out)


class Checks:
    """Collects what failed, so that one run shows all of it."""

    def __init__(self):
        self.failed = []
        self.passed = 0

    def that(self, holds, what):
        if holds:
            self.passed += 1
        else:
            self.failed.append(what)
            print(f"FAILED: {what}", flush=True)

    def end(self):
        print(f"{self.passed} checks passed, {len(self.failed)} failed")
        return 1 if self.failed else 0
