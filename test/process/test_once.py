#!/usr/bin/env python3
"""Calls with an Idempotency-Key run at most once, over real daemons.

A call could run twice if entries claim its key at the same time, if the store
loses the answer to a claim, or if the entry pauses or dies between the claim
and the answer.
"""

import concurrent.futures
import hashlib
import http.client
import json
import pathlib
import signal
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "examples"))
import run as example  # noqa: E402  pylint: disable=wrong-import-position

TOPOLOGY = ROOT / "test/process/data/once"
BUILD = "build"
SAME_KEY_CALLS = 12
KEYS = 20
SLOW_CALL_MS = 1500
ROUTE_DEADLINE_MS = 4000
PAUSED_DEADLINE_MS = 1500


def send(address, key, work_ms=4, body="a booking", deadline_ms=None,
         organisation_key="key-one"):
    """Return status, fields and body; status 0 if the connection broke."""
    connection = http.client.HTTPConnection(address, 7100, timeout=10)
    fields = {"Idempotency-Key": key,
              "Authorization": f"bearer {organisation_key}"}
    if deadline_ms is not None:
        fields["Galenarudder-Deadline-Ms"] = str(deadline_ms)
    try:
        connection.request("POST", f"/bookings/new?work_ms={work_ms}",
                           body=body, headers=fields)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, {}, ""
    finally:
        connection.close()


def refusal_kind(answer):
    try:
        return json.loads(answer[2]).get("kind")
    except ValueError:
        return None


