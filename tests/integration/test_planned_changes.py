"""Planned changes by the operator's command under load: nothing may be cut."""

import json
import time
import unittest

from support import FleetTest


class PlannedChangeTest(FleetTest):
    network = 42

    def test_drain_restart_and_refused_files(self):
        bad = self.folder / "bad.toml"
        bad.write_text("schema = 1\ndeployment = \"x\"\ncolour = 3\n")
        code, output = self.fleet.operator("check", str(bad))
        self.assertEqual(code, 2)
        self.assertIn("bad.toml:3: colour: unknown key", output)
        before = self.status()["settings_revision"]
        code, _ = self.fleet.apply(bad)
        self.assertEqual(code, 2)
        self.assertEqual(self.status()["settings_revision"], before)

        callers = [self.start_load(12), self.start_load(12, "b", "archive", downloads=5)]
        time.sleep(1)
        code, output = self.fleet.apply(
            self.write_settings("drain.toml", draining=("main-2", "archive-1")))
        self.assertEqual(code, 0, output)
        drained_at = time.monotonic()
        for i in self.fleet.balancer_numbers:
            self.fleet.restart_balancer(i)
        results = [self.fleet.caller_result(process, 60) for process in callers]
        self.check_promises(results)
        self.check_nothing_cut(results)
        since_drain_ms = (time.monotonic() - drained_at) * 1000
        records = self.fleet.target_records()
        for name in ("main-2", "archive-1"):
            after_drain_ms = since_drain_ms - records[name]["last_new_work_ms_ago"]
            self.assertLess(after_drain_ms, 3000)

    def test_conflict_and_resend(self):
        """Of two files on one base the second is refused; a resend gives the first outcome."""
        base = str(self.status()["settings_revision"])
        one = self.write_settings("one.toml", draining=("main-1",))
        two = self.write_settings("two.toml", draining=("main-2",))
        code, first = self.fleet.operator("apply", str(one), f"--base={base}", "--id=first",
                                          "--json")
        self.assertEqual(code, 0, first)
        code, second = self.fleet.operator("apply", str(two), f"--base={base}", "--id=second",
                                           "--json")
        self.assertEqual(code, 3, second)
        self.assertIn("first", second)
        code, again = self.fleet.operator("apply", str(one), f"--base={base}", "--id=first",
                                          "--json")
        self.assertEqual(code, 0, again)
        self.assertEqual(json.loads(again)["revision"], json.loads(first)["revision"])


if __name__ == "__main__":
    unittest.main()
