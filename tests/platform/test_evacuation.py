"""Orders to evacuate a zone, given to real processes: acknowledged, known to balancers, kept over losses."""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("GORSEVALVE_BUILD", ROOT / "build" / "release"))
PATIENCE = 60
REPLICAS = ("127.93.1.1", "127.93.1.2", "127.93.1.3")
BALANCER = "127.93.2.1"
CONTROL_PORT = 8166
READINESS_PORT = 8167


class KeepsRedirects(urllib.request.HTTPRedirectHandler):
    """A redirect is an answer like any other here."""

    def redirect_request(self, *_):
        return None


OPENER = urllib.request.build_opener(KeepsRedirects)


def call(method, url):
    """Status, body and location of the answer; status 0 when there was none."""
    try:
        with OPENER.open(urllib.request.Request(url, method=method), timeout=3) as answer:
            return answer.status, answer.read().decode(), ""
    except urllib.error.HTTPError as refusal:
        with refusal:
            return refusal.code, refusal.read().decode(), refusal.headers.get("Location", "")
    except OSError:
        return 0, "", ""


class EvacuationTest(unittest.TestCase):
    """Each test starts three replicas and a balancer."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.processes = {}
        self.addCleanup(self.kill_all)
        for ip in (*REPLICAS, BALANCER):
            self.start(ip, first_start=True)

    def settings(self, ip, first_start):
        is_replica = ip in REPLICAS
        seeds = ", ".join(f'"{replica}:{CONTROL_PORT}"' for replica in REPLICAS)
        fields = {
            "name": f'"{ip}"', "zone": '"zone-a"', "ip": f'"{ip}"', "first_internal_port": 7720,
            "datagrams": '""' if is_replica else f'"{ip}:8172"',
            "readiness": '""' if is_replica else f'"{ip}:{READINESS_PORT}"',
            "control": f'"{ip}:{CONTROL_PORT}"' if is_replica else '""', "seeds": f"[{seeds}]",
            "first_start": str(first_start).lower(), "data_folder": f'"{self.data(ip)}"',
            "announce_interval_ms": 1200, "stop_time_s": 2, "forwarding": '"echo"',
            "zones": '["zone-a", "zone-b"]'}
        return "".join(f"{name} = {value}\n" for name, value in fields.items())

    def data(self, ip):
        return self.folder / ip / "data"

    def start(self, ip, first_start=False):
        self.data(ip).mkdir(parents=True, exist_ok=True)
        path = self.folder / ip / "node.toml"
        path.write_text(self.settings(ip, first_start))
        program = "gorsevalve-platform-" + ("control" if ip in REPLICAS else "balancer")
        with open(self.folder / ip / "log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                [str(BUILD / program)], stdout=log, stderr=log,
                env=dict(os.environ, GORSEVALVE_NODE_FILE=str(path)))

    def kill(self, ip):
        self.processes[ip].kill()
        self.processes[ip].wait(PATIENCE)

    def kill_all(self):
        for ip in self.processes:
            self.kill(ip)

    def log(self, ip):
        return [json.loads(line) for line in (self.folder / ip / "log").read_text().splitlines()]

    def wait_until(self, what, condition):
        deadline = time.monotonic() + PATIENCE
        while not condition():
            self.assertLess(time.monotonic(), deadline, f"not in time: {what}")
            time.sleep(0.1)

    def order(self, method, zone):
        """Asks one replica after the other, follows redirects; gives status and body of the decision."""
        deadline = time.monotonic() + PATIENCE
        turn = 0
        url = None
        while time.monotonic() < deadline:
            url = url or f"http://{REPLICAS[turn % len(REPLICAS)]}:{CONTROL_PORT}/-/evacuate/{zone}"
            status, body, url = call(method, url)
            if status not in (0, 307, 503):
                return status, body
            turn += 1
            time.sleep(0.1)
        return self.fail("no replica decided in time")

    def metric(self, ip, name):
        port = CONTROL_PORT if ip in REPLICAS else READINESS_PORT
        _, text, _ = call("GET", f"http://{ip}:{port}/metrics")
        values = [line.split()[-1] for line in text.splitlines() if line.startswith(f"gorsevalve_{name} ")]
        return float(values[0]) if values else None

    def wait_for_evacuated(self, count, machines=(*REPLICAS, BALANCER)):
        self.wait_until(f"{count} zones evacuated",
                        lambda: all(self.metric(ip, "zones_evacuated") == count for ip in machines))

    def test_an_order_is_known_to_all_and_holds_after_a_restart_of_all(self):
        self.assertEqual(self.order("POST", "zone-a")[0], 200)
        self.wait_for_evacuated(1)
        self.assertEqual(self.order("POST", "zone-a")[0], 200)
        self.kill_all()
        for ip in (*REPLICAS, BALANCER):
            self.start(ip)
        self.wait_for_evacuated(1)
        self.assertEqual(self.order("DELETE", "zone-a")[0], 200)
        self.wait_for_evacuated(0)
        told = [(line["event"], line["zone"]) for line in self.log(BALANCER)
                if line["event"] in ("zone_evacuated", "zone_restored")]
        self.assertEqual(told, [("zone_evacuated", "zone-a")] * 2 + [("zone_restored", "zone-a")])

    def test_an_order_holds_after_a_replica_lost_its_disk_and_another_one_is_gone(self):
        self.assertEqual(self.order("POST", "zone-b")[0], 200)
        self.wait_for_evacuated(1)
        wiped, gone = REPLICAS[0], REPLICAS[1]
        self.kill(wiped)
        shutil.rmtree(self.data(wiped))
        self.start(wiped)
        self.wait_until("the wiped replica is taken in", lambda: self.metric(wiped, "replicas") == 3)
        self.wait_for_evacuated(1)
        self.kill(gone)
        self.assertEqual(self.order("POST", "zone-b")[0], 200)
        self.wait_for_evacuated(1, (wiped, REPLICAS[2], BALANCER))

    def test_an_unknown_zone_is_refused_by_name_with_those_that_are_known(self):
        status, body = self.order("POST", "nowhere")
        self.assertEqual(status, 404)
        self.assertEqual(json.loads(body)["error"],
                         'there is no zone "nowhere"; known zones: zone-a zone-b')
        for ip in REPLICAS:
            self.assertEqual(self.metric(ip, "zones_evacuated"), 0)

    def test_a_zone_that_is_no_text_ends_no_replica(self):
        status, _ = self.order("DELETE", "%ff")
        self.assertEqual(status, 404)
        self.assertTrue(all(self.processes[ip].poll() is None for ip in REPLICAS))

    def test_without_a_majority_an_order_is_not_acknowledged(self):
        self.assertEqual(self.order("DELETE", "zone-a")[0], 200)
        self.kill(REPLICAS[0])
        self.kill(REPLICAS[1])
        for _ in range(3):
            status, _, _ = call("POST", f"http://{REPLICAS[2]}:{CONTROL_PORT}/-/evacuate/zone-a")
            self.assertIn(status, (307, 503))
        self.assertEqual(self.metric(REPLICAS[2], "zones_evacuated"), 0)


if __name__ == "__main__":
    sys.exit(unittest.main())
