"""Target announcements with real processes: any replica, new incarnations, invalid input."""

import json
import sys
import time
import unittest

from replicated import CONTROL_PORT, TIMEOUT, ReplicatedTest, call

FIRST_START = 1764732526000
TARGET = "i-00000000000000a1"


class AnnouncementTest(ReplicatedTest):
    network = "127.94"

    def announce(self, replica, sequence, incarnation=FIRST_START, state="ready", target=TARGET):
        body = {"service": "alpha", "address": "127.94.3.1:9000", "zone": "zone-a", "version": "v1", "slots": 2,
                "state": state, "warmup_left_ms": 0, "seq": sequence, "born": incarnation}
        return self.put(replica, json.dumps(body).encode(), target)

    def put(self, replica, body, target=TARGET):
        return call("PUT", f"http://{replica}:{CONTROL_PORT}/-/instances/{target}", body)

    def wait_until_acknowledged(self, announce):
        """Retries until acknowledged, as targets do."""
        deadline = time.monotonic() + TIMEOUT
        while True:
            status, _, _ = announce()
            if status == 200:
                return
            self.assertIn(status, (0, 307, 503))
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.1)

    def wait_for_leader(self):
        self.wait_until("exactly one leader",
                        lambda: sum(self.metric(ip, "leader") or 0 for ip in self.replicas) == 1)
        self.wait_until_acknowledged(lambda: self.announce(self.replicas[0], 1))
        for ip in self.replicas:
            self.wait_until_acknowledged(lambda ip=ip: self.announce(ip, 1))

    def test_news_is_taken_at_every_replica_without_a_redirect(self):
        self.wait_for_leader()
        for number, ip in enumerate(self.replicas, start=0xb0):
            status, _, location = self.announce(ip, 1, target=f"i-{number:016x}")
            self.assertEqual((status, location), (200, ""))
        self.wait_until("the balancer knows all targets",
                        lambda: self.metric(self.balancer, "targets") == 1 + len(self.replicas))
        for number, ip in enumerate(reversed(self.replicas), start=0xb0):
            status, _, location = call("DELETE", f"http://{ip}:{CONTROL_PORT}/-/instances/i-{number:016x}")
            self.assertEqual((status, location), (200, ""))
        # Each replica logs the removals that it received itself.
        for ip in self.replicas:
            self.assertEqual(len([line for line in self.log(ip) if line["event"] == "target_ended"]), 1)

    def test_a_target_that_starts_again_under_its_id_is_taken_whatever_it_was_before(self):
        self.wait_for_leader()
        follower = next(ip for ip in self.replicas if self.metric(ip, "leader") == 0)
        for index, previous_state in enumerate(("ready", "draining", "ended")):
            incarnation = FIRST_START + 1000 * index
            status, _, _ = self.announce(follower, 900 + index, incarnation)
            self.assertEqual(status, 200)
            if previous_state == "draining":
                status, _, _ = self.announce(follower, 910, incarnation, previous_state)
                self.assertEqual(status, 200)
            elif previous_state == "ended":
                status, _, _ = call("DELETE", f"http://{follower}:{CONTROL_PORT}/-/instances/{TARGET}")
                self.assertEqual(status, 200)
            # The sequence restarts; delayed announcements of an earlier incarnation have no effect.
            revision = self.metric(follower, "revision")
            self.assertEqual(self.announce(follower, 1, incarnation + 1000)[0], 200)
            self.assertGreater(self.metric(follower, "revision"), revision)
            revision = self.metric(follower, "revision")
            self.assertEqual(self.announce(follower, 999, incarnation, "draining")[0], 200)
            self.assertEqual(self.metric(follower, "revision"), revision)

    def test_what_another_writer_sends_is_refused_and_counted_and_the_others_hold(self):
        self.wait_for_leader()
        replica = self.replicas[1]
        invalid_bodies = (b"", b"\xff\xfe", b"[]", b"{}", b"[" * 50000, b'{"service":7}',
                   json.dumps({"service": "alpha", "address": "127.94.3.1:9000", "zone": "zone-a", "slots": 2,
                               "state": "resting", "warmup_left_ms": 0, "seq": 5, "born": 1}).encode())
        for body in invalid_bodies:
            self.assertEqual(self.put(replica, body)[0], 400)
        self.assertEqual(self.metric(replica, "target_calls_refused_total"), len(invalid_bodies))
        # Logging is limited to one line per second.
        lines = [line for line in self.log(replica) if line["event"] == "announcement_refused"]
        self.assertLessEqual(len(lines), 1 + len(invalid_bodies) // 2)
        self.assertEqual(self.announce(replica, 2)[0], 200)
        self.wait_until("the balancer still knows the target", lambda: self.metric(self.balancer, "targets") == 1)
        self.assertTrue(all(process.poll() is None for process in self.processes.values()))

    def test_news_is_taken_again_after_the_leader_is_gone(self):
        self.wait_for_leader()
        leader = next(ip for ip in self.replicas if self.metric(ip, "leader") == 1)
        others = [ip for ip in self.replicas if ip != leader]
        self.kill(leader)
        for number, ip in enumerate(others, start=0xc0):
            self.wait_until_acknowledged(lambda ip=ip, number=number: self.announce(ip, 1, target=f"i-{number:016x}"))
        self.wait_until("the balancer knows all targets",
                        lambda: self.metric(self.balancer, "targets") == 1 + len(others))


if __name__ == "__main__":
    sys.exit(unittest.main())
