"""What tests of limits, cold upstreams and emptied domains have in common."""

import time

# The users' bounds for limits of organisations.
WINDOW_S, OVER, SLACK = 5, 0.1, 20
LIMIT_BOUNDS = {"quotaWindow": f"{WINDOW_S}s", "quotaOver": OVER,
                "quotaSlack": SLACK}


def max_calls_in_window(calls_per_s, burst):
    """Return how many calls of an organisation may run in a window."""
    return (calls_per_s * WINDOW_S + burst) * (1 + OVER) + SLACK


def max_cold_calls(cold_per_s):
    """Return how many calls a cold upstream may get in a second.

    The users' tolerance is x 1.5 (coldOver) + 8 (coldSlack).
    """
    return 1.5 * cold_per_s + 8


def most_in_window(times, window_s):
    """Return the most of the sorted times that lie in a window, and the last
    of them."""
    most, begin = (0, 0), 0
    for end, time_s in enumerate(times):
        while time_s - times[begin] >= window_s:
            begin += 1
        most = max(most, (end + 1 - begin, time_s))
    return most


def run_times(vms, organisation):
    """Return when each call of an organisation first reached an upstream that
    did not shed it."""
    first = {}
    for vm in vms:
        for call in vm.upstream.received_calls:
            if ("Tenant", organisation) in call["fields"] \
                    and call["early"] != 503:
                at = call["received_at_s"]
                first[call["id"]] = min(at, first.get(call["id"], at))
    return first


def empty_domain(rig, domain):
    with rig.store.changed:
        rig.store.write(f"op/evacuate/{domain}", b"")
    return time.monotonic()


def take_back_domain(rig, domain):
    with rig.store.changed:
        rig.store.remove(f"op/evacuate/{domain}")
    return time.monotonic()
