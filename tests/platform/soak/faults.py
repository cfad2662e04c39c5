"""Planned changes and injected faults for a running deployment. Each action reverts its effect."""

import asyncio
import contextlib

from link_faults import LinkFaults
from machine import STOP_TIME
from promises import now

ADDRESS_REUSE_DELAY = 2.0
CATCH_UP_TIME = 4.0


class Faults(LinkFaults):
    """Actions on one deployment, each a coroutine without arguments."""

    def planned(self):
        return [self.roll_balancers, self.stop_control, self.change_configuration, self.storm,
                self.storm_from_several, self.race, self.lost_answers, self.invalid_configuration, self.release,
                self.leave_without_notice, self.new_settings]

    def unplanned(self):
        return [self.kill_balancer, self.freeze_balancer, self.kill_control, self.freeze_control,
                self.kill_all_controls, self.kill_everything, self.wipe_control, self.replace_control,
                self.cut_control, self.cut_control_one_way, self.cut_balancer, self.cut_balancer_one_way,
                self.cut_zone, self.narrow_link, self.delay_messages, self.reset_connections,
                self.silence_connections, self.lose_packets, self.fill_disk, self.crash_target,
                self.reuse_address, self.slow_target]

    def zone_actions(self):
        """Two concurrent streams of actions for --zones: isolated zones, and all other faults."""
        return [[self.cut_zone],
                [self.narrow_link, self.kill_balancer, self.freeze_balancer, self.kill_control, self.freeze_control,
                 self.kill_all_controls, self.kill_everything, self.cut_control, self.cut_balancer_one_way,
                 self.reset_connections, self.crash_target, self.slow_target]]

    def storm_faults(self):
        """Faults for --storm, one at a time during a burst of configuration changes."""
        return [self.kill_control, self.kill_control, self.freeze_control, self.kill_balancer,
                self.cut_balancer, self.cut_balancer_one_way, self.reset_connections,
                self.silence_connections, self.cut_control, self.cut_control_one_way]

    # Machines.
    @contextlib.asynccontextmanager
    async def locked(self, machine):
        """Locks a machine against other actions. Yields False when it has been replaced."""
        async with machine.lock:
            yield machine in self.world.machines

    async def restart(self, machine, downtime):
        async with self.locked(machine) as is_current:
            if is_current:
                machine.kill()
                await asyncio.sleep(downtime)
                machine.start()

    async def kill_balancer(self):
        await self.restart(self.random.choice(self.world.balancers), self.random.uniform(0.1, 3))

    async def kill_control(self):
        await self.restart(self.random.choice(self.world.controls), self.random.uniform(0.1, 3))

    async def kill_all_controls(self):
        await asyncio.gather(*(self.restart(m, self.random.uniform(0.1, 0.8)) for m in self.world.controls))

    async def kill_everything(self):
        await asyncio.gather(*(self.restart(m, self.random.uniform(0.1, 0.8)) for m in self.world.machines))

    async def freeze(self, machine):
        async with self.locked(machine):
            machine.freeze()
            await asyncio.sleep(self.random.uniform(0.5, 5))
            machine.thaw()

    async def freeze_balancer(self):
        await self.freeze(self.random.choice(self.world.balancers))

    async def freeze_control(self):
        await self.freeze(self.random.choice(self.world.controls))

    async def stop(self, machine):
        """Stops a machine as planned and starts it again."""
        async with self.locked(machine) as is_current:
            if not is_current:
                return
            machine.terminate()
            started_at = now()
            while machine.is_running and now() - started_at < STOP_TIME:
                await asyncio.sleep(0.05)
            if machine.is_running:
                self.world.promises.report("FAULT", f"{machine.name} did not stop within {STOP_TIME} s")
            machine.kill()
            machine.start()

    async def roll_balancers(self):
        for machine in self.random.sample(self.world.balancers, 2):
            await self.stop(machine)
            await asyncio.sleep(1.5)

    async def stop_control(self):
        await self.stop(self.random.choice(self.world.controls))

    async def wipe_control(self):
        """Deletes the disk of one replica, only when all others have caught up."""
        async with self.control_lock:
            if await self.world.wait_control_ready(10):
                machine = self.random.choice(self.world.controls)
                async with self.locked(machine):
                    machine.kill()
                    machine.lose_disk()
                    await asyncio.sleep(self.random.uniform(0.1, 2))
                    machine.start()
                await self.world.wait_control_ready(20)
                await asyncio.sleep(CATCH_UP_TIME)

    async def replace_control(self):
        """Replaces a replica by an empty one at another address, and updates all seeds."""
        async with self.control_lock:
            if not await self.world.wait_control_ready(10):
                return
            old = self.random.choice(self.world.controls)
            new = self.world.make_control(old.zone)
            async with self.locked(old), self.locked(new):
                old.kill()
                self.world.controls[self.world.controls.index(old)] = new
                await asyncio.sleep(self.random.uniform(0.5, 2))
                new.start()
            await self.new_settings()
            await self.world.wait_control_ready(20)
            await asyncio.sleep(CATCH_UP_TIME)

    async def lose_all_disks(self):
        """Exceeds the fault model, to verify that the checks detect violations."""
        for machine in self.world.machines:
            machine.kill()
        for machine in self.world.controls:
            machine.lose_disk()
        for machine in self.world.machines:
            machine.start(first_start=True)

    async def new_settings(self):
        for machine in self.world.machines:
            machine.reload_settings()
            await asyncio.sleep(0.02)

    async def fill_disk(self):
        machine = self.random.choice(self.world.controls)
        async with self.locked(machine):
            machine.fill_disk()
            await asyncio.sleep(self.random.uniform(1, 5))
            machine.free_disk()

    # Configuration.
    async def change_configuration(self):
        self.world.operator.change()
        await self.world.operator.submit()

    async def storm(self):
        for _ in range(6):
            await self.change_configuration()
            await asyncio.sleep(0.2)

    async def storm_from_several(self):
        """Several senders submit configurations concurrently for some seconds."""
        await self.world.operator.storm_from_several(now() + self.random.uniform(4, 10))

    async def race(self):
        """Submits two versions concurrently; the higher one must win."""
        operator = self.world.operator
        operator.change()
        first = asyncio.create_task(operator.submit())
        await asyncio.sleep(0)
        operator.change()
        await asyncio.gather(first, operator.submit())

    async def lost_answers(self):
        self.world.operator.response_loss = 0.7
        await self.change_configuration()
        await self.change_configuration()
        self.world.operator.response_loss = 0.0

    async def invalid_configuration(self):
        await self.world.operator.submit_invalid()

    # Targets.
    def pick_target(self):
        ready = [t for t in self.world.targets if t.state == "ready" and self.has_alternatives(t)]
        return self.random.choice(ready) if ready else None

    def has_alternatives(self, target):
        evacuated = self.world.evacuations.maybe_evacuated
        return sum(t.service == target.service and t.state == "ready" and t.zone not in evacuated
                   for t in self.world.targets) > 2

    async def release(self, announce_draining=True):
        """Starts a new target, then stops an old one of the same service and zone."""
        old = self.pick_target()
        if old is not None:
            self.world.start_target(old.service, old.zone)
            await asyncio.sleep(0.5)
            await old.leave(announce_draining)

    async def leave_without_notice(self):
        await self.release(announce_draining=False)

    async def crash_target(self):
        old = self.pick_target()
        if old is not None:
            old.end()
            await asyncio.sleep(1)
            self.world.start_target(old.service, old.zone)

    async def reuse_address(self):
        """Stops a target and starts one of the other service at its address."""
        old = self.pick_target()
        if old is None:
            return
        self.world.start_target(old.service, old.zone)
        if self.random.random() < 0.5:
            await old.leave()
        else:
            old.end()
        await asyncio.sleep(ADDRESS_REUSE_DELAY)
        other = "archive" if old.service == "main" else "main"
        self.world.start_target(other, old.zone, old.address)

    async def slow_target(self):
        target = self.pick_target()
        if target is not None:
            target.slowness = 5
            await self.wait_random_time()
            target.slowness = 1
