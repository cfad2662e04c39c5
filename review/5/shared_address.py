"""A target at a reused address was cut off for some seconds and is back. A balancer goes on resetting its open
flows, long after the cut."""

import json
import os
import signal
import sys
import time
import traceback

from actors2 import Client, LongFlow, Operator, Target, World, wait_until
from deployment2 import Deployment, Record, now

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-a", "hall-b", "hall-c"]
ROUTE = ("127.18.0.1", 8443)
# bounds.contact_ms, bounds.reuse_after_s of the site, and the length of its cuts.
CONTACT_S = 5.0
REUSE_AFTER_S = 2.0
CUT_S = 5.5


def configuration():
    service = {"name": "booking", "health_check": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
    route = {"name": "r-1", "host": ROUTE[0], "path_prefix": f"/{ROUTE[1]}/", "type": "non_idempotent",
             "timeout_ms": 2000, "aim_ms": 150, "priority": 1, "attempts": 2, "service": "booking"}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    return json.dumps({"version": 7, "routes": [route], "services": [service], "limits": limits})


class Scene:
    def __init__(self, record):
        self.record = record
        self.deployment = Deployment(ZONES, ["hall-a", "hall-a"], ZONES, record)
        self.world = World(self.deployment, record)
        self.holder = {}
        self.world.on_opening = self.on_opening
        self.world.on_run = lambda target, key, data, at: record(
            f"{target.name} ran {data.split(b'Request-Id: ')[1].split()[0].decode()} of {key[0]}")
        self.client = Client(self.world, self.deployment.ip(200), "hall-a", self.on_result)
        self.next_port = 30000
        self.requests = 0

    def on_opening(self, target, key, at):
        self.record(f"{target.name} took the flow {key[0]}")
        self.holder[key] = target

    def on_result(self, flow):
        self.record(f"flow {flow.source}: {flow.result}")

    def source_through(self, machine):
        """A client port whose flows the routers send to the machine."""
        while True:
            self.next_port += 1
            source = (self.client.ip, self.next_port)
            if self.world.router.choose("hall-a", source, ROUTE) == machine.ip:
                return source

    def open_at(self, target, machine, limit):
        """Opens flows through the machine until the target takes one; returns that one, or None."""
        for _ in range(limit):
            flow = LongFlow(self.client, ROUTE, self.source_through(machine))
            wait_until(lambda: flow.is_open() or flow.result, 2.0)
            if self.holder.get((flow.source, ROUTE)) is target and flow.is_open():
                return flow
        return None

    def ask(self, flow):
        self.requests += 1
        self.record(f"request {self.requests} on {flow.source}")
        flow.send_request(self.requests)


def play(record):
    scene = Scene(record)
    deployment, world = scene.deployment, scene.world
    near, far = deployment.balancers
    try:
        deployment.start_all()
        world.start()
        world.add_client(scene.client)
        others = [Target(world, "booking", deployment.ip(101 + i), "hall-a") for i in range(3)]
        old = Target(world, "booking", deployment.ip(110), "hall-a")
        operator = Operator(deployment, record)
        if operator.order("PUT", "/-/config", configuration()) is None or not wait_until(
                lambda: len(world.router.ready()) == 2, 20):
            return 2
        time.sleep(2)
        background = [LongFlow(scene.client, ROUTE, scene.source_through(near)) for _ in range(6)]

        def pause(seconds):
            """Lets time pass; the flows in the background make a request every 0.3 s."""
            end = now() + seconds
            while now() < end:
                for flow in background:
                    if flow.is_open() and flow.pending is None:
                        scene.ask(flow)
                time.sleep(0.3)

        pause(2)
        # The old target crashes. After reuse_after_s its address goes to a new one.
        if IS_TROUBLED:
            old.end()
            pause(REUSE_AFTER_S + 0.3)
            target = Target(world, "booking", deployment.ip(110), "hall-a")
        else:
            target = old
        pause(1.0)
        first = scene.open_at(target, near, 20)
        if first is None:
            return 2
        background.append(first)
        pause(0.7)
        if IS_TROUBLED:
            target.cut()
            pause(CUT_S)
            target.heal()
        healed_at = now()
        pause(1.5)
        flow = scene.open_at(target, far, 30)
        if flow is None:
            return 2
        for _ in range(3):
            scene.ask(flow)
            pause(0.5)
        answers = flow.answers
        record(f"the flow {flow.source} at {target.name} has {answers} answers")
        # Planned work: the machine that carries the flow is stopped.
        deployment.signal(far, signal.SIGTERM)
        pause(max(1.5, healed_at + CONTACT_S + 0.5 - now()))
        asked_at = now()
        record(f"{asked_at - healed_at:.1f} s after the cut")
        scene.ask(flow)
        wait_until(lambda: flow.result or flow.answers > answers, 2.0)
        result = flow.result or ("answered" if flow.answers > answers else "silence")
        record(f"result of the request on {flow.source}: {result}")
        print(f"{asked_at - healed_at:.1f} s after the cut: {result}; answered before: {answers}")
    finally:
        world.close()
        deployment.close()
    if answers < 3:
        return 2
    return 1 if result == "reset by the system" else 0


def main():
    record = Record("record.txt")
    try:
        return play(record)
    except Exception:  # pylint: disable=broad-except
        record(traceback.format_exc())
        traceback.print_exc()
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
