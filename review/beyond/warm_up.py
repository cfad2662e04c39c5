"""Balancers restart while all targets that may get flows are warming up. They ignore the warm-up rate."""

import json
import os
import signal
import sys
import time
import traceback

from actors2 import Client, Operator, Target, World, wait_until
from deployment2 import Deployment, Record, now

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-a", "hall-b", "hall-c"]
ROUTE = ("198.18.0.1", 8443)
FLOWS_PER_S = 60
WARM_UP_S = 20.0
WARM_UP_PER_S = 2.0
# bounds.warmup_overrun, bounds.warmup_slack and bounds.evacuate_ms of the sites.
OVERRUN, SLACK = 1.5, 5
EVACUATE_S = 5.0
LIMIT = WARM_UP_PER_S * OVERRUN + SLACK


def configuration():
    service = {"name": "feed", "health_check": "/health", "max_conns": 2000, "protocol": "h1", "tls": False,
               "warmup_s": WARM_UP_S, "warmup_per_s": WARM_UP_PER_S}
    route = {"name": "r-1", "host": ROUTE[0], "path_prefix": f"/{ROUTE[1]}/", "type": "idempotent",
             "timeout_ms": 2000, "aim_ms": 120, "priority": 2, "attempts": 2, "service": "feed"}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    return json.dumps({"version": 7, "routes": [route], "services": [service], "limits": limits})


def busiest_second(times):
    """The most of the (sent, arrived) pairs that lie inside one second."""
    most = 0
    for sent, _ in times:
        most = max(most, sum(sent <= one[0] and one[1] <= sent + 1.0 for one in times))
    return most


def play(record):
    deployment = Deployment(ZONES, ["hall-a", "hall-a", "hall-b", "hall-b"], ZONES, record)
    world = World(deployment, record)
    arrivals, began_at, results = [], {}, []

    def on_opening(target, key, at):
        is_cold = at < target.warm_at
        record(f"{target.name} in {target.zone}, {'cold' if is_cold else 'warm'}, took the flow {key[0]}")
        if is_cold:
            arrivals.append((target, key, at))

    def on_result(flow):
        began_at[(flow.source, flow.route)] = flow.began_at
        results.append(flow.result)
        record(f"request {flow.request} of {flow.source}, sent at {flow.began_at - record.started_at:.3f}: "
               f"{flow.result}")

    world.on_opening = on_opening
    world.on_run = lambda target, key, data, at: record(f"{target.name} ran the request of {key[0]}")
    try:
        deployment.start_all()
        world.start()
        clients = [Client(world, deployment.ip(200 + i), zone, on_result) for i, zone in enumerate(ZONES[:2])]
        for client in clients:
            world.add_client(client)
        targets = {zone: [Target(world, "feed", deployment.ip(101 + 10 * i + j), zone) for j in range(2)]
                   for i, zone in enumerate(ZONES[:2])}
        operator = Operator(deployment, record)
        if operator.order("PUT", "/-/config", configuration()) is None or not wait_until(
                lambda: len(world.router.ready()) == 4, 20):
            return 2
        time.sleep(4)
        start = now()
        state = {"sent": 0}

        def traffic_until(seconds):
            while now() < start + seconds:
                if state["sent"] < (now() - start) * FLOWS_PER_S:
                    clients[state["sent"] % 2].request(ROUTE, state["sent"])
                    state["sent"] += 1
                time.sleep(0.003)

        traffic_until(5)
        # hall-a is emptied, its targets are exchanged, and it is taken back with cold ones.
        if operator.order("POST", "/-/evacuate/hall-a") is None:
            return 2
        traffic_until(5 + EVACUATE_S + 1)
        for target in targets["hall-a"]:
            target.end()
        traffic_until(13)
        fresh = [Target(world, "feed", deployment.ip(121 + j), "hall-a", WARM_UP_S) for j in range(2)]
        traffic_until(14)
        if operator.order("DELETE", "/-/evacuate/hall-a") is None:
            return 2
        traffic_until(15)
        # Then hall-b is emptied.
        if operator.order("POST", "/-/evacuate/hall-b") is None:
            return 2
        traffic_until(18)
        if IS_TROUBLED:
            killed = [deployment.balancers[0], deployment.balancers[2]]
            for machine in killed:
                deployment.signal(machine, signal.SIGKILL)
            traffic_until(18.5)
            for machine in killed:
                deployment.start(machine)
        traffic_until(30)
        time.sleep(1.5)
    finally:
        world.close()
        deployment.close()
    worst = 0
    for target in fresh:
        times = [(began_at.get(key, at), at) for one, key, at in arrivals if one is target]
        most = busiest_second(times)
        worst = max(worst, most)
        record(f"cold target {target.name}: {len(times)} flows while cold, {most} in its busiest second; allowed {LIMIT}")
    answered = results.count("answered")
    record(f"{state['sent']} requests sent, {answered} answered")
    print(f"busiest second of a cold target: {worst} flows, allowed {LIMIT}; answered {answered} of {state['sent']}")
    if answered < state["sent"] / 4:
        return 2
    return 1 if worst > LIMIT else 0


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
