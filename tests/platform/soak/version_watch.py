"""Reads each balancer's own figures of the version in force and of emptied zones, and how long the newest acknowledged
version is missing.

Stricter than the platform's rule: a balancer that is itself undisturbed must keep up while replicas are killed, frozen or
cut off, too, since a change is acknowledged only where the core works.
"""

import asyncio
import re

import http_call
from promises import APPLY, now

INTERVAL = 0.1
# An answer that takes longer says nothing of what was in force when it was asked for.
ANSWER_TIMEOUT = 0.5
VERSION = "operator_version"
EMPTIED_ZONES = "zones_evacuated"


def figure(metrics, name):
    """The value of a metric in Prometheus text; None when it is not there."""
    found = re.search(rf"^gorsevalve_{name}(?:\{{[^}}]*\}})? (\S+)", metrics, re.MULTILINE)
    return int(float(found.group(1))) if found else None


class VersionWatch:
    """Watches one balancer."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine
        self.longest = 0.0
        self.told_held = None

    async def metrics(self):
        answer = await http_call.once(f"{self.machine.ip}:{self.world.readiness_port}", "GET", "/metrics",
                                      timeout=ANSWER_TIMEOUT)
        return answer[2] if answer is not None and answer[0] == 200 else None

    def undisturbed_since(self):
        """Since when nothing was done to this balancer or to all machines; None while something is."""
        return self.world.contact.since(self.machine.name, with_core=False)

    async def run_forever(self):
        while True:
            asked_at = now()
            metrics = await self.metrics()
            if metrics is not None and self.world.router.is_in(self.machine):
                self.judge(figure(metrics, VERSION), asked_at)
                self.world.evacuations.on_figure(self.machine, figure(metrics, EMPTIED_ZONES), asked_at)
            await asyncio.sleep(INTERVAL * self.world.slowness)

    def judge(self, held, asked_at):
        if held is None:
            return
        missing = [at for at, version in self.world.promises.acknowledged if version > held]
        undisturbed = self.undisturbed_since()
        if not missing or undisturbed is None:
            return
        behind = asked_at - max(min(missing), undisturbed)
        self.longest = max(self.longest, behind)
        if behind > APPLY and self.told_held != held:
            self.told_held = held
            self.world.promises.violate("CONFIG", f"{self.machine.name} is behind by {behind:.2f} s with version {held}, "
                                                  f"{now() - self.world.began:.1f} s after the start")

