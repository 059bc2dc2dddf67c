#!/usr/bin/env python3
"""Writes the traces of test/replay: make_traces.py FOLDER [NAME...]

Each trace comes from its own seed, so that every run writes the same bytes.
A trace is a scenario on one of the users' deployments; its stated outcome is
kept beside this file as DEPLOYMENT-SCENARIO.expect.json.
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

# Share of calls, whether they are repeatable, deadline.
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

    def call(self, t_ms, service, rank):
        _, repeatable, deadline_ms = RANKS[rank]
        self.calls += 1
        self.events.append((t_ms, {"call": {
            "id": self.calls, "service": service, "rank": rank,
            "work_ms": self.work_ms(), "deadline_ms": deadline_ms,
            "repeatable": self.random.random() < repeatable,
            "entry": self.random.randrange(self.entries)}}))

    def stream(self, service, per_second, begin_ms, end_ms, rank=None):
        """Poisson arrivals; mixed ranks unless one is given."""
        t_ms = begin_ms
        names = list(RANKS)
        shares = [RANKS[name][0] for name in names]
        while True:
            t_ms += self.random.expovariate(per_second / 1000)
            if t_ms >= end_ms:
                return
            chosen = rank or self.random.choices(names, shares)[0]
            self.call(t_ms, service, chosen)

    def capacity(self, service):
        """Calls per second that all slots of a service can take."""
        upstreams = self.deployment["services"][service]
        return upstreams * SLOTS * 1000 / MEAN_WORK_MS

    def usual_traffic(self, load=USUAL_LOAD):
        for service in self.deployment["services"]:
            self.stream(service, load * self.capacity(service), 0,
                        DURATION_MS)

    def upstream(self, t_ms, name, event, **fields):
        self.events.append((t_ms, {"upstream": {
            "id": name, "event": event, **fields}}))

    def one_of_each(self):
        """The id of one upstream of each service."""
        return [f"{service}-{self.random.randrange(count)}"
                for service, count in self.deployment["services"].items()]

    def write(self, path):
        head = {"format": "galenarudder-trace-1", "seed": self.seed,
                "entries": self.entries,
                "domains": {name: {} for name in self.deployment["domains"]},
                "one_way_ms": self.deployment["one_way_ms"],
                "upstreams": self.upstreams}
        self.events.sort(key=lambda event: event[0])
        with open(path, "w", encoding="utf-8") as out:
            out.write(json.dumps(head) + "\n")
            for t_ms, body in self.events:
                line = {"t_ms": round(t_ms, 3), **body}
                out.write(json.dumps(line, separators=(",", ":")) + "\n")


def steady(trace):
    trace.usual_traffic()


def slow_down(trace):
    trace.usual_traffic()
    for name in trace.one_of_each():
        trace.upstream(3000, name, "slow", factor=10)
        trace.upstream(7000, name, "slow", factor=1)


def fail_fast(trace):
    trace.usual_traffic()
    for name in trace.one_of_each():
        trace.upstream(3000, name, "fail_fast")
        trace.upstream(7000, name, "recover")


def noisy(trace):
    """Neighbours take processor time for tens of milliseconds."""
    trace.usual_traffic(0.5)
    for upstream in trace.upstreams:
        t_ms = trace.random.expovariate(1 / 400)
        while t_ms < DURATION_MS:
            spell_ms = trace.random.uniform(20, 150)
            factor = round(trace.random.uniform(2, 6), 1)
            trace.upstream(t_ms, upstream["id"], "slow", factor=factor)
            trace.upstream(t_ms + spell_ms, upstream["id"], "slow", factor=1)
            t_ms += spell_ms + trace.random.expovariate(1 / 400)


def stale_lies(trace):
    """Reports mislead while load shifts."""
    noisy(trace)
    for name in trace.one_of_each():
        trace.upstream(1000, name, "lie", factor=0)
    for name in trace.one_of_each():
        trace.upstream(4000, name, "lie", factor=5)


def cold_start(trace):
    trace.usual_traffic(0.5)
    for name in trace.one_of_each():
        trace.upstream(1000, name, "drain")
        trace.upstream(3500, name, "stop")
        trace.upstream(4000, name, "start", cold_ms=3000)


def flood(trace):
    """Ten times the capacity of the least urgent, then three times of the
    most urgent."""
    service = trace.deployment["flooded"]
    capacity = trace.capacity(service)
    for other in trace.deployment["services"]:
        trace.stream(other, 0.4 * trace.capacity(other), 0, 6000)
    trace.stream(service, 10 * capacity, 1500, 3000, "bulk")
    trace.stream(service, 3 * capacity, 3000, 4500, "urgent")


def rolling(trace):
    """Every upstream is replaced, one of each service at a time."""
    trace.usual_traffic(0.45)
    most = max(trace.deployment["services"].values())
    pause_ms = 8500 / most
    for upstream in trace.upstreams:
        number = int(upstream["id"].rsplit("-", 1)[1])
        begin_ms = 300 + number * pause_ms
        trace.upstream(begin_ms, upstream["id"], "drain")
        trace.upstream(begin_ms + 1000, upstream["id"], "stop")
        trace.upstream(begin_ms + 1100, upstream["id"], "start", cold_ms=500)


def domain_loss(trace):
    trace.usual_traffic(0.45)
    for upstream in trace.upstreams:
        if upstream["domain"] != trace.deployment["domains"][0]:
            continue
        trace.upstream(3000, upstream["id"], "stop")
        trace.upstream(7000, upstream["id"], "start", cold_ms=500)


def paused(trace):
    """Processes stand still and wake up unaware of it."""
    trace.usual_traffic()
    for t_ms in (2000, 5000, 8000):
        for name in trace.one_of_each():
            trace.upstream(t_ms, name, "pause", for_ms=400)


SCENARIOS = {function.__name__.replace("_", "-"): function
             for function in (steady, slow_down, fail_fast, noisy, stale_lies,
                              cold_start, flood, rolling, domain_loss,
                              paused)}


def trace_names():
    return [f"{deployment}-{scenario}" for deployment in DEPLOYMENTS
            for scenario in SCENARIOS]


def make(name, folder):
    """Writes one trace and returns its path."""
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
    for wanted in sys.argv[2:] or trace_names():
        print(make(wanted, sys.argv[1]))
