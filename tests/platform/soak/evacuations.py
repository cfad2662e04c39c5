"""The operator empties zones and takes them back, and it is judged whether balancers obey.

From the acknowledgement of an evacuation plus EVACUATE until the first call that takes the zone back, no opening
packet may reach a target there from a balancer in touch, whatever happens to processes meanwhile.
"""

import asyncio
import enum

import http_call
from contact import Disturbances
from promises import now

ACKNOWLEDGE_LIMIT = 6.0
EVACUATION_LIMIT = 5.0
# A zone that was not taken back stays so for the rest of a run; the others are left alone then.
RESTORE_TIMEOUT = 30.0
INITIAL_BACKOFF, MAX_BACKOFF = 0.1, 1.0
REJECTION_STATUSES = (400, 404, 405, 409, 412, 413, 422)
# Targets of each service that stay in other zones.
MIN_OTHER_TARGETS = 2


class Outcome(enum.Enum):
    """What became of an order; without an acknowledgement it may be in force or not."""

    ACKNOWLEDGED = 0
    REJECTED = 1
    UNKNOWN = 2


class Evacuations:
    """Orders of one operator, one zone at a time."""

    def __init__(self, world):
        self.world = world
        self.evacuated_since = {}
        self.maybe_evacuated = set()
        self.last_opening = {}
        self.changed_at = 0.0
        self.reported_mismatches = set()

    # Orders.
    async def evacuate(self, zone):
        """True when the order was acknowledged."""
        self.maybe_evacuated.add(zone)
        if await self._order("POST", zone) != Outcome.ACKNOWLEDGED:
            return False
        self.evacuated_since[zone] = self.changed_at = now()
        self.world.checker.counts["evacuations"] += 1
        return True

    async def restore(self, zone):
        """True when the order was acknowledged. From now on openings may reach the zone."""
        self.evacuated_since.pop(zone, None)
        started_at = now()
        outcome = Outcome.UNKNOWN
        while outcome == Outcome.UNKNOWN and now() - started_at < RESTORE_TIMEOUT:
            outcome = await self._order("DELETE", zone)
        if outcome == Outcome.ACKNOWLEDGED:
            self.maybe_evacuated.discard(zone)
            self.changed_at = now()
            self.world.checker.counts["zones taken back"] += 1
        return outcome == Outcome.ACKNOWLEDGED

    async def _order(self, method, zone):
        """Sends an order for the time that is allowed for one."""
        checker, random = self.world.checker, self.world.random
        started_at, pause, responses_lost = now(), INITIAL_BACKOFF, False
        while now() - started_at < ACKNOWLEDGE_LIMIT:
            address = random.choice(self.world.control_addresses())
            lost = random.random() < self.world.operator.response_loss
            responses_lost = responses_lost or lost
            response = await http_call.request_with_redirects(address, method, f"/-/evacuate/{zone}", discard_response=lost)
            if response is not None and 200 <= response[0] < 300:
                return Outcome.ACKNOWLEDGED
            if response is not None and response[0] in REJECTION_STATUSES:
                checker.report("EVAC", f"{method} of {zone} was refused with {response[0]}: {response[2][:200]}")
                return Outcome.REJECTED
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_BACKOFF)
        if self.world.disturbances.was_undisturbed(Disturbances.CORE, started_at) and not responses_lost:
            checker.report("ACK", f"{method} of {zone} has no acknowledgement after {now() - started_at:.1f} s")
        return Outcome.UNKNOWN

    def can_evacuate(self, zone):
        """True when the other zones have enough targets of each service, and no zone is emptied yet."""
        services = {target.service for target in self.world.targets}
        return not self.maybe_evacuated and all(
            sum(t.service == service and t.state == "ready" and t.zone != zone for t in self.world.targets)
            >= MIN_OTHER_TARGETS for service in services)

    # What targets see.
    def on_opening(self, target, machine, at):
        """An opening packet arrived from a balancer at that time."""
        checker = self.world.checker
        self.last_opening[target.zone] = at
        since = self.evacuated_since.get(target.zone)
        if since is None or machine is None or at - since <= EVACUATION_LIMIT:
            return
        checker.counts["openings in emptied zones"] += 1
        if self.world.disturbances.was_undisturbed(machine.name, now()):
            checker.report("EVAC", f"{machine.name} opened a flow at {target.name} in {target.zone}, "
                                     f"{at - since:.1f} s after its evacuation was acknowledged, "
                                     f"{now() - self.world.start_time:.1f} s after the start")

    def on_evacuated_count(self, machine, evacuated_count, asked_at):
        """A balancer says how many zones are emptied."""
        if self.changed_at == 0.0:
            return
        is_unambiguous = set(self.evacuated_since) == self.maybe_evacuated and asked_at - self.changed_at > EVACUATION_LIMIT
        if not is_unambiguous or not self.world.disturbances.was_undisturbed(machine.name, asked_at):
            return
        self.world.checker.counts["figures of emptied zones"] += 1
        mismatch = (machine.name, self.changed_at)
        if evacuated_count != len(self.evacuated_since) and mismatch not in self.reported_mismatches:
            self.reported_mismatches.add(mismatch)
            self.world.checker.report("EVAC", f"{machine.name} says that {evacuated_count} zones are emptied, "
                                                f"{asked_at - self.changed_at:.1f} s after it became "
                                                f"{sorted(self.evacuated_since)}")

    def check_at_end(self, started_at):
        """Zones that were taken back get flows again."""
        for zone in self.world.zones:
            if zone not in self.maybe_evacuated and self.last_opening.get(zone, 0.0) < started_at:
                self.world.checker.report("EVAC", f"{zone} got no flow while nothing was wrong")
