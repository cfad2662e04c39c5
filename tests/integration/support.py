"""Common base of the integration tests: a small deployment of real processes on loopback."""

import os
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import fleet as fleets  # noqa: E402  (the path must be set first)
from fault_proxy import FaultProxy  # noqa: E402

BUILD = pathlib.Path(os.environ.get("GORSEVALVE_BUILD", ROOT / "build" / "release"))
ZONES = ("zone-a", "zone-b", "zone-c")


def settings_text(network, draining=(), extra=""):
    """Settings with two services, of six and two targets, in three zones."""
    lines = ["schema = 1", f'deployment = "test-{network}"', extra]
    for number, (name, count) in enumerate((("main", 6), ("archive", 2)), start=1):
        lines += ["[[service]]", f'name = "{name}"', f'address = "127.{network}.0.{number}:5683"']
        for i in range(1, count + 1):
            ip = f"127.{network}.{number}.{i}"
            lines += ["[[service.target]]", f'name = "{name}-{i}"', f'address = "{ip}:5683"',
                      f'health = "{ip}:8080"', f'zone = "{ZONES[i % 3]}"']
            if f"{name}-{i}" in draining:
                lines.append("draining = true")
    return "\n".join(lines) + "\n"


class FleetTest(unittest.TestCase):
    """Starts a fleet for each test. Every test class has its own loopback network."""

    network = None
    balancers_per_zone = 1
    proxied = False
    fabric_flags = ()

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.settings_path = self.write_settings("settings.toml")
        self.fleet = fleets.Fleet(self.settings_path, self.directory, BUILD, self.network,
                                  balancers_per_zone=self.balancers_per_zone,
                                  proxied=self.proxied, fabric_flags=self.fabric_flags)
        if self.proxied:
            self.proxy = FaultProxy()
            self.addCleanup(self.proxy.stop)
            for i in self.fleet.control_numbers:
                self.proxy.forward_tcp(self.fleet.control_address(i), self.fleet.control_listen(i))
            for i in self.fleet.balancer_numbers:
                self.proxy.forward_udp(self.fleet.balancer_address(i),
                                       self.fleet.balancer_listen(i))
            self.proxy.start()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def write_settings(self, name, **options):
        path = self.directory / name
        path.write_text(settings_text(self.network, **options))
        return path

    def start_load(self, seconds, name="load", service="main", **counts):
        port = {"main": 21000, "archive": 22000}[service]
        counts = counts or {"feeds": 10, "updates": 10, "lookups": 10}
        return self.fleet.start_clients(name, service, port, seconds=seconds, pause_ms=100, **counts)

    def check_invariants(self, results):
        """Checks what must hold under any failure."""
        records = self.fleet.target_records()
        self.assertEqual(fleets.check_updates(results, records), [])
        self.assertEqual(sum(r["foreign"] for r in records.values()), 0)
        for result in results:
            self.assertEqual(result["wrong_answers"], 0)
            self.assertEqual(result["verdicts_without_time"], 0)
            self.assertGreater(result["answers"], 0)

    def check_no_disruption(self, results):
        """Checks what must also hold during planned changes."""
        for result in results:
            self.assertEqual(result["broken_flows"], 0)
            self.assertEqual(result["timeouts"], 0)
            self.assertEqual(result["verdicts_may_have_run"], 0)

    def status(self):
        status = self.fleet.status()
        self.assertIsNotNone(status)
        return status
