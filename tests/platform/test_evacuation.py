"""Evacuation commands with real processes: acknowledged, propagated to balancers, and durable."""

import json
import shutil
import sys
import time
import unittest

from replicated import CONTROL_PORT, TIMEOUT, ReplicatedTest, call


class EvacuationTest(ReplicatedTest):
    network = "127.93"

    def send_command(self, method, zone):
        """Sends a command to the replicas in turn. Returns status and body of the decision."""
        deadline = time.monotonic() + TIMEOUT
        attempt = 0
        url = None
        while time.monotonic() < deadline:
            url = url or f"http://{self.replicas[attempt % len(self.replicas)]}:{CONTROL_PORT}/-/evacuate/{zone}"
            status, body, url = call(method, url)
            if status not in (0, 307, 503):
                return status, body
            attempt += 1
            time.sleep(0.1)
        return self.fail("no replica decided before the timeout")

    def wait_for_evacuated(self, count, machines=None):
        self.wait_until(f"{count} zones evacuated",
                        lambda: all(self.metric(ip, "zones_evacuated") == count for ip in machines or self.machines))

    def test_an_order_is_known_to_all_and_holds_after_a_restart_of_all(self):
        self.assertEqual(self.send_command("POST", "zone-a")[0], 200)
        self.wait_for_evacuated(1)
        self.assertEqual(self.send_command("POST", "zone-a")[0], 200)
        self.kill_all()
        for ip in self.machines:
            self.start(ip)
        self.wait_for_evacuated(1)
        self.assertEqual(self.send_command("DELETE", "zone-a")[0], 200)
        self.wait_for_evacuated(0)
        logged_events = [(line["event"], line["zone"]) for line in self.log(self.balancer)
                if line["event"] in ("zone_evacuated", "zone_restored")]
        self.assertEqual(logged_events, [("zone_evacuated", "zone-a")] * 2 + [("zone_restored", "zone-a")])

    def test_an_order_holds_after_a_replica_lost_its_disk_and_another_one_is_gone(self):
        self.assertEqual(self.send_command("POST", "zone-b")[0], 200)
        self.wait_for_evacuated(1)
        wiped, killed = self.replicas[0], self.replicas[1]
        self.kill(wiped)
        shutil.rmtree(self.data_directory(wiped))
        self.start(wiped)
        self.wait_until("the wiped replica is a member again", lambda: self.metric(wiped, "replicas") == 3)
        self.wait_for_evacuated(1)
        self.kill(killed)
        self.assertEqual(self.send_command("POST", "zone-b")[0], 200)
        self.wait_for_evacuated(1, (wiped, self.replicas[2], self.balancer))

    def test_an_unknown_zone_is_refused_by_name_with_those_that_are_known(self):
        status, body = self.send_command("POST", "nowhere")
        self.assertEqual(status, 404)
        self.assertEqual(json.loads(body)["error"],
                         'there is no zone "nowhere"; known zones: zone-a zone-b')
        for ip in self.replicas:
            self.assertEqual(self.metric(ip, "zones_evacuated"), 0)

    def test_a_zone_that_is_no_text_ends_no_replica(self):
        status, _ = self.send_command("DELETE", "%ff")
        self.assertEqual(status, 404)
        self.assertTrue(all(self.processes[ip].poll() is None for ip in self.replicas))

    def test_without_a_majority_an_order_is_not_acknowledged(self):
        self.assertEqual(self.send_command("DELETE", "zone-a")[0], 200)
        self.kill(self.replicas[0])
        self.kill(self.replicas[1])
        for _ in range(3):
            status, _, _ = call("POST", f"http://{self.replicas[2]}:{CONTROL_PORT}/-/evacuate/zone-a")
            self.assertIn(status, (307, 503))
        self.assertEqual(self.metric(self.replicas[2], "zones_evacuated"), 0)


if __name__ == "__main__":
    sys.exit(unittest.main())
