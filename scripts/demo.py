#!/usr/bin/env python3
"""Runs each example deployment as real processes under a mixed load, drains a target and restarts a
balancer, and prints the results of the clients. Exits non-zero when a value that must be 0 is not.
"""

import argparse
import pathlib
import shutil
import sys
import time

import fleet as fleets

EXAMPLES = fleets.ROOT / "examples"
DEPLOYMENTS = {
    "mu-north": (20, "track-core", "proof-store", "track-core-03"),
    "pnw-cascade": (30, "chairbook", "daysheet", "chairbook-03"),
}


def run_load(fleet, first, second, drained, seconds):
    """Returns client results, target records, and how long the drained target got new work."""
    load = {"seconds": seconds, "pause_ms": 100}
    mixed = fleet.start_clients("mixed", first, 21000, feeds=60, updates=40, lookups=40, **load)
    bulk = fleet.start_clients("bulk", second, 22000, downloads=20, **load)
    time.sleep(seconds * 0.25)
    code, output = fleet.apply(EXAMPLES / f"{fleet.settings['deployment']}-drain.toml")
    if code != 0:
        raise fleets.FleetError(f"drain: exit {code}: {output}")
    drained_at = time.monotonic()
    fleet.restart_balancer(2)
    results = [fleet.client_result(process, seconds + 30) for process in (mixed, bulk)]
    since_drain = time.monotonic() - drained_at
    records = fleet.target_records()
    drain_delay = since_drain - records[drained]["last_new_work_ms_ago"] / 1000
    return results, records, drain_delay


def print_table(name, rows):
    print(f"\n{name}")
    for label, value, must_be_zero in rows:
        mark = "  (must be 0)" if must_be_zero else ""
        print(f"  {label:<42}{value:>12}{mark}")


def demo(name, build, directory, seconds):
    network, first, second, drained = DEPLOYMENTS[name]
    shutil.rmtree(directory, ignore_errors=True)
    fleet = fleets.Fleet(EXAMPLES / f"{name}.toml", directory, build, network)
    results, records, drain_delay = fleets.run_with_fleet(
        fleet, lambda: run_load(fleet, first, second, drained, seconds))
    total = {key: sum(r[key] for r in results) for key in results[0]
             if isinstance(results[0][key], int)}
    violations = fleets.check_updates(results, records)
    for violation in violations[:5]:
        print(f"violation: {violation}", file=sys.stderr)
    services = {s["name"]: s for s in fleet.settings["service"]}
    rows = [
        ("requests", total["requests"], False),
        ("responses", total["answers"], False),
        ("feed notifications", total["notifications"], False),
        ("wrong responses", total["wrong_answers"], True),
        ("broken flows", total["broken_flows"], True),
        ("feeds that moved to another target", total["feed_moves"], True),
        ("duplicate or misreported updates", len(violations), True),
        ("datagrams at another service's targets", sum(r["foreign"] for r in records.values()),
         True),
        ("verdicts: not run", total["verdicts_not_run"], False),
        ("verdicts: may have run", total["verdicts_may_have_run"], False),
        ("verdicts without a retry time", total["verdicts_without_time"], True),
        ("requests without a response", total["timeouts"], True),
        ("new work at the drained target after 3 s", int(drain_delay > 3), True),
        (f"imbalance of requests, {first}",
         f"{fleets.imbalance(services[first], records, {drained}, 'requests'):.2f}", False),
        (f"imbalance of requests, {second}",
         f"{fleets.imbalance(services[second], records, set(), 'requests'):.2f}", False),
        ("latency p50, ms", f"{results[0]['latency_p50_ms']:.1f}", False),
        ("latency p99, ms", f"{results[0]['latency_p99_ms']:.1f}", False),
    ]
    print_table(name, rows)
    return all(value == 0 for _, value, must_be_zero in rows if must_be_zero)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=str(fleets.ROOT / "build" / "release"))
    parser.add_argument("--folder", default=str(fleets.ROOT / "run"))
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("deployments", nargs="*", default=sorted(DEPLOYMENTS))
    arguments = parser.parse_args()
    passed = [demo(name, arguments.build, pathlib.Path(arguments.folder) / name, arguments.seconds)
            for name in arguments.deployments]
    print("\nall checks passed" if all(passed) else "\nCHECKS FAILED: a value that must be 0 is not")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
