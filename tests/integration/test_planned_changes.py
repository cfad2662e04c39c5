"""Planned changes with the operator's command under load must not interrupt any flow."""

import json
import time
import unittest

from support import FleetTest


class PlannedChangeTest(FleetTest):
    network = 42

    def test_drain_restart_and_refused_files(self):
        bad = self.directory / "bad.toml"
        bad.write_text("schema = 1\ndeployment = \"x\"\ncolour = 3\n")
        code, output = self.fleet.run_cli("check", str(bad))
        self.assertEqual(code, 2)
        self.assertIn("bad.toml:3: colour: unknown key", output)
        before = self.status()["settings_revision"]
        code, _ = self.fleet.apply(bad)
        self.assertEqual(code, 2)
        self.assertEqual(self.status()["settings_revision"], before)

        clients = [self.start_load(12), self.start_load(12, "b", "archive", downloads=5)]
        time.sleep(1)
        code, output = self.fleet.apply(
            self.write_settings("drain.toml", draining=("main-2", "archive-1")))
        self.assertEqual(code, 0, output)
        drained_at = time.monotonic()
        for i in self.fleet.balancer_numbers:
            self.fleet.restart_balancer(i)
        results = [self.fleet.client_result(process, 60) for process in clients]
        self.check_invariants(results)
        self.check_no_disruption(results)
        since_drain_ms = (time.monotonic() - drained_at) * 1000
        records = self.fleet.target_records()
        for name in ("main-2", "archive-1"):
            after_drain_ms = since_drain_ms - records[name]["last_new_work_ms_ago"]
            self.assertLess(after_drain_ms, 3000)

    def test_an_evacuated_zone_gets_no_new_work_until_it_is_taken_back(self):
        code, output = self.fleet.run_cli("evacuate", "nowhere")
        self.assertEqual(code, 2, output)
        self.assertIn("known zones: zone-a zone-b zone-c", output)

        clients = [self.start_load(12)]
        time.sleep(1)
        code, output = self.fleet.run_cli("evacuate", "zone-b")
        self.assertEqual(code, 0, output)
        evacuated_at = time.monotonic()
        since = self.status()["evacuated_zones"][0]["since_revision"]
        code, output = self.fleet.run_cli("evacuate", "zone-b")
        self.assertEqual(code, 0, output)
        self.assertEqual(self.status()["evacuated_zones"],
                         [{"zone": "zone-b", "since_revision": since}])
        for i in self.fleet.balancer_numbers:
            self.fleet.wait_until(f"balancer-{i} received the evacuation",
                                  lambda i=i: "gorsevalve_zones_evacuated 1" in
                                  self.fleet.http(self.fleet.balancer_admin(i), "/metrics"))
        code, output = self.fleet.run_cli("status")
        self.assertIn(f"evacuated: zone-b since revision {since}", output)
        results = [self.fleet.client_result(process, 60) for process in clients]
        self.check_invariants(results)
        self.check_no_disruption(results)
        since_evacuation_ms = (time.monotonic() - evacuated_at) * 1000
        records = self.fleet.target_records()
        # Targets 1 and 4 of the service are in zone-b.
        for name in ("main-1", "main-4"):
            after_evacuation_ms = since_evacuation_ms - records[name]["last_new_work_ms_ago"]
            self.assertLess(after_evacuation_ms, 3000)

        code, output = self.fleet.run_cli("evacuate", "zone-c")
        self.assertEqual(code, 0, output)
        self.assertIn("without targets: archive", output)
        for zone in ("zone-b", "zone-c"):
            code, output = self.fleet.run_cli("restore", zone)
            self.assertEqual(code, 0, output)
        self.assertEqual(self.status()["evacuated_zones"], [])
        self.assertEqual(self.status()["without_targets"], [])

    def test_conflict_and_resend(self):
        """A conflicting file must be rejected, and a resubmission must return the first result."""
        base = str(self.status()["settings_revision"])
        one = self.write_settings("one.toml", draining=("main-1",))
        two = self.write_settings("two.toml", draining=("main-2",))
        code, first = self.fleet.run_cli("apply", str(one), f"--base={base}", "--id=first",
                                          "--json")
        self.assertEqual(code, 0, first)
        code, second = self.fleet.run_cli("apply", str(two), f"--base={base}", "--id=second",
                                           "--json")
        self.assertEqual(code, 3, second)
        self.assertIn("first", second)
        code, again = self.fleet.run_cli("apply", str(one), f"--base={base}", "--id=first",
                                          "--json")
        self.assertEqual(code, 0, again)
        self.assertEqual(json.loads(again)["revision"], json.loads(first)["revision"])


if __name__ == "__main__":
    unittest.main()
