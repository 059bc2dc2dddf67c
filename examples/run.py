#!/usr/bin/env python3
"""Run one example on loopback addresses.

Starts the daemons, stand-in upstreams and a stand-in store, sends calls of
every rank to every service, prints the status and the results by rank, and
stops every process.
"""

import argparse
import concurrent.futures
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 15
CALLS_PER_ROUTE = 20
PARALLEL_CALLS = 16


class Fleet:
    """The processes of one example.

    Each VM has its own loopback address, which its daemon and its upstream
    share. `topology.json` of the example lists domains and services.
    """

    def __init__(self, build, example):
        self.build = pathlib.Path(build).resolve()
        self.example = pathlib.Path(example).resolve()
        self.topology = json.loads(
            (self.example / "topology.json").read_text())
        self.folder = tempfile.TemporaryDirectory(prefix="galenarudder-")
        self.store = self.topology["store"]
        self.daemons = {}
        self.standins = []
        self.vms = []
        self._create_vms()

    def _create_vms(self):
        prefix = self.topology["address_prefix"]
        number = 0
        domains = self.topology["domains"]
        for service in self.topology["services"]:
            for index in range(service["upstreams"]):
                number += 1
                self.vms.append({
                    "member": f"{service['name']}-{index + 1}",
                    "service": service["name"],
                    "domain": domains[(number - 1) % len(domains)],
                    "address": f"{prefix}.{number}",
                })

    def settings(self, vm):
        address = vm["address"]
        return {
            "member": vm["member"],
            "domain": vm["domain"],
            "callers": f"{address}:7100",
            "announcements": f"{address}:7101",
            "link": f"{address}:7102",
            "gossip": f"{address}:7103",
            "operators": f"{address}:7105",
            "store": self.store,
            "introducers": [f"{other['address']}:7103"
                            for other in self.vms[:3]],
            "threads": 2,
            "keys": [{"id": "example", "secret": "an-example-secret-only"}],
        }

    def _spawn(self, name, *arguments):
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        return subprocess.Popen([str(part) for part in arguments],
                                stdout=log, stderr=log)

    def read_log(self, name):
        return (pathlib.Path(self.folder.name) / f"{name}.log").read_text()

    def start_store(self):
        self.standins.append(self._spawn(
            "store", self.build / "standin_store", "--listen", self.store))
        wait_for(lambda: port_is_open(self.store), "the store stand-in")

    def start_daemon(self, vm):
        path = pathlib.Path(self.folder.name) / f"{vm['member']}.json"
        path.write_text(json.dumps(self.settings(vm), indent=2))
        self.daemons[vm["member"]] = self._spawn(
            vm["member"], self.build / "galenarudderd", "--settings", path)

    def start_upstream(self, vm):
        self.standins.append(self._spawn(
            f"upstream-{vm['member']}", self.build / "standin_upstream",
            "--listen", f"{vm['address']}:8080",
            "--announce", f"{vm['address']}:7101",
            "--service", vm["service"],
            "--slots", self.topology["slots"],
            "--connections", self.topology["connections"],
            "--probe_ms", self.topology["probe_ms"]))

    def apply(self):
        return self.ctl("apply", "--store", self.store,
                        "--base", self.example / "base.json",
                        "--overlays", self.example / "overlays",
                        "--author", "example", "--note", "first")

    def ctl(self, command, *arguments):
        """Run galenarudderctl against the first daemon."""
        return subprocess.run(
            [str(part) for part in
             (self.build / "galenarudderctl", command, *arguments,
              "--daemon", f"{self.vms[0]['address']}:7105")],
            capture_output=True, text=True, timeout=30, check=False)

    def start(self):
        self.start_store()
        result = self.apply()
        if result.returncode != 0:
            raise RuntimeError(f"apply failed: {result.stderr}")
        for vm in self.vms:
            self.start_daemon(vm)
        for vm in self.vms:
            self.start_upstream(vm)
        wait_for(self.is_ready, "every member to serve the same configuration")

    def is_ready(self):
        for vm in self.vms:
            members = get_json(f"{vm['address']}:7105", "/v1/members")
            if members is None or len(members) != len(self.vms):
                return False
            for member in members:
                if not member["service"]:
                    return False
                if member["configuration_version"] < 1:
                    return False
        return True

    def stop(self):
        """Stop every process and return the daemons' exit codes by member."""
        for process in self.daemons.values():
            if process.poll() is None:
                process.terminate()
        exit_codes = {}
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for member, process in self.daemons.items():
            try:
                exit_codes[member] = process.wait(
                    max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                exit_codes[member] = process.wait()
        for process in self.standins:
            process.terminate()
            process.wait()
        self.folder.cleanup()
        return exit_codes


def port_is_open(endpoint):
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=1)
    try:
        connection.connect()
        return True
    except OSError:
        return False
    finally:
        connection.close()


