"""The platform programs as real processes: start, reload, stop, and invalid settings."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("GORSEVALVE_BUILD", ROOT / "build" / "release"))
TIMEOUT = 60
USAGE_ERROR = 1

SETTINGS = """
name = "edge-1"
zone = "z"
ip = "127.90.1.1"
first_internal_port = 7720
datagrams = "127.90.1.1:8172"
readiness = "127.90.1.1:8167"
control = ""
seeds = ["127.90.1.2:8166"]
first_start = true
data_folder = ""
announce_interval_ms = 1200
stop_time_s = 2
forwarding = "echo"
"""


class ProgramTest(unittest.TestCase):
    """Runs one balancer whose control replicas are not running."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "node.toml"

    def start(self):
        process = subprocess.Popen([str(BUILD / "gorsevalve-platform-balancer")], text=True,
                                   stdout=subprocess.PIPE, stderr=subprocess.PIPE,
                                   env=dict(os.environ, GORSEVALVE_NODE_FILE=str(self.path)))
        self.addCleanup(self.end, process)
        return process

    def end(self, process):
        if process.poll() is None:
            process.kill()
        process.communicate(timeout=TIMEOUT)

    def wait_for_event(self, process, event):
        """Returns True once the event is logged. Kills the process after TIMEOUT seconds."""
        guard = threading.Timer(TIMEOUT, process.kill)
        guard.start()
        try:
            for line in process.stdout:
                if f'"event":"{event}"' in line:
                    return True
        finally:
            guard.cancel()
        return False

    def test_a_reload_signal_during_the_start_does_not_end_the_process(self):
        os.mkfifo(self.path)
        process = self.start()
        with open(self.path, "w", encoding="utf-8") as settings:
            # The process is blocked reading the settings now.
            process.send_signal(signal.SIGHUP)
            settings.write(SETTINGS)
        self.assertTrue(self.wait_for_event(process, "started"), process.poll())

    def test_a_planned_stop_ends_with_success(self):
        self.path.write_text(SETTINGS)
        process = self.start()
        self.assertTrue(self.wait_for_event(process, "started"))
        process.send_signal(signal.SIGTERM)
        self.assertTrue(self.wait_for_event(process, "stopped"))
        self.assertEqual(process.wait(TIMEOUT), 0)

    def test_bad_settings_are_refused_with_file_and_field(self):
        self.path.write_text(SETTINGS.replace('"127.90.1.1:8172"', '"nowhere"'))
        process = self.start()
        _, errors = process.communicate(timeout=TIMEOUT)
        self.assertEqual(process.returncode, USAGE_ERROR)
        self.assertIn("node.toml: datagrams:", errors)


if __name__ == "__main__":
    sys.exit(unittest.main())
