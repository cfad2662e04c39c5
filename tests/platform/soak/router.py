"""The router of the platform: checks readiness and hashes flows over the ready balancers."""

import asyncio
import zlib

import http_call

PROBE_INTERVAL = 0.5
UNHEALTHY_THRESHOLD = 2


class Router:
    """Chooses a balancer for each packet of a client."""

    def __init__(self, world):
        self.world = world
        self.failed_probes = {}

    async def probe_forever(self, machine):
        """Checks the readiness of one balancer until cancelled."""
        self.failed_probes.setdefault(machine.ip, UNHEALTHY_THRESHOLD)
        while True:
            response = await http_call.once(f"{machine.ip}:{self.world.readiness_port}", "GET", "/-/ready",
                                            timeout=PROBE_INTERVAL)
            is_in_rotation = response is not None and response[0] == 200
            self.failed_probes[machine.ip] = 0 if is_in_rotation else self.failed_probes[machine.ip] + 1
            await asyncio.sleep(PROBE_INTERVAL)

    def is_in_rotation(self, machine):
        return self.failed_probes.get(machine.ip, UNHEALTHY_THRESHOLD) < UNHEALTHY_THRESHOLD

    def choose(self, zone, source, destination):
        """Returns the balancer for a flow: rendezvous hashing over ready ones, own zone first."""
        zones = [zone] + [other for other in self.world.zones if other != zone]
        for candidate in zones:
            machines = [m for m in self.world.balancers if m.zone == candidate]
            ready = [m for m in machines if self.is_in_rotation(m)]
            if ready:
                usable = machines if len(ready) * 2 < len(machines) else ready
                break
        else:
            usable = self.world.balancers
        key = f"{source}>{destination}".encode()
        return max(usable, key=lambda m: zlib.crc32(m.ip.encode() + key)).ip if usable else None
