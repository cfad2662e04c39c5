"""Evacuates and restores zones, and checks that balancers comply.

From EVACUATION_LIMIT seconds after an evacuation was acknowledged until the first call to restore
the zone, no undisturbed balancer may open a flow at a target of the zone.
"""

import asyncio
import enum

import http_call
from contact import Disturbances
from promises import now

ACKNOWLEDGE_LIMIT = 6.0
EVACUATION_LIMIT = 5.0
# After this time the zone stays evacuated for the rest of the run, and no other zone is evacuated.
RESTORE_TIMEOUT = 30.0
INITIAL_BACKOFF, MAX_BACKOFF = 0.1, 1.0
REJECTION_STATUSES = (400, 404, 405, 409, 412, 413, 422)
# Targets of each service that must remain in other zones.
MIN_OTHER_TARGETS = 2


class Outcome(enum.Enum):
    """Outcome of a command. When it is UNKNOWN, the command may or may not be effective."""

    ACKNOWLEDGED = 0
    REJECTED = 1
    UNKNOWN = 2


class Evacuations:
    """Evacuation commands of one operator, one zone at a time."""

    def __init__(self, world):
        self.world = world
        self.evacuated_since = {}
        self.maybe_evacuated = set()
        self.last_opening = {}
        self.changed_at = 0.0
        self.reported_mismatches = set()

    # Commands.
    async def evacuate(self, zone):
        """Returns True when the command was acknowledged."""
        self.maybe_evacuated.add(zone)
        if await self._send_command("POST", zone) != Outcome.ACKNOWLEDGED:
            return False
        self.evacuated_since[zone] = self.changed_at = now()
        self.world.promises.counts["evacuations"] += 1
        return True

    async def restore(self, zone):
        """Returns True when acknowledged. Flows are allowed again from the first call on."""
        self.evacuated_since.pop(zone, None)
        started_at = now()
        outcome = Outcome.UNKNOWN
        while outcome == Outcome.UNKNOWN and now() - started_at < RESTORE_TIMEOUT:
            outcome = await self._send_command("DELETE", zone)
        if outcome == Outcome.ACKNOWLEDGED:
            self.maybe_evacuated.discard(zone)
            self.changed_at = now()
            self.world.promises.counts["zones restored"] += 1
        return outcome == Outcome.ACKNOWLEDGED

    async def _send_command(self, method, zone):
        """Sends a command, with retries for up to ACKNOWLEDGE_LIMIT seconds."""
        checker, random = self.world.promises, self.world.random
        started_at, pause, responses_lost = now(), INITIAL_BACKOFF, False
        while now() - started_at < ACKNOWLEDGE_LIMIT:
            address = random.choice(self.world.control_addresses())
            lost = random.random() < self.world.operator.response_loss
            responses_lost = responses_lost or lost
            response = await http_call.following(address, method, f"/-/evacuate/{zone}", answer_is_lost=lost)
            if response is not None and 200 <= response[0] < 300:
                return Outcome.ACKNOWLEDGED
            if response is not None and response[0] in REJECTION_STATUSES:
                checker.report("EVAC", f"{method} of {zone} was rejected with status {response[0]}: "
                                       f"{response[2][:200]}")
                return Outcome.REJECTED
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_BACKOFF)
        if self.world.disturbances.was_undisturbed(Disturbances.CORE, started_at) and not responses_lost:
            checker.report("ACK", f"{method} of {zone} was not acknowledged within {now() - started_at:.1f} s")
        return Outcome.UNKNOWN

    def can_evacuate(self, zone):
        """True when no zone is evacuated and the others have enough targets of each service."""
        services = {target.service for target in self.world.targets}
        return not self.maybe_evacuated and all(
            sum(t.service == service and t.state == "ready" and t.zone != zone for t in self.world.targets)
            >= MIN_OTHER_TARGETS for service in services)

    # Checks of what targets and balancers report.
    def on_opening(self, target, machine, at):
        """Checks a SYN that a target received from a balancer."""
        checker = self.world.promises
        self.last_opening[target.zone] = at
        since = self.evacuated_since.get(target.zone)
        if since is None or machine is None or at - since <= EVACUATION_LIMIT:
            return
        checker.counts["openings in evacuated zones"] += 1
        if self.world.disturbances.was_undisturbed(machine.name, now()):
            checker.report("EVAC", f"{machine.name} opened a flow at {target.name} in {target.zone}, "
                                   f"{at - since:.1f} s after its evacuation was acknowledged, "
                                   f"{now() - self.world.began:.1f} s after the start")

    def on_evacuated_count(self, machine, evacuated_count, asked_at):
        """Checks the number of evacuated zones in a balancer's metrics."""
        if self.changed_at == 0.0:
            return
        is_known = set(self.evacuated_since) == self.maybe_evacuated and asked_at - self.changed_at > EVACUATION_LIMIT
        if not is_known or not self.world.disturbances.was_undisturbed(machine.name, asked_at):
            return
        self.world.promises.counts["checks of zones_evacuated"] += 1
        mismatch = (machine.name, self.changed_at)
        if evacuated_count != len(self.evacuated_since) and mismatch not in self.reported_mismatches:
            self.reported_mismatches.add(mismatch)
            self.world.promises.report("EVAC", f"{machine.name} reports {evacuated_count} evacuated zones "
                                               f"{asked_at - self.changed_at:.1f} s after the last command; expected: "
                                               f"{sorted(self.evacuated_since)}")

    def check_at_end(self, started_at):
        """Zones that are not evacuated must have received flows."""
        for zone in self.world.zones:
            if zone not in self.maybe_evacuated and self.last_opening.get(zone, 0.0) < started_at:
                self.world.promises.report("EVAC", f"{zone} got no flow although no fault was active")
