#!/usr/bin/env python3
"""Runs an example deployment as real processes for some minutes under changes and failures, and
writes a report with plots. The invariants of the simulation must hold; only failures may break
flows.

    scripts/endurance.py --seconds=180 --seed=1 [--planned] mu-north
"""

import argparse
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import time

import fleet as fleets
from demo import DEPLOYMENTS, EXAMPLES, print_table
from fault_proxy import FaultProxy

ACTION_PAUSE = 6


class EnduranceRun:
    """Runs random actions on one fleet and records events and samples."""

    def __init__(self, fleet, proxy, seed):
        self.fleet = fleet
        self.proxy = proxy
        self.random = random.Random(seed)
        self.started = time.monotonic()
        self.events = []
        self.samples = []
        self.apply_times = []
        self.drained = False

    def now(self):
        return time.monotonic() - self.started

    def log_event(self, text):
        self.events.append((self.now(), text))
        print(f"{self.now():7.1f} s  {text}", flush=True)

    def any_balancer(self):
        return self.random.choice(self.fleet.balancer_numbers)

    def restart_balancer(self):
        i = self.any_balancer()
        self.log_event(f"planned restart of balancer-{i}")
        self.fleet.restart_balancer(i, 60)

    def apply_settings(self):
        name = self.fleet.settings["deployment"] + ("" if self.drained else "-drain") + ".toml"
        self.drained = not self.drained
        started_at = time.monotonic()
        code, output = self.fleet.apply(EXAMPLES / name)
        self.log_event(f"apply {name}: exit {code}")
        if code == 0:
            self.apply_times.append((self.now(), time.monotonic() - started_at))
        elif code not in (4, 5):
            raise fleets.FleetError(output)

    def restart_control(self):
        i = self.random.choice(self.fleet.control_numbers)
        self.log_event(f"planned restart of control-{i}")
        self.fleet.processes[f"control-{i}"].stop()
        self.fleet.start_control(i)

    def kill_control(self):
        i = self.random.choice(self.fleet.control_numbers)
        self.log_event(f"SIGKILL control-{i}")
        self.fleet.processes[f"control-{i}"].kill()
        time.sleep(1)
        self.fleet.start_control(i)

    def kill_balancer(self):
        i = self.any_balancer()
        self.log_event(f"SIGKILL balancer-{i}")
        self.fleet.processes[f"balancer-{i}"].kill()
        self.fleet.announce(i, "gone")
        time.sleep(2)
        self.fleet.start_balancer(i)
        self.fleet.announce(i, "live")

    def freeze_balancer(self):
        i = self.any_balancer()
        self.log_event(f"SIGSTOP balancer-{i} for 5 s")
        process = self.fleet.processes[f"balancer-{i}"]
        process.signal(signal.SIGSTOP)
        time.sleep(5)
        process.signal(signal.SIGCONT)

    def cut_zone(self):
        zone = self.random.choice(self.fleet.zones)
        self.log_event(f"zone {zone} isolated for 5 s")
        inside, outside = [], []
        for i in self.fleet.control_numbers:
            side = inside if self.fleet.zones[i - 1] == zone else outside
            side.append(self.fleet.control_address(i))
        for i in self.fleet.balancer_numbers:
            side = inside if self.fleet.balancer_zone(i) == zone else outside
            side.append(self.fleet.balancer_address(i))
        self.proxy.cut(inside, outside)
        time.sleep(5)
        self.proxy.heal()

    def sample(self):
        records = self.fleet.target_records()
        self.samples.append((self.now(), {name: r["requests"] for name, r in records.items()}))

    def run(self, seconds, planned):
        actions = [self.restart_balancer, self.apply_settings, self.restart_control]
        if not planned:
            actions += [self.kill_balancer, self.freeze_balancer, self.cut_zone, self.kill_control]
        while self.now() < seconds:
            self.random.choice(actions)()
            self.fleet.wait_until("a leader", lambda: self.fleet.leader_number() is not None, 60)
            self.fleet.wait_until("all joined", self.fleet.all_joined, 60)
            self.sample()
            time.sleep(ACTION_PAUSE)


def imbalance_over_time(samples, service):
    """Ratio of maximum to mean requests per target, for each interval between two samples."""
    names = [t["name"] for t in service["target"]]
    rows = []
    for (_, before), (at, after) in zip(samples, samples[1:]):
        loads = [after[n] - before[n] for n in names if n in after and n in before]
        if loads and sum(loads) > 0:
            rows.append((at, max(loads) / (sum(loads) / len(loads))))
    return rows


