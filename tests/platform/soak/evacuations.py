"""The operator empties zones and takes them back, and it is judged whether balancers obey.

From the acknowledgement of an evacuation plus EVACUATE until the first call that takes the zone back, no opening
packet may reach a target there from a balancer in touch, whatever happens to processes meanwhile.
"""

import asyncio
import enum

import http_call
from contact import Contact
from promises import now

ACKNOWLEDGE = 6.0
EVACUATE = 5.0
# A zone that was not taken back stays so for the rest of a run; the others are left alone then.
RESTORE_PATIENCE = 30.0
FIRST_PAUSE, LAST_PAUSE = 0.1, 1.0
REFUSALS = (400, 404, 405, 409, 412, 413, 422)
# Targets of each service that stay in other zones.
SPARE_TARGETS = 2


class Outcome(enum.Enum):
    """What became of an order; without an acknowledgement it may be in force or not."""

    ACKNOWLEDGED = 0
    REFUSED = 1
    UNKNOWN = 2


class Evacuations:
    """Orders of one operator, one zone at a time."""

    def __init__(self, world):
        self.world = world
        self.in_force = {}
        self.perhaps = set()
        self.last_opening = {}
        self.changed_at = 0.0
        self.told_figures = set()

    # Orders.
    async def evacuate(self, zone):
        """True when the order was acknowledged."""
        self.perhaps.add(zone)
        if await self._order("POST", zone) != Outcome.ACKNOWLEDGED:
            return False
        self.in_force[zone] = self.changed_at = now()
        self.world.promises.counts["evacuations"] += 1
        return True

    async def restore(self, zone):
        """True when the order was acknowledged. From now on openings may reach the zone."""
        self.in_force.pop(zone, None)
        begun = now()
        outcome = Outcome.UNKNOWN
        while outcome == Outcome.UNKNOWN and now() - begun < RESTORE_PATIENCE:
            outcome = await self._order("DELETE", zone)
        if outcome == Outcome.ACKNOWLEDGED:
            self.perhaps.discard(zone)
            self.changed_at = now()
            self.world.promises.counts["zones taken back"] += 1
        return outcome == Outcome.ACKNOWLEDGED

    async def _order(self, method, zone):
        """Sends an order for the time that is allowed for one."""
        promises, random = self.world.promises, self.world.random
        begun, pause, answers_lost = now(), FIRST_PAUSE, False
        while now() - begun < ACKNOWLEDGE:
            address = random.choice(self.world.control_addresses())
            lost = random.random() < self.world.operator.loses_answers
            answers_lost = answers_lost or lost
            answer = await http_call.following(address, method, f"/-/evacuate/{zone}", answer_is_lost=lost)
            if answer is not None and 200 <= answer[0] < 300:
                return Outcome.ACKNOWLEDGED
            if answer is not None and answer[0] in REFUSALS:
                promises.violate("EVAC", f"{method} of {zone} was refused with {answer[0]}: {answer[2][:200]}")
                return Outcome.REFUSED
            await asyncio.sleep(pause)
            pause = min(2 * pause, LAST_PAUSE)
        if self.world.contact.is_in_touch(Contact.CORE, begun) and not answers_lost:
            promises.violate("ACK", f"{method} of {zone} has no acknowledgement after {now() - begun:.1f} s")
        return Outcome.UNKNOWN

    def can_spare(self, zone):
        """True when the other zones have enough targets of each service, and no zone is emptied yet."""
        services = {target.service for target in self.world.targets}
        return not self.perhaps and all(
            sum(t.service == service and t.state == "ready" and t.zone != zone for t in self.world.targets)
            >= SPARE_TARGETS for service in services)

    # What targets see.
    def on_opening(self, target, machine, at):
        """An opening packet arrived from a balancer at that time."""
        promises = self.world.promises
        self.last_opening[target.zone] = at
        since = self.in_force.get(target.zone)
        if since is None or machine is None or at - since <= EVACUATE:
            return
        promises.counts["openings in emptied zones"] += 1
        if self.world.contact.is_in_touch(machine.name, now()):
            promises.violate("EVAC", f"{machine.name} opened a flow at {target.name} in {target.zone}, "
                                     f"{at - since:.1f} s after its evacuation was acknowledged, "
                                     f"{now() - self.world.began:.1f} s after the start")

    def on_figure(self, machine, emptied_zones, asked_at):
        """A balancer says how many zones are emptied."""
        if self.changed_at == 0.0:
            return
        is_settled = set(self.in_force) == self.perhaps and asked_at - self.changed_at > EVACUATE
        if not is_settled or not self.world.contact.is_in_touch(machine.name, asked_at):
            return
        self.world.promises.counts["figures of emptied zones"] += 1
        told = (machine.name, self.changed_at)
        if emptied_zones != len(self.in_force) and told not in self.told_figures:
            self.told_figures.add(told)
            self.world.promises.violate("EVAC", f"{machine.name} says that {emptied_zones} zones are emptied, "
                                                f"{asked_at - self.changed_at:.1f} s after it became "
                                                f"{sorted(self.in_force)}")

    def check_at_end(self, begun):
        """Zones that were taken back get flows again."""
        for zone in self.world.zones:
            if zone not in self.perhaps and self.last_opening.get(zone, 0.0) < begun:
                self.world.promises.violate("EVAC", f"{zone} got no flow while nothing was wrong")
