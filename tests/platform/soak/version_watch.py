"""Reads each balancer's own figures of the version in force and of emptied zones, and how long the newest acknowledged
version is missing.

Stricter than the platform's rule: a balancer that is itself undisturbed must keep up while replicas are killed, frozen or
cut off, too, since a change is acknowledged only where the core works.
"""

import asyncio
import re

import http_call
from promises import APPLY_LIMIT, now

INTERVAL = 0.1
# An answer that takes longer says nothing of what was in force when it was asked for.
RESPONSE_TIMEOUT = 0.5
VERSION_METRIC = "operator_version"
EVACUATED_ZONES_METRIC = "zones_evacuated"


def metric_value(metrics, name):
    """The value of a metric in Prometheus text; None when it is not there."""
    found = re.search(rf"^gorsevalve_{name}(?:\{{[^}}]*\}})? (\S+)", metrics, re.MULTILINE)
    return int(float(found.group(1))) if found else None


class VersionWatch:
    """Watches one balancer."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine
        self.longest_lag = 0.0
        self.reported_version = None

    async def metrics(self):
        response = await http_call.request(f"{self.machine.ip}:{self.world.readiness_port}", "GET", "/metrics",
                                      timeout=RESPONSE_TIMEOUT)
        return response[2] if response is not None and response[0] == 200 else None

    def undisturbed_since(self):
        """Since when nothing was done to this balancer or to all machines; None while something is."""
        return self.world.disturbances.since(self.machine.name, with_core=False)

    async def run_forever(self):
        while True:
            asked_at = now()
            metrics = await self.metrics()
            if metrics is not None and self.world.router.is_in_rotation(self.machine):
                self.check_version(metric_value(metrics, VERSION_METRIC), asked_at)
                self.world.evacuations.on_evacuated_count(self.machine, metric_value(metrics, EVACUATED_ZONES_METRIC), asked_at)
            await asyncio.sleep(INTERVAL * self.world.slowness)

    def check_version(self, applied_version, asked_at):
        if applied_version is None:
            return
        missing = [at for at, version in self.world.checker.acknowledged if version > applied_version]
        undisturbed = self.undisturbed_since()
        if not missing or undisturbed is None:
            return
        lag = asked_at - max(min(missing), undisturbed)
        self.longest_lag = max(self.longest_lag, lag)
        if lag > APPLY_LIMIT and self.reported_version != applied_version:
            self.reported_version = applied_version
            self.world.checker.report("CONFIG", f"{self.machine.name} is behind by {lag:.2f} s with version {applied_version}, "
                                                  f"{now() - self.world.start_time:.1f} s after the start")

