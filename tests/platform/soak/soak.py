#!/usr/bin/env python3
"""Runs the programs for the users' machines as real processes under random faults, put in from outside, and
checks the platform's rules by what callers, targets and the operator see.

    tests/platform/soak/soak.py --runs 4 --seconds 40           # fresh seeds
    tests/platform/soak/soak.py --seed 17                       # one seed
    tests/platform/soak/soak.py --planned                       # planned work only: no request may fail
    tests/platform/soak/soak.py --storm                         # changes without pause beside one fault at a time
    tests/platform/soak/soak.py --zones                         # evacuations beside cut zones and other faults
    tests/platform/soak/soak.py --known                         # the seeds in known_seeds.txt

Takes about 10 processes and 100 MB with two balancers a zone. It ends only processes that it started.
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
from caller import REQUEST_KINDS  # noqa: E402
from evacuations import EVACUATION_LIMIT  # noqa: E402
from faults import Faults  # noqa: E402
from promises import now  # noqa: E402
from world import World  # noqa: E402

RECOVERY_TIME = 12.0
CHECK_TIME = 4.0
WARM_UP_TIME = 5.0
SHORT_PAUSE = 2.0
# Long enough for the rules that hold only where nothing was disturbed for a while.
LONG_PAUSE = 7.0
LONG_PAUSE_SHARE = 0.2
# Beside a storm of changes: long enough after each fault for machines to be in touch, and to see what they do then.
STORM_PAUSE = 7.0
FIRST_NETWORK = 100
EVACUATION_PAUSE = 4.0
LONGEST_EVACUATION = 14.0
# Share of runs whose last evacuation is in force until the end.
FINAL_EVACUATION_SHARE = 0.5


async def run_actions(world, faults, actions, until):
    """One action after the other, with pauses."""
    while now() < until:
        action = world.random.choice([action for action in actions if action.__name__ not in world.excluded_actions])
        print(f"{now() - world.start_time:7.1f} s  {action.__name__}", flush=True)
        planned = action in faults.planned()
        if not planned:
            world.checker.begin_fault()
        try:
            await action()
        finally:
            if not planned:
                world.checker.end_fault()
        is_long = world.random.random() < LONG_PAUSE_SHARE
        await asyncio.sleep(LONG_PAUSE if is_long else world.random.uniform(0.1, SHORT_PAUSE))


async def run_faults(world, faults, until):
    """One fault after the other, with pauses in which machines are in touch."""
    while now() < until - STORM_PAUSE:
        action = world.random.choice(faults.storm_faults())
        print(f"{now() - world.start_time:7.1f} s  {action.__name__}", flush=True)
        world.checker.begin_fault()
        await action()
        await asyncio.sleep(STORM_PAUSE)
        world.checker.end_fault()


async def run_evacuations(world, until):
    """The operator empties zone after zone and takes them back. The last order may stay in force until the end."""
    evacuations = world.evacuations
    while now() < until and "evacuations" not in world.excluded_actions:
        await asyncio.sleep(world.random.uniform(0.5, EVACUATION_PAUSE))
        zone = world.random.choice(world.zones)
        if not evacuations.can_evacuate(zone):
            continue
        print(f"{now() - world.start_time:7.1f} s  evacuation of {zone}", flush=True)
        await evacuations.evacuate(zone)
        lasts = world.random.uniform(EVACUATION_LIMIT, LONGEST_EVACUATION)
        await asyncio.sleep(max(0.0, min(lasts, until - now())))
        if now() >= until and world.random.random() < FINAL_EVACUATION_SHARE:
            return
        print(f"{now() - world.start_time:7.1f} s  {zone} is taken back", flush=True)
        await evacuations.restore(zone)


async def run_storm(world, until):
    faults = Faults(world)
    await asyncio.gather(world.operator.storm_from_several(until), run_faults(world, faults, until),
                         run_evacuations(world, until))
    await check_recovery(world, planned_only=False)


async def run_zones(world, until):
    """Changes and evacuations beside cut zones and beside a stream of other faults."""
    faults = Faults(world)
    streams = [[faults.change_configuration, faults.release]] + faults.zone_actions()
    await asyncio.gather(run_evacuations(world, until),
                         *(run_actions(world, faults, actions, until) for actions in streams))
    await check_recovery(world, planned_only=False)


async def check_recovery(world, planned_only):
    """After everything is healed and RECOVERY has passed, each request is served."""
    await asyncio.sleep(RECOVERY_TIME if not planned_only else 1.0)
    started_at = now()
    await asyncio.sleep(CHECK_TIME)
    unserved = [failure for failure in world.failures if planned_only or failure[0] >= started_at]
    if unserved:
        world.checker.report("RECOVER", f"{len(unserved)} requests failed while nothing was wrong: {unserved[:3]}")
    for kind in REQUEST_KINDS:
        if world.checker.counts[f"{kind.name} served"] == 0:
            world.checker.report("RECOVER", f"no {kind.name} was served")
    world.evacuations.check_at_end(started_at)
    await world.operator.read_at_end(10)


async def run_scenario(world, arguments):
    world.start_time = now()
    await world.start()
    until = now() + arguments.seconds
    if arguments.storm:
        await run_storm(world, until)
        return
    if arguments.zones:
        await run_zones(world, until)
        return
    faults = Faults(world)
    if arguments.sabotage:
        until = now()
        await asyncio.sleep(WARM_UP_TIME)
        await faults.lose_all_disks()
    planned = run_actions(world, faults, faults.planned(), until)
    streams = 0 if arguments.planned else world.random.choice((1, 2))
    unplanned = [run_actions(world, faults, faults.unplanned(), until) for _ in range(streams)]
    await asyncio.gather(planned, run_evacuations(world, until), *unplanned)
    await check_recovery(world, arguments.planned)


def run(seed, arguments):
    """One run; True when no rule was broken. The folder with the logs stays when one was."""
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
            await run_scenario(world, arguments)
        finally:
            await world.stop()

    try:
        asyncio.run(act())
    except RuntimeError as error:
        world.checker.report("START", str(error))
    finally:
        proxy.stop()
    counts = ", ".join(f"{name} {count}" for name, count in sorted(world.checker.counts.items()))
    max_lag = max(watch.longest_lag for watch in world.version_watches)
    counts += f"; longest behind {max_lag:.2f} s"
    counts += f"; {world.paths.summary()}"
    dropped = sum(link.dropped for link in world.links.values())
    passed = sum(link.passed for link in world.links.values())
    counts += f"; links of {world.link_rate} Mbit/s dropped {dropped} of {passed + dropped}"
    violation_count = len(world.checker.violations)
    print(f"seed {seed}, {controls} replicas: {violation_count} violations; {counts}", flush=True)
    (directory / "violations").write_text("\n".join(world.checker.violations) + "\n")
    if violation_count == 0 and not arguments.keep_logs:
        shutil.rmtree(directory)
    return violation_count == 0


def known_seeds():
    """Seeds that failed once, and in which kind of run; the cause stands on the same line."""
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
                        help="for tracing: an action that is not played, or `evacuations`")
    parser.add_argument("--keep-logs", action="store_true", help="also of runs without a violation")
    parser.add_argument("--sabotage", action="store_true",
                        help="all disks are lost at once, more than is allowed: violations must be found")
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
