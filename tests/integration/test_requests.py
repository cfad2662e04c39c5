"""Requests end to end: a real CoAP client, isolation of services, network faults."""

import socket
import subprocess
import unittest

from support import FleetTest


class RequestTest(FleetTest):
    network = 41
    fabric_flags = ("--delay_ms=20", "--duplication=0.05", "--loss=0.02")

    def client(self, *arguments):
        done = subprocess.run(["coap-client-notls", "-B", "30", *arguments], capture_output=True,
                              text=True, timeout=40, check=False)
        return done.stdout.strip()

    def test_real_client(self):
        """Lookup, update and block-wise transfer must work with a real client."""
        base = f"coap://127.{self.network}.0.1"
        self.assertIn("found 7 at main-", self.client(f"{base}/lookup?id=7"))
        self.assertEqual(self.client("-m", "post", f"{base}/update?id=u1"), "done u1")
        document = self.client(f"coap://127.{self.network}.0.2/download?id=d1")
        self.assertEqual(len(document), 4096)
        self.assertTrue(document.startswith("d1:"))
        records = self.fleet.target_records()
        runs = [r["executions"].get("u1", 0) for r in records.values()]
        self.assertEqual(sum(runs), 1)

    def test_crossed_late_and_doubled(self):
        """Guards against mixed-up responses or services on a faulty network."""
        clients = [self.start_load(5, "a", "main", feeds=10, updates=20, lookups=20),
                   self.start_load(5, "b", "archive", downloads=10)]
        noise = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for payload in (b"", b"\x40", b"\xff" * 1500, b"\x45\x01\x00\x01", bytes(9000)):
            noise.sendto(payload, (f"127.{self.network}.0.1", 5683))
            noise.sendto(payload, (f"127.{self.network}.201.1", 6000))
        noise.close()
        results = [self.fleet.client_result(process, 60) for process in clients]
        self.check_invariants(results)
        self.assertEqual(sum(r["broken_flows"] for r in results), 0)


if __name__ == "__main__":
    unittest.main()
