#!/usr/bin/env python3
"""Write the traces of test/replay: make_traces.py FOLDER [NAME...]

A trace is a scenario on one of the users' deployments. It is generated from a
seed of its own, so that every run writes the same bytes. Its expectations are
in DEPLOYMENT-SCENARIO.expect.json beside this file.
"""
import json
import math
import pathlib
import random
import sys
import zlib

MEAN_WORK_MS = 40.0
WORK_SPREAD = 0.7  # sigma of the lognormal distribution
SLOTS = 9
DURATION_MS = 10_000
USUAL_LOAD = 0.6  # share of the slots that are busy

DEPLOYMENTS = {
    "northern-spain": {
        "domains": ["bilbao", "oviedo", "santander"],
        "one_way_ms": 3,
        "probe_cost_ms": 0,
        "services": {"escaparate": 4, "reservas": 3, "lavanderia": 3,
                     "pedidos": 3},
        "flooded": "reservas",
    },
    "sofia": {
        "domains": ["sofia-a", "sofia-b", "sofia-c"],
        "one_way_ms": 5,
        "probe_cost_ms": 6,
        "services": {"stockdesk": 6, "bookings": 4, "calibvault": 3,
                     "kitcheck": 3},
        "flooded": "kitcheck",
    },
}

# Share of the calls, share of them that is repeatable, deadline in ms.
RANKS = {
    "urgent": (0.2, 0.0, 1500),
    "normal": (0.5, 0.7, 2000),
    "bulk": (0.3, 1.0, 2000),
}


class Scenario:
    """Collects the events of one trace."""

    def __init__(self, deployment, name):
        self.name = name
        self.deployment = DEPLOYMENTS[deployment]
        self.seed = zlib.crc32(f"{deployment}-{name}".encode())
        self.random = random.Random(self.seed)
        self.events = []
        self.calls = 0
        self.upstreams = []
        self.changed_services = []
        for service, count in self.deployment["services"].items():
            for number in range(count):
                domain = self.deployment["domains"][number % 3]
                self.upstreams.append({
                    "id": f"{service}-{number}", "service": service,
                    "domain": domain, "slots": SLOTS,
                    "probe_cost_ms": self.deployment["probe_cost_ms"],
                    "connect_cost_ms": 1})
        self.entries = len(self.upstreams)

    def work_ms(self):
        mu = math.log(MEAN_WORK_MS) - WORK_SPREAD ** 2 / 2
        return round(self.random.lognormvariate(mu, WORK_SPREAD), 2)

    def add_call(self, t_ms, service, rank):
        _, repeatable, deadline_ms = RANKS[rank]
        self.calls += 1
        self.events.append((t_ms, {"call": {
            "id": self.calls, "service": service, "rank": rank,
            "work_ms": self.work_ms(), "deadline_ms": deadline_ms,
            "repeatable": self.random.random() < repeatable,
            "entry": self.random.randrange(self.entries)}}))

    def add_calls(self, service, calls_per_s, begin_ms, end_ms, rank=None):
        """Add Poisson arrivals, of mixed ranks unless one is given."""
        t_ms = begin_ms
        names = list(RANKS)
        shares = [RANKS[name][0] for name in names]
        while True:
            t_ms += self.random.expovariate(calls_per_s / 1000)
            if t_ms >= end_ms:
                return
            call_rank = rank or self.random.choices(names, shares)[0]
            self.add_call(t_ms, service, call_rank)

    def capacity_per_s(self, service):
        """Return the calls per second that a service's slots can serve."""
        upstreams = self.deployment["services"][service]
        return upstreams * SLOTS * 1000 / MEAN_WORK_MS

    def add_usual_traffic(self, load=USUAL_LOAD):
        for service in self.deployment["services"]:
            self.add_calls(service, load * self.capacity_per_s(service), 0,
                           DURATION_MS)

    def add_event(self, t_ms, name, event, **fields):
        """Add an event of the upstream `name`."""
        self.events.append((t_ms, {"upstream": {
            "id": name, "event": event, **fields}}))

    def one_upstream_per_service(self):
        """Return the id of one upstream of each service, chosen at random."""
        return [f"{service}-{self.random.randrange(count)}"
                for service, count in self.deployment["services"].items()]

    def write(self, path):
        header = {"format": "galenarudder-trace-1", "seed": self.seed,
                  "entries": self.entries,
                  "domains": {name: {} for name in self.deployment["domains"]},
                  "one_way_ms": self.deployment["one_way_ms"],
                  "upstreams": self.upstreams}
        self.events.sort(key=lambda event: event[0])
        with open(path, "w", encoding="utf-8") as trace_file:
            trace_file.write(json.dumps(header) + "\n")
            for t_ms, body in self.events:
                line = {"t_ms": round(t_ms, 3), **body}
                trace_file.write(
                    json.dumps(line, separators=(",", ":")) + "\n")


