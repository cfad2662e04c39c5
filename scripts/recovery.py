#!/usr/bin/env python3
"""Runs one day (a scenario of the platform's bench) with several seeds and prints the recovery
timeline after each loss of all machines.

Usage: scripts/recovery.py --bench PATH --tree FOLDER [--seeds N] [--jobs N] SITE DAY

Times are seconds after the loss: when balancers and replicas started, when a leader was elected,
and when balancers had their state confirmed and could open flows. The journal entries stay in
FOLDER/journal.
"""
import argparse
import concurrent.futures
import json
import re
import statistics
import subprocess

LOSS = re.compile(r"^\s+([\d.]+) s to .*(?:power_off_all|kill_all|closing)", re.M)
LINE = re.compile(r"\s+([\d.]+) (\S+) (\{.*)")
# Time after a loss in which events are counted, in seconds.
WINDOW_S = 5


def events_of(text: str):
    """Yields time, node and fields of each log line."""
    for line in text.splitlines():
        line_match = LINE.match(line)
        if not line_match:
            continue
        try:
            yield float(line_match[1]), line_match[2], json.loads(line_match[3])
        except json.JSONDecodeError:
            continue


def describe(times: list[float]) -> str:
    if not times:
        return "never"
    return f"{min(times):.2f} to {max(times):.2f}, median {statistics.median(times):.2f}"


def recoveries(text: str):
    """Yields one line for each loss of all machines in the output of the bench."""
    events = list(events_of(text))
    for line_match in LOSS.finditer(text):
        loss = float(line_match[1])
        steps: dict[str, list[float]] = {}
        for at, node, fields in events:
            if loss < at < loss + WINDOW_S:
                name = fields.get("event", "")
                role = "replicas" if name == "started" and "replica" in fields else "balancers"
                steps.setdefault(f"{name} {role}" if name == "started" else name, []).append(at - loss)
        yield (f"loss at {loss:.2f}: balancers {describe(steps.get('started balancers', []))}; "
               f"replicas {describe(steps.get('started replicas', []))}; "
               f"elected {describe(steps.get('became_leader', []))}; "
               f"confirmed {describe(steps.get('revision_confirmed', []))}")


def run_day(arguments: argparse.Namespace, seed: int) -> list[str]:
    done = subprocess.run(
        [arguments.bench, "run", arguments.site, arguments.day, "--seed", str(seed), "--no-cpu", "--log", "all",
         "--why", "timeline of the recovery after a loss of all"],
        cwd=arguments.tree, capture_output=True, text=True, timeout=900, check=False)
    worth = re.search(r"^worth (\S+)", done.stdout, re.M)
    return [f"seed {seed}, worth {worth[1] if worth else 'unknown'}: {line}"
            for line in recoveries(done.stdout + done.stderr)]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--tree", required=True)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("site")
    parser.add_argument("day")
    arguments = parser.parse_args()
    with concurrent.futures.ThreadPoolExecutor(max_workers=min(arguments.jobs, 4)) as pool:
        for lines in pool.map(lambda seed: run_day(arguments, seed), range(1, arguments.seeds + 1)):
            print("\n".join(lines), flush=True)


if __name__ == "__main__":
    main()
