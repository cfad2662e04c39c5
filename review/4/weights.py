"""A configuration gives the old service of each route the weight 0. New flows still go to it."""

import json
import os
import sys
import time
import traceback

from actors2 import Client, Operator, Target, World, wait_until
from deployment2 import Deployment, Record, now

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-a", "hall-b", "hall-c"]
ROUTES = [(f"127.18.0.{number}", 8443) for number in range(1, 7)]
FLOWS_PER_S = 20
# bounds.config_apply_ms and bounds.contact_ms of the sites, in seconds.
CONFIG_APPLY_S = 3.0
CONTACT_S = 4.0
BEFORE_S = 15.0
AFTER_S = 20.0


def configuration(version, old_weight, new_weight):
    services = [{"name": name, "health_check": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
                for name in ("feed-old", "feed-new")]
    routes = [{"name": f"r-{number}", "host": host, "path_prefix": f"/{port}/", "type": "idempotent",
               "timeout_ms": 2000, "aim_ms": 120, "priority": 2, "attempts": 2,
               "backends": [{"service": "feed-old", "weight": old_weight},
                            {"service": "feed-new", "weight": new_weight}]}
              for number, (host, port) in enumerate(ROUTES)]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    return json.dumps({"version": version, "routes": routes, "services": services, "limits": limits})


def play(record):
    deployment = Deployment(ZONES, ZONES, ZONES, record)
    world = World(deployment, record)
    opened, ended = [], []
    began_at = {}

    def on_opening(target, key, at):
        record(f"{target.name} of {target.service} took the flow {key[0]} to {key[1]}")
        opened.append((key, target.service))

    def on_result(flow):
        began_at[(flow.source, flow.route)] = flow.began_at
        ended.append(flow)
        record(f"request {flow.request} of {flow.source} to {flow.route}, sent at "
               f"{flow.began_at - record.started_at:.3f}: {flow.result}")

    world.on_opening = on_opening
    world.on_run = lambda target, key, data, at: record(
        f"{target.name} of {target.service} ran {data.split(b'Request-Id: ')[1].split()[0].decode()}")
    try:
        deployment.start_all()
        world.start()
        clients = [Client(world, deployment.ip(200 + i), zone, on_result) for i, zone in enumerate(ZONES)]
        for client in clients:
            world.add_client(client)
        for number, service in enumerate(["feed-old"] * 3 + ["feed-new"] * 3):
            Target(world, service, deployment.ip(101 + number), ZONES[number % 3])
        operator = Operator(deployment, record)
        # The configuration of the end is in force from the start if nothing is to be disturbed.
        first = configuration(7, 90, 10) if IS_TROUBLED else configuration(7, 0, 1)
        if operator.order("PUT", "/-/config", first) is None or not wait_until(
                lambda: len(world.router.ready()) == len(ZONES), 20):
            return 2
        acknowledged_at = now()
        time.sleep(CONTACT_S)
        start, sent = now(), 0
        is_changed = not IS_TROUBLED
        while now() < start + BEFORE_S + AFTER_S:
            if not is_changed and now() >= start + BEFORE_S:
                acknowledged_at = operator.order("PUT", "/-/config", configuration(9, 0, 1))
                if acknowledged_at is None:
                    return 2
                is_changed = True
            if sent < (now() - start) * FLOWS_PER_S:
                clients[sent % 3].request(ROUTES[deployment.random.randrange(len(ROUTES))], sent)
                sent += 1
            time.sleep(0.005)
        time.sleep(2.5)
    finally:
        world.close()
        deployment.close()
    judged_from = acknowledged_at + CONFIG_APPLY_S
    judged = [(key, service) for key, service in opened if began_at.get(key, 0) > judged_from]
    wrong = [one for one in judged if one[1] == "feed-old"]
    answered = sum(flow.result == "answered" for flow in ended)
    record(f"{sent} requests sent, {answered} answered")
    record(f"flows sent more than {CONFIG_APPLY_S} s after the acknowledgement: {len(judged)}; of these at the "
           f"service with weight 0: {len(wrong)}")
    print(f"judged {len(judged)}, at the service with weight 0: {len(wrong)}; answered {answered} of {sent}")
    if len(judged) < 100 or answered < 0.9 * sent:
        return 2
    return 1 if wrong else 0


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
