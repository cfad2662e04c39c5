#!/usr/bin/env python3
"""Ablation study: disables one mechanism of the steering policy at a time, runs the same days with
and without it, and prints a table of the differences.

Usage: scripts/ablation.py --bench PATH --work FOLDER [--days NAME,...] [--seeds N] [--jobs N]
                           [--only NAME,...] SITE...

Copies the tree to FOLDER and sets --steering_policy in its deploy/system.toml; the journal entries
of all runs stay in FOLDER/journal. CPU time is not charged, so the runs of a pair differ only in
the policy.
"""
import argparse
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Rows of the table: the name for --only, and the policy fields that disable the mechanism.
MECHANISMS = {
    "all on": "",
    "holding packets": "hold_ms=0",
    "first copy to the same target": "copies_at_same_target=0",
    "suspicion after unanswered openings": "suspect_after=0",
    "refusals": "refusals=0",
    "stalls": "stalls=0",
    "load steps (figures of all balancers)": "load_step=0",
    "weight of requests under way": "busy_weight=0",
    "cold penalty": "cold_penalty=1",
    "slow targets": "slow_factor=0",
    "pressure": "pressure_exponent=0",
    "nearness": "near_preference=1",
    "samples of large pools": "sample=0",
    "probes of refusals": "refusal_probes=0",
    "looks around": "looks_around=0",
}


def set_policy(tree: pathlib.Path, policy: str) -> None:
    """Sets the policy in the command line of the balancer role."""
    path = tree / "deploy/system.toml"
    command = "target/gorsevalve-platform-balancer" + (f" --steering_policy={policy}" if policy else "")
    text = re.sub(r'^run = "target/gorsevalve-platform-balancer.*$', f'run = "{command}"',
                  path.read_text(), flags=re.M)
    path.write_text(text)


def run_day(bench: str, tree: pathlib.Path, site: str, day: str, seed: int, name: str):
    """Runs one day. Returns its worth, the share served, and whether a rule was violated; None
    without a result."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        subprocess.run([bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--report", report.name, "--why",
                        f"ablation: without {name}" if name != "all on" else "ablation: all on"],
                       cwd=tree, capture_output=True, timeout=900, check=False)
        try:
            result = json.loads(pathlib.Path(report.name).read_text())
        except json.JSONDecodeError:
            return None
    return result["G"], result["served"], bool(result["breaks"] or result["fault"])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--work", required=True, type=pathlib.Path)
    parser.add_argument("--days", default="trouble-1,scale-1")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("sites", nargs="+")
    arguments = parser.parse_args()
    if not arguments.work.exists():
        shutil.copytree(ROOT, arguments.work, ignore=shutil.ignore_patterns("build", "target", "run", "journal"))
        (arguments.work / "journal").mkdir()
    names = [name for name in MECHANISMS if not arguments.only or name in arguments.only.split(",")]
    pairs = [(day, seed) for day in arguments.days.split(",") for seed in range(1, arguments.seeds + 1)]
    print("| Site | Without | Change of worth: mean, min, max | Change of share served | Runs with violations |")
    print("|---|---|---|---|---|")
    for site in arguments.sites:
        baseline = {}
        for name in names:
            set_policy(arguments.work, MECHANISMS[name])
            with concurrent.futures.ThreadPoolExecutor(max_workers=min(arguments.jobs, 4)) as pool:
                rows = dict(zip(pairs, pool.map(
                    lambda pair, name=name: run_day(arguments.bench, arguments.work, site, *pair, name), pairs)))
            rows = {pair: row for pair, row in rows.items() if row is not None}
            if name == "all on":
                baseline = rows
            common = [pair for pair in rows if pair in baseline]
            worth = [rows[pair][0] - baseline[pair][0] for pair in common]
            served = [rows[pair][1] - baseline[pair][1] for pair in common]
            failed = sum(rows[pair][2] for pair in common)
            if common:
                print(f"| {pathlib.Path(site).stem} | {name} | {statistics.mean(worth):+.4f}, {min(worth):+.4f}, "
                      f"{max(worth):+.4f} | {statistics.mean(served):+.4f} | {failed} of {len(common)} |", flush=True)
    set_policy(arguments.work, "")


if __name__ == "__main__":
    main()
