#!/usr/bin/env python3
"""Runs the platform programs as real processes under randomly injected faults, and checks the rules
of the platform as clients, targets and the operator observe them.

    tests/platform/soak/soak.py --runs 4 --seconds 40   # random seeds
    tests/platform/soak/soak.py --seed 17               # one seed
    tests/platform/soak/soak.py --planned               # planned changes only: no request may fail
    tests/platform/soak/soak.py --storm                 # bursts of changes, one fault at a time
    tests/platform/soak/soak.py --zones                 # evacuations, isolated zones, other faults
    tests/platform/soak/soak.py --known                 # the seeds in known_seeds.txt

Needs about 10 processes and 100 MB with two balancers per zone.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import sys

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent.parent
sys.path[:0] = [str(HERE), str(ROOT / "scripts")]

from fault_proxy import FaultProxy  # noqa: E402  (the path must be set first)
from address_reuse import AddressReuse  # noqa: E402
from caller import REQUEST_KINDS  # noqa: E402
from evacuations import EVACUATION_LIMIT  # noqa: E402
from faults import Faults  # noqa: E402
from promises import now  # noqa: E402
from target_cuts import TargetCuts  # noqa: E402
from world import World  # noqa: E402

RECOVERY_TIME = 12.0
CHECK_TIME = 4.0
WARM_UP_TIME = 5.0
SHORT_PAUSE = 2.0
# Longer than SETTLE_TIME, so that rules with a time limit are checked as well.
LONG_PAUSE = 7.0
LONG_PAUSE_SHARE = 0.2
# With --storm: the pause after each fault, longer than SETTLE_TIME.
STORM_PAUSE = 7.0
FIRST_NETWORK = 100
EVACUATION_PAUSE = 4.0
LONGEST_EVACUATION = 14.0
# Share of runs in which the last evacuation lasts until the end.
FINAL_EVACUATION_SHARE = 0.5


async def run_actions(world, faults, actions, until):
    """Runs random actions one after the other, with pauses."""
    while now() < until:
        action = world.random.choice([action for action in actions if action.__name__ not in world.excluded_actions])
        print(f"{now() - world.began:7.1f} s  {action.__name__}", flush=True)
        planned = action in faults.planned()
        if not planned:
            world.promises.begin_fault()
        try:
            await action()
        finally:
            if not planned:
                world.promises.end_fault()
        is_long = world.random.random() < LONG_PAUSE_SHARE
        await asyncio.sleep(LONG_PAUSE if is_long else world.random.uniform(0.1, SHORT_PAUSE))


async def run_faults(world, faults, until):
    """Injects one fault after the other, with pauses in which the system settles."""
    while now() < until - STORM_PAUSE:
        action = world.random.choice(faults.storm_faults())
        print(f"{now() - world.began:7.1f} s  {action.__name__}", flush=True)
        world.promises.begin_fault()
        await action()
        await asyncio.sleep(STORM_PAUSE)
        world.promises.end_fault()


async def run_evacuations(world, until):
    """Evacuates and restores random zones. The last evacuation may last until the end."""
    evacuations = world.evacuations
    while now() < until and "evacuations" not in world.excluded_actions:
        await asyncio.sleep(world.random.uniform(0.5, EVACUATION_PAUSE))
        zone = world.random.choice(world.zones)
        if not evacuations.can_evacuate(zone):
            continue
        print(f"{now() - world.began:7.1f} s  evacuation of {zone}", flush=True)
        await evacuations.evacuate(zone)
        duration = world.random.uniform(EVACUATION_LIMIT, LONGEST_EVACUATION)
        await asyncio.sleep(max(0.0, min(duration, until - now())))
        if now() >= until and world.random.random() < FINAL_EVACUATION_SHARE:
            return
        print(f"{now() - world.began:7.1f} s  restoring {zone}", flush=True)
        await evacuations.restore(zone)


async def run_address_reuse(world, seed, until):
    address_reuse = AddressReuse(world, seed)
    streams = []
    if "address_reuse" not in world.excluded_actions:
        streams.append(address_reuse.run(until))
    if "target_cuts" not in world.excluded_actions:
        streams.append(TargetCuts(world, address_reuse, seed).run(until))
    await asyncio.gather(*streams)


async def run_storm(world, seed, until):
    faults = Faults(world)
    await asyncio.gather(world.operator.storm_from_several(until), run_faults(world, faults, until),
                         run_evacuations(world, until), run_address_reuse(world, seed, until))
    await check_recovery(world, planned_only=False)


async def run_zones(world, seed, until):
    """Changes and evacuations, concurrently with isolated zones and a stream of other faults."""
    faults = Faults(world)
    streams = [[faults.change_configuration, faults.release]] + faults.zone_actions()
    await asyncio.gather(run_evacuations(world, until), run_address_reuse(world, seed, until),
                         *(run_actions(world, faults, actions, until) for actions in streams))
    await check_recovery(world, planned_only=False)


async def check_recovery(world, planned_only):
    """After all faults ended and RECOVERY_TIME has passed, every request must be served."""
    await asyncio.sleep(RECOVERY_TIME if not planned_only else 1.0)
    started_at = now()
    await asyncio.sleep(CHECK_TIME)
    unserved = [failure for failure in world.failures if planned_only or failure[0] >= started_at]
    if unserved:
        world.promises.report("RECOVER", f"{len(unserved)} requests failed although no fault was active: "
                                         f"{unserved[:3]}")
    for kind in REQUEST_KINDS:
        if world.promises.counts[f"{kind.name} served"] == 0:
            world.promises.report("RECOVER", f"no {kind.name} was served")
    world.evacuations.check_at_end(started_at)
    await world.operator.read_at_end(10)


async def run_scenario(world, seed, arguments):
    world.began = now()
    await world.start()
    until = now() + arguments.seconds
    if arguments.storm:
        await run_storm(world, seed, until)
        return
    if arguments.zones:
        await run_zones(world, seed, until)
        return
    faults = Faults(world)
    if arguments.sabotage:
        until = now()
        await asyncio.sleep(WARM_UP_TIME)
        await faults.lose_all_disks()
    planned = run_actions(world, faults, faults.planned(), until)
    streams = 0 if arguments.planned else world.random.choice((1, 2))
    unplanned = [run_actions(world, faults, faults.unplanned(), until) for _ in range(streams)]
    if not arguments.planned:
        unplanned.append(run_address_reuse(world, seed, until))
    await asyncio.gather(planned, run_evacuations(world, until), *unplanned)
    await check_recovery(world, arguments.planned)


def run(seed, arguments):
    """Runs one seed. Returns True without violations, else keeps the logs."""
    directory = pathlib.Path(arguments.folder) / f"seed-{seed}"
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    proxy = FaultProxy(seed)
    controls = random.Random(seed).choice((3, 5))
    world = World(seed, directory, pathlib.Path(arguments.build), FIRST_NETWORK + seed % 100, proxy, controls,
                  arguments.balancers_per_zone)
    world.excluded_actions = set(arguments.leave_out)
    proxy.start()

    async def act():
        try:
            await run_scenario(world, seed, arguments)
        finally:
            await world.stop()

    try:
        asyncio.run(act())
    except RuntimeError as error:
        world.promises.report("START", str(error))
    finally:
        proxy.stop()
    counts = ", ".join(f"{name} {count}" for name, count in sorted(world.promises.counts.items()))
    max_lag = max(watch.longest_lag for watch in world.version_watches)
    counts += f"; longest configuration lag {max_lag:.2f} s"
    counts += f"; {world.paths.summary()}"
    dropped = sum(link.dropped for link in world.links.values())
    passed = sum(link.passed for link in world.links.values())
    counts += f"; links of {world.link_rate} Mbit/s dropped {dropped} of {passed + dropped}"
    violation_count = len(world.promises.violations)
    print(f"seed {seed}, {controls} replicas: {violation_count} violations; {counts}", flush=True)
    (directory / "violations").write_text("\n".join(world.promises.violations) + "\n")
    if violation_count == 0 and not arguments.keep_logs:
        shutil.rmtree(directory)
    return violation_count == 0


def known_seeds():
    """Returns the seeds that failed earlier, each with its mode."""
    lines = (HERE / "known_seeds.txt").read_text().splitlines()
    entries = [line.split() for line in lines if line and not line.startswith("#")]
    return [(int(entry[0]), entry[1].rstrip(":")) for entry in entries]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=str(ROOT / "build" / "release"))
    parser.add_argument("--folder", default=str(ROOT / "run" / "soak"))
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--balancers-per-zone", type=int, default=2)
    parser.add_argument("--planned", action="store_true")
    parser.add_argument("--known", action="store_true")
    parser.add_argument("--storm", action="store_true")
    parser.add_argument("--zones", action="store_true")
    parser.add_argument("--leave-out", action="append", default=[], metavar="ACTION",
                        help="skip this action, `evacuations`, `address_reuse` or `target_cuts`; may be repeated")
    parser.add_argument("--keep-logs", action="store_true", help="keep the logs of runs without violations as well")
    parser.add_argument("--sabotage", action="store_true",
                        help="delete all disks at once, beyond the fault model: violations must be reported")
    arguments = parser.parse_args()
    seeds = [random.SystemRandom().randrange(1, 1 << 31) for _ in range(arguments.runs)]
    if arguments.seed is not None:
        seeds = [arguments.seed]
    kind = "storm" if arguments.storm else "zones" if arguments.zones else ""
    scenarios = [(seed, kind) for seed in seeds]
    if arguments.known:
        scenarios = known_seeds()
    results = []
    for seed, kind in scenarios:
        arguments.storm, arguments.zones = kind == "storm", kind == "zones"
        results.append(run(seed, arguments))
    print(f"{results.count(True)} of {len(results)} runs without a violation")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