class AtMostOnce(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.fleet = example.Fleet(BUILD, TOPOLOGY)
        cls.fleet.start()
        cls.addresses = [vm["address"] for vm in cls.fleet.vms]

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def runs(self, key):
        """Return how often the upstreams ran the call with this key."""
        total = 0
        for address in self.addresses:
            counts = example.get_json(f"{address}:8080", "/stand-in/counts")
            self.assertIsNotNone(counts)
            total += counts["runs_by_key"].get(key, 0)
        return total

    def set_store(self, change):
        host, port = self.fleet.store.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request("PUT", f"/stand-in/set?{change}")
        self.assertEqual(connection.getresponse().status, 204)
        connection.close()

    def test_same_key_at_every_entry_at_once(self):
        with concurrent.futures.ThreadPoolExecutor(SAME_KEY_CALLS) as pool:
            for number in range(KEYS):
                key = f"concurrent-{number}"
                futures = [pool.submit(send, self.addresses[index % 3], key)
                           for index in range(SAME_KEY_CALLS)]
                answers = [future.result() for future in futures]
                self.assertEqual(self.runs(key), 1, answers)
                for answer in answers:
                    self.assertIn(answer[0], (200, 409), answer)
                    if answer[0] == 409:
                        self.assertEqual(refusal_kind(answer),
                                         "already-running")
                self.assertTrue(any(answer[0] == 200 for answer in answers))

    def test_organisations_do_not_share_keys(self):
        """One must not get what was answered to another."""
        first = send(self.addresses[0], "shared", body="of the first")
        self.assertEqual(first[0], 200)
        second = send(self.addresses[1], "shared", body="of the second",
                      organisation_key="key-two")
        self.assertEqual((second[0], second[2]), (200, "of the second"))
        self.assertEqual(self.runs("shared"), 2)
        unknown = send(self.addresses[1], "shared", organisation_key="none")
        self.assertEqual((unknown[0], refusal_kind(unknown)),
                         (401, "unknown-key"))
        self.assertEqual(unknown[1].get("WWW-Authenticate"), "Bearer")

    def version_at(self, address):
        return example.get_json(f"{address}:7105",
                                "/v1/status")["configuration_version"]

    def put_organisation(self, name, key):
        """Put `name` with `key` in the place of the first organisation."""
        version = max(map(self.version_at, self.addresses))
        base = json.loads((TOPOLOGY / "base.json").read_text())
        base["organisations"][0] = {
            "name": name,
            "keys": [hashlib.sha256(key.encode()).hexdigest()]}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(base, file)
            file.flush()
            result = self.fleet.ctl("apply", "--store", self.fleet.store,
                                    "--base", file.name, "--overlays",
                                    TOPOLOGY / "overlays", "--author", "test",
                                    "--note", name)
        self.assertEqual(result.returncode, 0, result.stderr)
        example.wait_for(
            lambda: min(map(self.version_at, self.addresses)) > version,
            f"all to know {name} with {key}")

    def test_claims_outlive_a_new_name_and_new_keys(self):
        """Calls ran again when claims depended on the name or the key alone.

        Entries asked together answered 409 while one of them copied the
        recorded outcome to the new name.
        """
        first = send(self.addresses[0], "renamed", body="the first")
        self.assertEqual(first[0], 200)
        try:
            for name, key in [("renamed", "key-one"), ("renamed", "key-new")]:
                self.put_organisation(name, key)
                with concurrent.futures.ThreadPoolExecutor(3) as pool:
                    answers = list(pool.map(
                        lambda address, key=key: send(
                            address, "renamed", organisation_key=key),
                        self.addresses))
                for again in answers:
                    self.assertEqual((again[0], again[2]),
                                     (200, "the first"))
                self.assertEqual(self.runs("renamed"), 1)
        finally:
            self.put_organisation("first", "key-one")

    def test_second_call_gets_the_recorded_answer(self):
        first = send(self.addresses[0], "recorded", body="what was booked")
        self.assertEqual(first[0], 200)

        def replayed():
            second = send(self.addresses[1], "recorded", body="what was booked")
            return second[0] == 200 and second

        example.wait_for(replayed, "the outcome to be recorded")
        second = send(self.addresses[2], "recorded", body="what was booked")
        self.assertEqual(second[1].get("Galenarudder-Replayed"), "1")
        self.assertEqual(second[2], "what was booked")
        self.assertEqual(self.runs("recorded"), 1)

    def test_answer_too_large_to_keep(self):
        body = "x" * 4096
        self.assertEqual(send(self.addresses[0], "large", body=body)[2], body)

        def recorded():
            return refusal_kind(
                send(self.addresses[1], "large")) == "answer-not-kept"

        example.wait_for(recorded, "the status to be recorded")
        self.assertEqual(self.runs("large"), 1)

    def test_lost_store_answer(self):
        self.set_store("lose_next_answer=1")
        answer = send(self.addresses[0], "lost-answer")
        self.assertEqual(answer[0], 200, answer)
        self.assertEqual(self.runs("lost-answer"), 1)
        again = send(self.addresses[1], "lost-answer")
        self.assertIn(again[0], (200, 409))
        self.assertEqual(self.runs("lost-answer"), 1)

    def test_claim_takes_from_the_time_left(self):
        slow_ms = 300
        self.set_store(f"slow_ms={slow_ms}")
        try:
            answer = send(self.addresses[0], "slow-store")
        finally:
            self.set_store("slow_ms=0")
        self.assertEqual(answer[0], 200)
        # The claim takes one read and one write before the call.
        self.assertLessEqual(int(answer[1]["Galenarudder-Deadline-Ms"]),
                             ROUTE_DEADLINE_MS - 2 * slow_ms)

    def test_store_down(self):
        self.set_store("down=1")
        try:
            answer = send(self.addresses[0], "down")
            connection = http.client.HTTPConnection(self.addresses[0], 7100,
                                                    timeout=10)
            connection.request("POST", "/bookings/new", body="plain",
                               headers={"Authorization": "Bearer key-one"})
            self.assertEqual(connection.getresponse().status, 200)
            connection.close()
        finally:
            self.set_store("down=0")
        problem = json.loads(answer[2])
        self.assertEqual(problem["kind"], "store-unavailable")
        self.assertEqual(problem["outcome"], "not-run")
        self.assertEqual(self.runs("down"), 0)

        def call_runs():
            return send(self.addresses[1], "down")[0] == 200

        example.wait_for(call_runs, "the key to be free")
        self.assertEqual(self.runs("down"), 1)

    def test_refused_call_leaves_the_key_free(self):
        try:
            for address in self.addresses:
                self.set_upstream(address, "shed=1")
            answer = send(self.addresses[0], "shed")
            self.assertEqual(json.loads(answer[2])["outcome"], "not-run")
        finally:
            for address in self.addresses:
                self.set_upstream(address, "shed=0")
        example.wait_for(
            lambda: send(self.addresses[1], "shed")[0] == 200,
            "the key to be free")
        self.assertEqual(self.runs("shed"), 1)

    def set_upstream(self, address, change):
        connection = http.client.HTTPConnection(address, 8080, timeout=5)
        connection.request("PUT", f"/stand-in/set?{change}")
        self.assertEqual(connection.getresponse().status, 204)
        connection.close()

    def store_count(self, name):
        return example.get_json(self.fleet.store, "/stand-in/counts")[name]

    def test_paused_entry_dispatches_nothing_late(self):
        """Pause the entry while it writes its claim, until the deadline of the
        call has passed: it must not dispatch the call afterwards."""
        vm = self.fleet.vms[1]
        process = self.fleet.daemons[vm["member"]]
        reads = self.store_count("reads")
        self.set_store("slow_ms=300")
        try:
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                started = time.monotonic()
                call = pool.submit(send, vm["address"], "paused",
                                   deadline_ms=PAUSED_DEADLINE_MS)
                example.wait_for(lambda: self.store_count("reads") > reads,
                                 "the claim to be read")
                process.send_signal(signal.SIGSTOP)
                example.wait_for(
                    lambda: (time.monotonic() - started) * 1000
                    > PAUSED_DEADLINE_MS, "the deadline to pass")
                process.send_signal(signal.SIGCONT)
                answer = call.result()
        finally:
            process.send_signal(signal.SIGCONT)
            self.set_store("slow_ms=0")
        # On a busy machine the pause may come after the claim was written;
        # then the call was dispatched in time and ran.
        if answer[0] != 200:
            self.assertEqual(json.loads(answer[2])["outcome"], "not-run", answer)
            self.assertEqual(self.runs("paused"), 0)
            example.wait_for(lambda: send(vm["address"], "paused")[0] == 200,
                             "the key to be free")
        self.assertEqual(self.runs("paused"), 1)

    def test_z_daemon_killed_while_the_call_runs(self):
        """The key stays claimed after the entry that claimed it has died."""
        vm = self.fleet.vms[2]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(send, vm["address"], "killed", SLOW_CALL_MS)
            example.wait_for(lambda: self.runs("killed") == 1,
                             "the call to run")
            process = self.fleet.daemons.pop(vm["member"])
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.assertEqual(first.result()[0], 0)
        for address in self.addresses[:2]:
            answer = send(address, "killed")
            self.assertEqual(answer[0], 409, answer)
            self.assertEqual(json.loads(answer[2])["outcome"], "unknown")
        self.fleet.start_daemon(vm)
        example.wait_for(lambda: example.port_is_open(f"{vm['address']}:7100"),
                         "the restarted daemon")
        # Until it has a configuration, the restarted daemon refuses with 503.
        example.wait_for(lambda: send(vm["address"], "killed")[0] != 503,
                         "the restarted daemon to have a configuration")
        answer = send(vm["address"], "killed")
        self.assertEqual(answer[0], 409, answer)
        self.assertEqual(self.runs("killed"), 1)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2, warnings="ignore")
