"""Failures of real processes: crashes, stalls, lost disks and network faults."""

import shutil
import signal
import time
import unittest

from support import FleetTest


class BalancerFailureTest(FleetTest):
    network = 43
    proxied = True

    def test_kill_and_freeze(self):
        """Guards against violations when a balancer crashes and another one stalls."""
        clients = self.start_load(14)
        time.sleep(1)
        self.fleet.processes["balancer-1"].kill()
        self.fleet.announce(1, "gone")
        time.sleep(4)
        self.fleet.start_balancer(1)
        self.fleet.announce(1, "live")
        frozen = self.fleet.processes["balancer-2"]
        frozen.signal(signal.SIGSTOP)
        time.sleep(5)
        frozen.signal(signal.SIGCONT)
        result = self.fleet.client_result(clients, 150)
        self.check_invariants([result])
        self.fleet.wait_until("all joined", self.fleet.all_joined)
        self.fleet.wait_until("handovers complete", self.fleet.handovers_complete)

    def test_lossy_peers(self):
        """Guards against violations when messages between balancers are lost and duplicated."""
        self.proxy.datagram_loss = 0.05
        self.proxy.datagram_duplication = 0.05
        clients = self.start_load(6)
        result = self.fleet.client_result(clients, 150)
        self.check_invariants([result])
        self.assertGreater(self.proxy.dropped, 0)


class ControlFailureTest(FleetTest):
    network = 44
    proxied = True

    def apply_drain(self, name):
        return self.fleet.apply(self.write_settings(f"drain-{name}.toml", draining=(name,)))

    def test_isolated_leader(self):
        """An isolated leader must step down, and must catch up later without reverting settings."""
        leader = self.fleet.leader_number()
        others = [i for i in self.fleet.control_numbers if i != leader]
        addresses = [self.fleet.control_address(i) for i in others]
        self.proxy.cut([self.fleet.control_address(leader)], addresses)
        self.fleet.wait_until("another leader",
                              lambda: self.fleet.leader_number() in others)
        code, output = self.apply_drain("main-1")
        self.assertEqual(code, 0, output)
        revision = self.status()["settings_revision"]
        self.proxy.heal()
        self.fleet.wait_until("old leader caught up", lambda: self.revision_at(leader) >= revision)
        self.assertEqual(self.status()["settings_revision"], revision)

    def revision_at(self, i):
        import json
        return json.loads(self.fleet.http(self.fleet.control_admin(i), "/v1/status"))[
            "settings_revision"]

    def test_lost_disk_then_second_loss(self):
        """Settings must survive the loss of one disk followed by the crash of another replica."""
        code, _ = self.apply_drain("main-1")
        self.assertEqual(code, 0)
        revision = self.status()["settings_revision"]
        leader = self.fleet.leader_number()
        wiped, killed = [i for i in self.fleet.control_numbers if i != leader]
        self.fleet.processes[f"control-{wiped}"].kill()
        shutil.rmtree(self.directory / f"control-{wiped}.data")
        self.fleet.start_control(wiped)
        self.fleet.wait_until("replaced replica caught up",
                              lambda: self.revision_at(wiped) >= revision)
        time.sleep(1)
        self.fleet.processes[f"control-{killed}"].kill()
        code, output = self.apply_drain("main-2")
        self.assertEqual(code, 0, output)
        self.fleet.start_control(killed)
        self.fleet.wait_until("killed replica caught up",
                              lambda: self.revision_at(killed) > revision)

    def test_all_restarted(self):
        """Settings and flows must survive a simultaneous crash of all control replicas."""
        clients = self.start_load(8)
        code, _ = self.apply_drain("main-3")
        self.assertEqual(code, 0)
        before = self.status()
        for i in self.fleet.control_numbers:
            self.fleet.processes[f"control-{i}"].kill()
        time.sleep(1)
        for i in self.fleet.control_numbers:
            self.fleet.start_control(i)
        self.fleet.wait_until("a leader again", lambda: self.fleet.leader_number() is not None)
        self.assertEqual(self.status()["settings_revision"], before["settings_revision"])
        result = self.fleet.client_result(clients, 60)
        self.check_invariants([result])
        self.check_no_disruption([result])


if __name__ == "__main__":
    unittest.main()