def steady(trace):
    trace.add_usual_traffic()


def slow_down(trace):
    trace.add_usual_traffic()
    for name in trace.one_upstream_per_service():
        trace.add_event(3000, name, "slow", factor=10)
        trace.add_event(7000, name, "slow", factor=1)


def fail_fast(trace):
    trace.add_usual_traffic()
    for name in trace.one_upstream_per_service():
        trace.add_event(3000, name, "fail_fast")
        trace.add_event(7000, name, "recover")


def noisy(trace):
    """Neighbours on the host take processor time for tens of milliseconds."""
    trace.add_usual_traffic(0.5)
    for upstream in trace.upstreams:
        t_ms = trace.random.expovariate(1 / 400)
        while t_ms < DURATION_MS:
            slowdown_ms = trace.random.uniform(20, 150)
            factor = round(trace.random.uniform(2, 6), 1)
            trace.add_event(t_ms, upstream["id"], "slow", factor=factor)
            trace.add_event(t_ms + slowdown_ms, upstream["id"], "slow",
                            factor=1)
            t_ms += slowdown_ms + trace.random.expovariate(1 / 400)


def stale_lies(trace):
    """Some upstreams report a wrong load while the load shifts."""
    noisy(trace)
    for name in trace.one_upstream_per_service():
        trace.add_event(1000, name, "lie", factor=0)
    for name in trace.one_upstream_per_service():
        trace.add_event(4000, name, "lie", factor=5)


def cold_start(trace):
    trace.add_usual_traffic(0.5)
    for name in trace.one_upstream_per_service():
        trace.add_event(1000, name, "drain")
        trace.add_event(3500, name, "stop")
        trace.add_event(4000, name, "start", cold_ms=3000)


def flood(trace):
    """Ten times the capacity in calls of the least urgent rank, then three
    times in calls of the most urgent."""
    service = trace.deployment["flooded"]
    capacity_per_s = trace.capacity_per_s(service)
    for other in trace.deployment["services"]:
        trace.add_calls(other, 0.4 * trace.capacity_per_s(other), 0, 6000)
    trace.add_calls(service, 10 * capacity_per_s, 1500, 3000, "bulk")
    trace.add_calls(service, 3 * capacity_per_s, 3000, 4500, "urgent")


def rolling(trace):
    """Replace every upstream, one of each service at a time."""
    trace.add_usual_traffic(0.45)
    max_upstreams = max(trace.deployment["services"].values())
    pause_ms = 8500 / max_upstreams
    for upstream in trace.upstreams:
        number = int(upstream["id"].rsplit("-", 1)[1])
        begin_ms = 300 + number * pause_ms
        trace.add_event(begin_ms, upstream["id"], "drain")
        trace.add_event(begin_ms + 1000, upstream["id"], "stop")
        trace.add_event(begin_ms + 1100, upstream["id"], "start", cold_ms=500)


def domain_loss(trace):
    trace.add_usual_traffic(0.45)
    for upstream in trace.upstreams:
        if upstream["domain"] != trace.deployment["domains"][0]:
            continue
        trace.add_event(3000, upstream["id"], "stop")
        trace.add_event(7000, upstream["id"], "start", cold_ms=500)


def paused(trace):
    """Processes are paused and resume without noticing it."""
    trace.add_usual_traffic()
    for t_ms in (2000, 5000, 8000):
        for name in trace.one_upstream_per_service():
            trace.add_event(t_ms, name, "pause", for_ms=400)


SCENARIOS = {function.__name__.replace("_", "-"): function
             for function in (steady, slow_down, fail_fast, noisy, stale_lies,
                              cold_start, flood, rolling, domain_loss,
                              paused)}


def trace_names():
    return [f"{deployment}-{scenario}" for deployment in DEPLOYMENTS
            for scenario in SCENARIOS]


def write_trace(name, folder):
    """Write one trace and return its path."""
    deployment = next(known for known in DEPLOYMENTS
                      if name.startswith(known + "-"))
    scenario = name[len(deployment) + 1:]
    trace = Scenario(deployment, scenario)
    SCENARIOS[scenario](trace)
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.jsonl"
    trace.write(path)
    return path


if __name__ == "__main__":
    for trace_name in sys.argv[2:] or trace_names():
        print(write_trace(trace_name, sys.argv[1]))
