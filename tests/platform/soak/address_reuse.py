"""Targets that share an address in turn: crashes that nobody noticed yet, ends that are announced without draining,
and heartbeats that arrive late.

Draws from a generator of its own, so that the other actions of a seed stay the same. No machine of the system is
disturbed, so rules with a time limit stay in force.
"""

import asyncio
import random

from promises import now
from target import Target

REUSE_DELAY = 2.2
# Shorter and longer than the heartbeat timeout of the system (4 s).
SERVING_TIME = (1.0, 9.0)
PAUSE = (0.5, 3.0)
# Time in which an action ends, with the drain of a target.
LONGEST_ACTION = 18.0


class AddressReuse:
    """Actions on the targets of one deployment."""

    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(f"address reuse {seed}")

    async def run(self, until):
        """Starts overlapping actions, all of which end before `until`."""
        actions = []
        while now() < until - LONGEST_ACTION:
            action = self.random.choice((self.leave_at_reused_address, self.delay_heartbeat))
            print(f"{now() - self.world.began:7.1f} s  {action.__name__}", flush=True)
            actions.append(asyncio.create_task(action()))
            await asyncio.sleep(self.random.uniform(*PAUSE))
        await asyncio.gather(*actions)

    def pick_target(self, generator):
        """Returns a ready target whose service has others outside of evacuated zones."""
        ready = [target for target in self.world.targets if target.state == "ready" and self.has_alternatives(target)]
        return generator.choice(ready) if ready else None

    def has_alternatives(self, target):
        evacuated = self.world.evacuations.maybe_evacuated
        others = [other for other in self.world.targets if other is not target and other.service == target.service
                  and other.state == "ready" and other.zone not in evacuated]
        return len(others) > 2

    async def give_address_on(self, target):
        """Crashes a target, which is replaced elsewhere. Returns the next target at its address, of the other service."""
        self.world.start_target(target.service, target.zone)
        target.end()
        await asyncio.sleep(REUSE_DELAY)
        other_service = "archive" if target.service == "main" else "main"
        return self.world.start_target(other_service, target.zone, target.address)

    async def leave_at_reused_address(self):
        """A target crashes, and one of the other service gets its address and leaves without draining."""
        crashed = self.pick_target(self.random)
        if crashed is None:
            return
        self.world.promises.counts["addresses given on"] += 1
        holder = await self.give_address_on(crashed)
        await asyncio.sleep(self.random.uniform(*SERVING_TIME))
        # Always leaves, as it is one more than its service had in the zone.
        if holder.state == "ready":
            await holder.leave(announce_draining=False)

    async def delay_heartbeat(self):
        """The first heartbeat of a target that crashed earlier arrives after another one got its address."""
        holder = self.pick_target(self.random)
        if holder is None:
            return
        self.world.promises.counts["late heartbeats"] += 1
        crashed = Target(self.world, self.random.choice(("main", "archive")), holder.address, holder.zone)
        await crashed.announce()
        crashed.control.close()
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(*SERVING_TIME))
            if holder.state == "ready":
                self.world.start_target(holder.service, holder.zone)
                await holder.leave(announce_draining=False)
