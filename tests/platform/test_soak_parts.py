"""Unit tests of the soak test: its rule checks, link shaper, streams, zone cuts, cuts of targets and weights."""

import asyncio
import json
import pathlib
import random
import socket
import sys
import types
import unittest
from unittest import mock

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE / "soak"))

import evacuations  # noqa: E402  (the path must be set first)
import messages  # noqa: E402
import packets  # noqa: E402
import source_filter  # noqa: E402
from caller import FEED  # noqa: E402
from contact import Disturbances  # noqa: E402
from narrow_link import QUEUE_LIMIT, LinkShaper  # noqa: E402
from operator_calls import Operator  # noqa: E402
from promises import SETTLE_TIME, RuleChecker, now  # noqa: E402
from streams import INITIAL_RTO, WINDOW, Receiver, Sender  # noqa: E402
from target import Target  # noqa: E402
from zone_paths import ZonePaths  # noqa: E402

FULL_PACKET_BYTES = 1240


def data_packet(seq, data):
    return packets.Packet(("127.0.0.1", 1), ("127.0.0.1", 2), packets.ACK, seq, 0, 0, data)


class NarrowLinkTest(unittest.TestCase):
    def test_a_burst_beyond_the_queue_is_dropped(self):
        link = LinkShaper(2.0)
        departures = [link.departure(FULL_PACKET_BYTES, 1.0) for _ in range(WINDOW)]
        self.assertEqual(sum(departure is not None for departure in departures), QUEUE_LIMIT + 1)

    def test_paced_packets_pass_at_the_rate_of_the_link(self):
        link = LinkShaper(2.0)
        transmission_time = FULL_PACKET_BYTES / 250_000
        departures = [link.departure(FULL_PACKET_BYTES, i * transmission_time) for i in range(100)]
        self.assertNotIn(None, departures)
        self.assertAlmostEqual(departures[-1], 100 * transmission_time)


class StreamsTest(unittest.IsolatedAsyncioTestCase):
    async def test_sixteen_packets_are_under_way_and_the_missing_ones_come_again(self):
        written = []
        sender = Sender(100, lambda data, seq: written.append((seq, data)))
        message = random.Random(1).randbytes(60_000)
        sender.put(message)
        self.assertEqual(len(written), WINDOW)
        receiver = Receiver(100)
        # The first packet of each burst is lost once.
        dropped, rounds = set(), 0
        while len(receiver.stream) < len(message):
            burst, written[:] = list(written), []
            for number, (seq, data) in enumerate(burst):
                if number == 0 and seq not in dropped:
                    dropped.add(seq)
                    continue
                receiver.on_data(data_packet(seq, data))
            sender.on_acknowledged(receiver.receive_next)
            self.assertLessEqual(len(sender.in_flight), WINDOW)
            if not written:
                await asyncio.sleep(INITIAL_RTO * 1.2)
            rounds += 1
            self.assertLess(rounds, 50)
        self.assertEqual(receiver.stream, message)
        sender.stop()

    async def test_every_second_packet_and_each_last_one_is_acknowledged(self):
        receiver = Receiver(0)
        full = b"x" * packets.MAX_DATA
        due = [receiver.on_data(data_packet(i * len(full), full)) for i in range(4)]
        self.assertEqual(due, [False, True, False, True])
        self.assertTrue(receiver.on_data(data_packet(4 * len(full), b"end")))
        self.assertTrue(receiver.on_data(data_packet(0, full)))

    async def test_a_message_is_taken_only_when_it_is_whole(self):
        receiver = Receiver(0)
        encoded = messages.encode({"id": "a"}, messages.body_of("a", 2000))
        receiver.on_data(data_packet(0, encoded[:1200]))
        self.assertIsNone(messages.read_message(receiver))
        receiver.on_data(data_packet(1200, encoded[1200:]))
        head, body = messages.read_message(receiver)
        self.assertEqual((head["id"], body), ("a", messages.body_of("a", 2000)))


