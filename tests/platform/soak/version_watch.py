"""Reads the applied configuration version and the evacuated zones from the metrics of each
balancer, and checks how long each one lags behind the newest acknowledged version.

Stricter than the rule of the platform: an undisturbed balancer must keep up even while replicas are
disturbed, because a change is acknowledged only by a working majority.
"""

import asyncio
import re

import http_call
from promises import APPLY_LIMIT, now

INTERVAL = 0.1
# A slower response does not show which version was applied at the time of the request.
RESPONSE_TIMEOUT = 0.5
VERSION_METRIC = "operator_version"
EVACUATED_ZONES_METRIC = "zones_evacuated"


def metric_value(metrics, name):
    """Returns the value of a metric in Prometheus text format; None when it is missing."""
    found = re.search(rf"^gorsevalve_{name}(?:\{{[^}}]*\}})? (\S+)", metrics, re.MULTILINE)
    return int(float(found.group(1))) if found else None


class VersionWatch:
    """Polls the metrics of one balancer."""

    def __init__(self, world, machine):
        self.world = world
        self.machine = machine
        self.longest_lag = 0.0
        self.reported_version = None

    async def metrics(self):
        response = await http_call.once(f"{self.machine.ip}:{self.world.readiness_port}", "GET", "/metrics",
                                        timeout=RESPONSE_TIMEOUT)
        return response[2] if response is not None and response[0] == 200 else None

    def undisturbed_since(self):
        """Time since which this balancer is undisturbed, without regard to the core."""
        return self.world.disturbances.since(self.machine.name, with_core=False)

    async def run_forever(self):
        while True:
            asked_at = now()
            metrics = await self.metrics()
            if metrics is not None and self.world.router.is_in_rotation(self.machine):
                self.check_version(metric_value(metrics, VERSION_METRIC), asked_at)
                self.world.evacuations.on_evacuated_count(
                    self.machine, metric_value(metrics, EVACUATED_ZONES_METRIC), asked_at)
            await asyncio.sleep(INTERVAL * self.world.interval_factor)

    def check_version(self, applied_version, asked_at):
        if applied_version is None:
            return
        missing = [at for at, version in self.world.promises.acknowledged if version > applied_version]
        undisturbed = self.undisturbed_since()
        if not missing or undisturbed is None:
            return
        lag = asked_at - max(min(missing), undisturbed)
        self.longest_lag = max(self.longest_lag, lag)
        if lag > APPLY_LIMIT and self.reported_version != applied_version:
            self.reported_version = applied_version
            self.world.promises.report("CONFIG", f"{self.machine.name} lags by {lag:.2f} s with version "
                                                 f"{applied_version}, {now() - self.world.began:.1f} s after the start")

