"""Fleets of real processes for the tests of links and of the callers' port."""

import json
import pathlib
import subprocess
import sys

SOURCE = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(SOURCE / "examples"))

import run  # noqa: E402  pylint: disable=wrong-import-position

wait_for = run.wait_for
get_json = run.get_json


def build_directory():
    return sys.argv[1] if len(sys.argv) > 1 else "build"


class FixtureFleet(run.Fleet):
    """Context manager that runs the topology in test/process/data/FIXTURE."""

    def __init__(self, fixture):
        super().__init__(build_directory(),
                         SOURCE / "test" / "process" / "data" / fixture)
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
            # A daemon that a test paused can exit only after SIGCONT (18).
            if process.poll() is None:
                process.send_signal(18)
        self.exit_codes = self.stop()

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
        """Change how a stand-in upstream behaves."""
        return get_json(f"{self.address(member)}:8080",
                        f"/stand-in/set?{query}")

    def start_load(self, *arguments):
        """Start galenarudder-load; read_load_report() reads its result."""
        return subprocess.Popen(
            [str(self.build / "galenarudder-load"), "--output", "json",
             *(str(argument) for argument in arguments)],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def read_load_report(process):
    """Wait for galenarudder-load to exit and return its report."""
    stdout, stderr = process.communicate(timeout=120)
    if not stdout:
        raise RuntimeError(f"galenarudder-load failed: {stderr}")
    return json.loads(stdout)


class Checks:
    """Collects failed checks, so that one run reports all of them."""

    def __init__(self):
        self.failed = []
        self.passed = 0

    def expect(self, condition, description):
        if condition:
            self.passed += 1
        else:
            self.failed.append(description)
            print(f"FAILED: {description}", flush=True)

    def finish(self):
        """Print the totals and return the exit code of the test."""
        print(f"{self.passed} checks passed, {len(self.failed)} failed")
        return 1 if self.failed else 0