class ZonePathsTest(unittest.TestCase):
    def test_a_cut_zone_reaches_itself_and_what_is_outside(self):
        paths = ZonePaths()
        paths.begin_cut("a")
        self.assertTrue(paths.is_open("a", "a"))
        self.assertTrue(paths.is_open("a", None))
        self.assertTrue(paths.is_open("b", "c"))
        self.assertFalse(paths.is_open("a", "b"))
        self.assertFalse(paths.is_undisturbed("b", "a"))
        self.assertTrue(paths.is_undisturbed("b", "c"))
        paths.end_cut("a")
        self.assertTrue(paths.is_open("a", "b"))
        self.assertFalse(paths.is_undisturbed("a", "b"))

    def test_a_cut_tells_which_way_flows_were_placed_across(self):
        paths = ZonePaths()
        paths.begin_cut("a")
        paths.on_lost_opening("a", "b")
        paths.on_lost_opening("b", "a")
        paths.on_lost_opening("c", "a")
        cut = paths.end_cut("a")
        self.assertEqual((cut.openings_out, cut.openings_in), (1, 2))

    def test_the_filter_leaves_only_those_silent_that_it_names(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def connects_from(ip):
            try:
                socket.create_connection(listener.getsockname(), timeout=0.3, source_address=(ip, 0)).close()
                return True
            except socket.timeout:
                return False

        source_filter.block_sources(listener, ["127.0.0.2", "127.0.0.3"])
        self.assertEqual([connects_from(f"127.0.0.{i}") for i in (2, 3, 4)], [False, False, True])
        source_filter.block_sources(listener, [])
        self.assertTrue(connects_from("127.0.0.2"))


class EvacuationsTest(unittest.TestCase):
    """Flows opened in an evacuated zone by a balancer whose disturbances the test controls."""

    def setUp(self):
        self.time = 1000.0
        for module in ("contact", "evacuations", "promises"):
            patch = mock.patch(f"{module}.now", lambda: self.time)
            patch.start()
            self.addCleanup(patch.stop)
        self.disturbances = Disturbances()
        self.checker = RuleChecker(self.disturbances)
        world = types.SimpleNamespace(promises=self.checker, disturbances=self.disturbances, began=0.0,
                                      zones=("a", "b"))
        self.evacuations = evacuations.Evacuations(world)
        self.evacuations.evacuated_since["a"] = self.evacuations.changed_at = self.time
        self.evacuations.maybe_evacuated.add("a")
        self.target = types.SimpleNamespace(zone="a", name="target")
        self.balancer = types.SimpleNamespace(name="balancer")

    def violations_after_opening(self, after):
        self.time += after
        with mock.patch("builtins.print"):
            self.evacuations.on_opening(self.target, self.balancer, self.time)
        return len(self.checker.violations)

    def test_an_opening_within_the_bound_is_allowed(self):
        self.assertEqual(self.violations_after_opening(evacuations.EVACUATION_LIMIT), 0)

    def test_an_opening_later_than_the_bound_breaks_the_rule(self):
        self.assertEqual(self.violations_after_opening(evacuations.EVACUATION_LIMIT + 0.1), 1)

    def test_a_zone_that_is_taken_back_is_not_judged(self):
        self.evacuations.evacuated_since.pop("a")
        self.assertEqual(self.violations_after_opening(evacuations.EVACUATION_LIMIT + 0.1), 0)

    def test_a_balancer_that_was_disturbed_is_judged_once_it_is_in_touch_again(self):
        self.time += evacuations.EVACUATION_LIMIT
        self.disturbances.record("balancer")
        self.assertEqual(self.violations_after_opening(SETTLE_TIME / 2), 0)
        self.assertEqual(self.violations_after_opening(SETTLE_TIME), 1)

    def violations_after_metric_read(self, evacuated_count, after=evacuations.EVACUATION_LIMIT + 0.1):
        self.time += after
        with mock.patch("builtins.print"):
            self.evacuations.on_evacuated_count(self.balancer, evacuated_count, self.time)
        return len(self.checker.violations)

    def test_a_balancer_must_know_what_was_acknowledged(self):
        self.assertEqual(self.violations_after_metric_read(0, evacuations.EVACUATION_LIMIT), 0)
        self.assertEqual(self.violations_after_metric_read(1), 0)
        self.assertEqual(self.violations_after_metric_read(0), 1)

    def test_a_balancer_must_know_what_was_taken_back(self):
        self.evacuations.evacuated_since.clear()
        self.evacuations.maybe_evacuated.clear()
        self.assertEqual(self.violations_after_metric_read(0), 0)
        self.assertEqual(self.violations_after_metric_read(1), 1)

    def test_an_order_without_an_answer_is_not_judged(self):
        self.evacuations.evacuated_since.clear()
        self.assertEqual(self.violations_after_metric_read(0), 0)
        self.assertEqual(self.violations_after_metric_read(1), 0)

    def test_a_zone_without_flows_at_the_end_is_told_unless_it_is_empty(self):
        with mock.patch("builtins.print"):
            self.evacuations.check_at_end(self.time)
        self.assertEqual(len(self.checker.violations), 1)
        self.assertIn("b got no flow", self.checker.violations[0])


class TargetCutsTest(unittest.TestCase):
    """Resets of open flows count, but for those of a target that was just cut off."""

    def setUp(self):
        self.checker = RuleChecker(Disturbances())
        self.holder = Target.__new__(Target)
        self.holder.name = "holder"
        self.holder.is_running = True
        self.holder.is_cut = False
        self.holder.cut_ended_at = None

    def violations_after_reset(self):
        with mock.patch("builtins.print"):
            self.checker.on_client_reset("flow", ("198.18.0.1", 443), self.holder)
        return len(self.checker.violations)

    def test_a_reset_of_an_open_flow_breaks_the_rule(self):
        self.assertEqual(self.violations_after_reset(), 1)

    def test_a_reset_during_a_cut_of_the_target_is_allowed(self):
        self.holder.is_cut = True
        self.assertEqual(self.violations_after_reset(), 0)

    def test_a_reset_soon_after_a_cut_is_allowed_and_a_later_one_is_not(self):
        self.holder.cut_ended_at = now() - SETTLE_TIME + 1.0
        self.assertEqual(self.violations_after_reset(), 0)
        self.holder.cut_ended_at = now() - SETTLE_TIME - 0.1
        self.assertEqual(self.violations_after_reset(), 1)


class WeightsTest(unittest.TestCase):
    def test_a_service_of_weight_0_is_not_allowed(self):
        frontend = ("198.18.0.1", 443)
        world = types.SimpleNamespace(seed=1, frontends={frontend: (FEED, {"main", "archive"})})
        operator = Operator(world)
        operator.weights = {"main": 0, "archive": 1}
        self.assertEqual(operator.routes(), {frontend: {"archive"}})
        route, = json.loads(operator.body(1))["routes"]
        self.assertEqual(route["backends"], [{"service": "main", "weight": 0}, {"service": "archive", "weight": 1}])


if __name__ == "__main__":
    sys.exit(unittest.main())