def plot(directory, name, title, label, rows):
    """Plots rows into name.svg with gnuplot."""
    data = directory / f"{name}.dat"
    data.write_text("".join(f"{x:.2f} {y:.4f}\n" for x, y in rows))
    script = (f'set terminal svg size 800,300; set output "{directory}/{name}.svg"; set title "{title}"; '
              f'set xlabel "seconds"; set ylabel "{label}"; set yrange [0:*]; '
              f'plot "{data}" using 1:2 with linespoints notitle')
    subprocess.run(["gnuplot", "-e", script], check=True, timeout=60)


def report(directory, name, rows, run):
    lines = [f"# Endurance run of {name}", "", "| Measure | Value |", "|---|---|"]
    lines += [f"| {label} | {value}{' (must be 0)' if must_be_zero else ''} |"
              for label, value, must_be_zero in rows]
    lines += ["", "![imbalance](imbalance.svg)", "", "![apply time](force.svg)", "", "## Events", ""]
    lines += [f"- {at:.1f} s: {text}" for at, text in run.events]
    (directory / "report.md").write_text("\n".join(lines) + "\n")


def start_proxy(fleet, proxy):
    for i in fleet.control_numbers:
        proxy.forward_tcp(fleet.control_address(i), fleet.control_listen(i))
    for i in fleet.balancer_numbers:
        proxy.forward_udp(fleet.balancer_address(i), fleet.balancer_listen(i))
    proxy.start()


def run_endurance(name, arguments):
    network, first, second, _ = DEPLOYMENTS[name]
    directory = pathlib.Path(arguments.folder) / name
    shutil.rmtree(directory, ignore_errors=True)
    fleet = fleets.Fleet(EXAMPLES / f"{name}.toml", directory, arguments.build, network, proxied=True)
    proxy = FaultProxy(arguments.seed)
    start_proxy(fleet, proxy)

    def act():
        load = {"seconds": arguments.seconds, "pause_ms": 200}
        clients = [fleet.start_clients("mixed", first, 21000, feeds=60, updates=30, lookups=30, **load),
                   fleet.start_clients("bulk", second, 22000, downloads=20, **load)]
        run = EnduranceRun(fleet, proxy, arguments.seed)
        run.run(arguments.seconds - 10, arguments.planned)
        results = [fleet.client_result(process, 200) for process in clients]
        return run, results, fleet.target_records()

    try:
        run, results, records = fleets.run_with_fleet(fleet, act)
    finally:
        proxy.stop()
    total = {k: sum(r[k] for r in results) for k in results[0] if isinstance(results[0][k], int)}
    violations = fleets.check_updates(results, records)
    planned = arguments.planned
    max_apply_time = max((t for _, t in run.apply_times), default=0)
    rows = [("requests", total["requests"], False), ("responses", total["answers"], False),
            ("feed notifications", total["notifications"], False),
            ("wrong responses", total["wrong_answers"], True),
            ("duplicate or misreported updates", len(violations), True),
            ("datagrams at another service's targets", sum(r["foreign"] for r in records.values()), True),
            ("verdicts without a retry time", total["verdicts_without_time"], True),
            ("broken flows", total["broken_flows"], planned),
            ("feeds that moved to another target", total["feed_moves"], planned),
            ("requests without a response", total["timeouts"], planned),
            ("verdicts: may have run", total["verdicts_may_have_run"], planned),
            ("verdicts: not run", total["verdicts_not_run"], False),
            ("settings applied", len(run.apply_times), False),
            ("longest apply --wait, s", f"{max_apply_time:.2f}", False)]
    print_table(f"{name}, {arguments.seconds} s, seed {arguments.seed}", rows)
    services = {s["name"]: s for s in fleet.settings["service"]}
    plot(directory, "imbalance", f"Imbalance of requests, {first}", "maximum / mean",
         imbalance_over_time(run.samples, services[first]))
    plot(directory, "force", "apply --wait", "seconds", run.apply_times)
    report(directory, name, rows, run)
    (directory / "updates.json").write_text(json.dumps(violations))
    return all(value == 0 for _, value, must_be_zero in rows if must_be_zero)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=str(fleets.ROOT / "build" / "release"))
    parser.add_argument("--folder", default=str(fleets.ROOT / "run" / "endurance"))
    parser.add_argument("--seconds", type=int, default=180)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--planned", action="store_true", help="planned changes only")
    parser.add_argument("deployments", nargs="*", default=sorted(DEPLOYMENTS))
    arguments = parser.parse_args()
    passed = [run_endurance(name, arguments) for name in arguments.deployments]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
