"""Single targets that are cut off from all machines for a while, at addresses that a crashed target had before.

Draws from a generator of its own, so that the other actions of a seed stay the same. Nothing else is disturbed:
rules with a time limit stay in force, but for flows of the target itself until some time after the cut.
"""

import asyncio
import random

from promises import SETTLE_TIME, now

SERVING_TIME = (0.5, 3.0)
# Shorter and longer than the heartbeat timeout of the system (4 s).
CUT_TIME = (1.0, 6.0)
SECOND_CUT_TIME = (0.5, 2.0)
SECOND_CUT_SHARE = 0.3
PAUSE = (0.5, 3.0)
# Time in which an action ends, with the drain of the target.
LONGEST_ACTION = 26.0


class TargetCuts:
    """Actions on additional targets of one deployment."""

    def __init__(self, world, address_reuse, seed):
        self.world = world
        self.address_reuse = address_reuse
        self.random = random.Random(f"target cuts {seed}")

    async def run(self, until):
        """Starts overlapping actions, all of which end before `until`."""
        actions = []
        while now() < until - LONGEST_ACTION:
            print(f"{now() - self.world.began:7.1f} s  cut_at_reused_address", flush=True)
            actions.append(asyncio.create_task(self.cut_at_reused_address()))
            await asyncio.sleep(self.random.uniform(*PAUSE))
        await asyncio.gather(*actions)

    async def cut_at_reused_address(self):
        """A target crashes. The next one at its address is cut off once or twice, serves again, and leaves."""
        crashed = self.address_reuse.pick_target(self.random)
        if crashed is None:
            return
        holder = await self.address_reuse.give_address_on(crashed)
        await asyncio.sleep(self.random.uniform(*SERVING_TIME))
        await self.cut(holder, self.random.uniform(*CUT_TIME))
        if self.random.random() < SECOND_CUT_SHARE:
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await self.cut(holder, self.random.uniform(*SECOND_CUT_TIME))
        await asyncio.sleep(SETTLE_TIME + self.random.uniform(*SERVING_TIME))
        if holder.is_running and holder.state == "ready":
            await holder.leave()

    async def cut(self, target, seconds):
        if not target.is_running or target.state != "ready":
            return
        self.world.promises.counts["targets cut off"] += 1
        target.begin_cut()
        await asyncio.sleep(seconds)
        target.end_cut()
