"""Helpers of the fault tests: a fleet with injectable faults, and calls whose
outcome is compared with what the upstreams ran."""

import collections
import http.client
import json
import pathlib
import signal
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "examples"))
import run  # noqa: E402

CALL_TIMEOUT_S = 10

Outcome = collections.namedtuple("Outcome", "status complete not_run key")


class FaultFleet(run.Fleet):
    """A fleet whose processes and store can be made to fail."""

    def __init__(self, build, topology, prefix=None):
        self._prefix = prefix
        self.upstreams = {}
        super().__init__(build, topology)

    def _create_vms(self):
        # Tests that run at the same time need separate addresses.
        if self._prefix is not None:
            self.topology["address_prefix"] = self._prefix
            self.store = f"{self._prefix}.250:8500"
        super()._create_vms()

    def start_upstream(self, vm):
        super().start_upstream(vm)
        self.upstreams[vm["member"]] = self.standins[-1]

    def set_store(self, change):
        http_request(self.store, "POST", f"/stand-in/set?{change}")

    def set_upstream(self, vm, change):
        http_request(f"{vm['address']}:8080", "POST",
                     f"/stand-in/set?{change}")

    def upstream_counts(self, vm):
        return run.get_json(f"{vm['address']}:8080", "/stand-in/counts")

    def runs_by_key(self):
        """Return how often each key ran, over all reachable upstreams."""
        runs = collections.Counter()
        for vm in self.vms:
            counts = self.upstream_counts(vm)
            if counts is not None:
                runs.update(counts["runs_by_key"])
        return runs

    def pause(self, vm):
        self.daemons[vm["member"]].send_signal(signal.SIGSTOP)

    def resume(self, vm):
        self.daemons[vm["member"]].send_signal(signal.SIGCONT)

    def kill_domain(self, domain):
        """Kill the daemon and upstream of every VM of a failure domain."""
        for vm in self.vms_in_domain(domain):
            self.daemons[vm["member"]].kill()
            self.daemons[vm["member"]].wait()
            self.upstreams[vm["member"]].kill()
            self.upstreams[vm["member"]].wait()

    def vms_in_domain(self, domain):
        return [vm for vm in self.vms if vm["domain"] == domain]

    def vms_outside(self, domain):
        return [vm for vm in self.vms if vm["domain"] != domain]

    def versions_in_force(self, vms):
        """Return the configuration version in force at each VM, None if the
        VM does not answer."""
        versions = []
        for vm in vms:
            status = run.get_json(f"{vm['address']}:7105", "/v1/status")
            versions.append(
                status["configuration_version"] if status else None)
        return versions


def http_request(endpoint, method, path):
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request(method, path)
        return connection.getresponse().read()
    finally:
        connection.close()


def send_call(vm, method, path, nonce, body=None, key=None):
    """Send one call through this VM's daemon and read the full answer.

    The outcome is complete if the answer is that of this call and not cut
    short, and not_run if the daemon refused the call as not run.
    """
    headers = {"X-Nonce": nonce}
    if key is not None:
        headers["Idempotency-Key"] = key
    connection = http.client.HTTPConnection(vm["address"], 7100,
                                            timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        received = answer.read().decode()
    except (OSError, http.client.HTTPException):
        return Outcome(None, False, False, key)
    finally:
        connection.close()
    if answer.status == 200:
        complete = (answer.getheader("X-Nonce") == nonce
                    and received == (body or ""))
        return Outcome(200, complete, False, key)
    problem = json.loads(received)
    return Outcome(answer.status, False, problem["outcome"] == "not-run", key)


class BackgroundCalls:
    """Sends calls from several threads until it is stopped."""

    def __init__(self, send_one, threads):
        self.outcomes = []
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._send_one = send_one
        self._threads = [threading.Thread(target=self._run, args=(index,))
                         for index in range(threads)]
        for thread in self._threads:
            thread.start()

    def _run(self, thread):
        index = 0
        while not self._stop.is_set():
            outcome = self._send_one(thread, index)
            index += 1
            with self._lock:
                self.outcomes.append(outcome)

    def completed(self):
        with self._lock:
            return len(self.outcomes)

    def wait_for_more(self, calls):
        target = self.completed() + calls
        run.wait_for(lambda: self.completed() >= target, f"{calls} more calls")

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self.outcomes


def check(condition, description):
    """Exit with a message if the condition is false."""
    if not condition:
        print(f"FAILED: {description}")
        sys.exit(1)
    print(f"ok: {description}")
