"""Three control replicas and a balancer as real processes, for tests of the HTTP interface."""

import json
import os
import pathlib
import subprocess
import tempfile
import time
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("GORSEVALVE_BUILD", ROOT / "build" / "release"))
TIMEOUT = 60
CONTROL_PORT = 8166
READINESS_PORT = 8167


class NoRedirectHandler(urllib.request.HTTPRedirectHandler):
    """Returns redirects to the test instead of following them."""

    def redirect_request(self, *_):
        return None


OPENER = urllib.request.build_opener(NoRedirectHandler)


def call(method, url, body=None):
    """Returns status, body and Location of the response; status 0 on a network error."""
    try:
        with OPENER.open(urllib.request.Request(url, data=body, method=method), timeout=3) as response:
            return response.status, response.read().decode(), ""
    except urllib.error.HTTPError as http_error:
        with http_error:
            return http_error.code, http_error.read().decode(), http_error.headers.get("Location", "")
    except OSError:
        return 0, "", ""


class ReplicatedTest(unittest.TestCase):
    """Starts three replicas and a balancer for each test. Each class sets its own `network`."""

    network = None

    def setUp(self):
        self.replicas = tuple(f"{self.network}.1.{number}" for number in (1, 2, 3))
        self.balancer = f"{self.network}.2.1"
        self.machines = (*self.replicas, self.balancer)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.processes = {}
        self.addCleanup(self.kill_all)
        for ip in self.machines:
            self.start(ip, first_start=True)

    def settings(self, ip, first_start):
        is_replica = ip in self.replicas
        seeds = ", ".join(f'"{replica}:{CONTROL_PORT}"' for replica in self.replicas)
        fields = {
            "name": f'"{ip}"', "zone": '"zone-a"', "ip": f'"{ip}"', "first_internal_port": 7720,
            "datagrams": '""' if is_replica else f'"{ip}:8172"',
            "readiness": '""' if is_replica else f'"{ip}:{READINESS_PORT}"',
            "control": f'"{ip}:{CONTROL_PORT}"' if is_replica else '""', "seeds": f"[{seeds}]",
            "first_start": str(first_start).lower(), "data_folder": f'"{self.data_directory(ip)}"',
            "announce_interval_ms": 1200, "stop_time_s": 2, "forwarding": '"echo"',
            "zones": '["zone-a", "zone-b"]'}
        return "".join(f"{name} = {value}\n" for name, value in fields.items())

    def data_directory(self, ip):
        return self.directory / ip / "data"

    def start(self, ip, first_start=False):
        self.data_directory(ip).mkdir(parents=True, exist_ok=True)
        path = self.directory / ip / "node.toml"
        path.write_text(self.settings(ip, first_start))
        program = "gorsevalve-platform-" + ("control" if ip in self.replicas else "balancer")
        with open(self.directory / ip / "log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                [str(BUILD / program)], stdout=log, stderr=log,
                env=dict(os.environ, GORSEVALVE_NODE_FILE=str(path)))

    def kill(self, ip):
        self.processes[ip].kill()
        self.processes[ip].wait(TIMEOUT)

    def kill_all(self):
        for ip in self.processes:
            self.kill(ip)

    def log(self, ip):
        return [json.loads(line) for line in (self.directory / ip / "log").read_text().splitlines()]

    def wait_until(self, what, condition):
        deadline = time.monotonic() + TIMEOUT
        while not condition():
            self.assertLess(time.monotonic(), deadline, f"timed out waiting for: {what}")
            time.sleep(0.1)

    def metric(self, ip, name):
        port = CONTROL_PORT if ip in self.replicas else READINESS_PORT
        _, text, _ = call("GET", f"http://{ip}:{port}/metrics")
        values = [line.split()[-1] for line in text.splitlines() if line.startswith(f"gorsevalve_{name} ")]
        return float(values[0]) if values else None