def get_json(endpoint, path):
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    except (OSError, ValueError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def wait_for(condition, description, timeout_s=START_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"waited {timeout_s} s for {description}")


def call(address, service, route, number):
    """Send one call through the daemon at `address`.

    Returns the rank, the duration in milliseconds and whether the complete
    answer to this very call came back.
    """
    nonce = f"{service}-{route['prefix']}-{number}"
    body = (nonce + "\n") * 20
    method = route.get("method") or "POST"
    payload = body if method in ("POST", "PUT") else None
    started = time.monotonic()
    connection = http.client.HTTPConnection(address, 7100, timeout=20)
    try:
        connection.request(method, f"/{service}{route['prefix']}",
                           body=payload, headers={"X-Nonce": nonce})
        answer = connection.getresponse()
        received = answer.read().decode()
        complete = (answer.status == 200
                    and answer.getheader("X-Nonce") == nonce
                    and received == (payload or ""))
    except (OSError, http.client.HTTPException):
        complete = False
    finally:
        connection.close()
    return route["rank"], (time.monotonic() - started) * 1000, complete


def send_calls(fleet):
    base = json.loads((fleet.example / "base.json").read_text())
    ranks = {}
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_CALLS) as pool:
        futures = []
        for service in base["services"]:
            for route in service["routes"]:
                for number in range(CALLS_PER_ROUTE):
                    vm = fleet.vms[len(futures) % len(fleet.vms)]
                    futures.append(pool.submit(call, vm["address"],
                                               service["name"], route, number))
        for future in futures:
            rank, duration_ms, complete = future.result()
            ranks.setdefault(rank, []).append((duration_ms, complete))
    return ranks


def print_ranks(ranks):
    print(f"\n{'rank':<10}{'calls':>7}{'complete':>10}{'p50 ms':>9}"
          f"{'worst ms':>10}")
    for rank, results in ranks.items():
        times = sorted(duration_ms for duration_ms, _ in results)
        complete = sum(1 for _, is_complete in results if is_complete)
        print(f"{rank:<10}{len(results):>7}{complete:>10}"
              f"{times[len(times) // 2]:>9.1f}{times[-1]:>10.1f}")


def wait_for_interrupt(fleet):
    first = fleet.vms[0]["address"]
    print(f"\ncallers: http://{first}:7100   operators: "
          f"http://{first}:7105/metrics   press Ctrl-C to stop", flush=True)
    try:
        signal.pause()
    except KeyboardInterrupt:
        print()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--example", default="examples/northern-spain")
    parser.add_argument("--keep", action="store_true",
                        help="keep the processes running until Ctrl-C")
    arguments = parser.parse_args()
    fleet = Fleet(arguments.build, arguments.example)
    print(f"starting {len(fleet.vms)} upstreams, one daemon for each, "
          "and one store")
    try:
        fleet.start()
        ranks = send_calls(fleet)
        status = fleet.ctl("status")
        print(status.stdout, end="")
        print_ranks(ranks)
        if arguments.keep:
            wait_for_interrupt(fleet)
    finally:
        exit_codes = fleet.stop()
    incomplete = sum(1 for results in ranks.values()
                     for _, complete in results if not complete)
    failed_exits = {member: code for member, code in exit_codes.items()
                    if code != 0}
    if incomplete or status.returncode != 0 or failed_exits:
        print(f"failed: {incomplete} calls without a complete answer, "
              f"exit codes other than 0: {failed_exits}")
        return 1
    print("\nevery call got a complete answer; every daemon exited with 0")
    return 0


if __name__ == "__main__":
    sys.exit(main())
