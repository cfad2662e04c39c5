"""The operator: submits configurations, drops some responses, reads the configuration back."""

import asyncio
import json
import random

import http_call
from caller import FEED
from promises import APPLY_LIMIT, now

SERVICES = ("main", "archive")
EXTRA_HOST = "198.18.0.1"
FIRST_EXTRA_ROUTE = 5000
FIRST_WEIGHTS = {"main": 90, "archive": 10}
# A service of weight 0 gets no new flow.
WEIGHTS = ({"main": 90, "archive": 10}, {"main": 0, "archive": 1}, {"main": 1, "archive": 0},
           {"main": 10, "archive": 90}, {"archive": 9000, "main": 1000})


def frontend_text(frontend):
    return frontend[0], f"/{frontend[1]}/"


class Operator:
    """Submits configurations with increasing versions."""

    def __init__(self, world):
        self.world = world
        self.version = 0
        self.extra_routes = []
        self.all_extra_routes = []
        self.response_loss = 0.0
        self.route_counter = 0
        self.weights = FIRST_WEIGHTS
        # Of its own, so that the other actions of a seed stay the same.
        self.weights_random = random.Random(f"weights {world.seed}")

    def routes(self):
        """Returns the services that each frontend may use."""
        weighted = {name for name, weight in self.weights.items() if weight > 0}
        routes = {frontend: weighted if len(services) > 1 else services
                  for frontend, (_, services) in self.world.frontends.items()}
        routes.update({frontend: {"archive"} for frontend in self.extra_routes})
        return routes

    def kind_of(self, frontend):
        """Returns the request kind of a frontend; routes that are added during the run use FEED."""
        kind, _ = self.world.frontends.get(frontend, (FEED, None))
        return kind

    def is_weighted(self, frontend):
        return len(self.world.frontends.get(frontend, (None, ()))[1]) > 1

    def body(self, version):
        routes = []
        for frontend, services in self.routes().items():
            host, prefix = frontend_text(frontend)
            kind = self.kind_of(frontend)
            route = {"name": f"r-{frontend[1]}", "host": host, "path_prefix": prefix, "type": kind.route_class,
                     "timeout_ms": int(kind.deadline * 1000), "aim_ms": int(kind.aim * 1000),
                     "priority": kind.priority, "attempts": 1}
            if self.is_weighted(frontend):
                route["backends"] = [{"service": name, "weight": weight} for name, weight in self.weights.items()]
            else:
                route["service"] = next(iter(services))
            routes.append(route)
        services = [{"name": name, "health_check": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
                    for name in SERVICES]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        return json.dumps({"version": version, "routes": routes, "services": services, "limits": limits})

    def change(self):
        """Changes the extra routes and the weights, and increases the version."""
        self.version += self.world.random.randint(1, 3)
        self.route_counter += 1
        self.extra_routes = self.extra_routes[1:] if len(self.extra_routes) > 3 else self.extra_routes
        added = (EXTRA_HOST, FIRST_EXTRA_ROUTE + self.route_counter)
        self.extra_routes = self.extra_routes + [added]
        self.weights = self.weights_random.choice(WEIGHTS)
        self.all_extra_routes.append(added)

    def recent_routes(self, count):
        """Returns the routes that were added last; some may have been removed since."""
        return self.all_extra_routes[-count:]

    async def submit(self, time_limit=30.0):
        """Sends the current configuration, with retries. Returns True when it was acknowledged."""
        version, body = self.version, self.body(self.version)
        self.world.promises.on_sent(version, self.routes())
        started_at, pause = now(), 0.1
        while now() - started_at < time_limit:
            address = self.world.random.choice(self.world.control_addresses())
            lost = self.world.random.random() < self.response_loss
            response = await http_call.following(address, "PUT", "/-/config", body, answer_is_lost=lost)
            if response is not None and response[0] == 200:
                self.world.promises.on_acknowledged(version)
                return True
            if response is not None and response[0] in (400, 409, 412, 413, 422):
                self.world.promises.report("CONFIG", f"version {version} was rejected with status {response[0]}")
                return False
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.0)
        return False

    async def storm_from_several(self, until, senders=3):
        """Several concurrent senders submit changes; some responses are dropped."""
        self.response_loss = 0.2
        await asyncio.gather(*(self.send_changes(until, 1.0) for _ in range(senders)))
        self.response_loss = 0.0

    async def send_changes(self, until, longest_pause):
        """Submits one change after the other, with short pauses."""
        while now() < until:
            self.change()
            await self.submit()
            await asyncio.sleep(self.world.random.uniform(0.1, longest_pause))

    async def submit_invalid(self):
        """Submits invalid configurations, which must not be acknowledged."""
        text = self.body(self.version + 1)
        for body in (text[:len(text) // 2], text.replace('"service": "archive"', '"service": "nobody"')):
            for address in self.world.control_addresses():
                response = await http_call.following(address, "PUT", "/-/config", body)
                if response is not None and response[0] == 200:
                    self.world.promises.report("CONFIG", "an invalid configuration was acknowledged")

    async def read(self, address):
        """Returns the version that a node reports; None when it does not reply."""
        sent_at = now()
        response = await http_call.following(address, "GET", "/-/config")
        if response is None or response[0] != 200:
            return None
        config = json.loads(response[2])
        routes = {}
        for route in config["routes"]:
            frontend = (route["host"], int(route["path_prefix"].strip("/")))
            parts = {part["service"] for part in route.get("backends", []) if part["weight"] > 0}
            routes[frontend] = parts or {route["service"]}
        self.world.promises.on_read(sent_at, config["version"], routes)
        return config["version"]

    async def read_forever(self):
        while True:
            await self.read(self.world.random.choice(self.world.control_addresses()))
            await asyncio.sleep(0.7)

    async def read_at_end(self, time_limit):
        """Checks that some node returns the newest acknowledged version at the end."""
        started_at = now()
        while now() - started_at < time_limit:
            for address in self.world.control_addresses():
                version = await self.read(address)
                if version is not None and version >= self.world.promises.acknowledged_before(now() - APPLY_LIMIT):
                    return
            await asyncio.sleep(0.3)
        self.world.promises.report("CONFIG", "no node returned the newest acknowledged version at the end")
