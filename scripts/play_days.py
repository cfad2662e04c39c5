#!/usr/bin/env python3
"""Runs the day files in tests/days (scenarios of the platform's bench) on one or more site files,
and prints one line for each run.

Usage: scripts/play_days.py --bench PATH [--why TEXT] [--days FOLDER] [--jobs N] SITE...
With --vary N, also runs N randomly varied copies of each site.
"""
import argparse
import concurrent.futures
import pathlib
import random
import re
import subprocess
import tempfile


def vary_site(text: str, seed: int) -> str:
    """Returns the site with random CPU shares, delays and numbers of targets."""
    rng = random.Random(seed)
    text = re.sub(r"cpu_share = ([0-9.]+)",
                  lambda m: f"cpu_share = {float(m[1]) * rng.uniform(0.6, 1.5):.3f}", text)
    text = re.sub(r"cross_zone_ms = ([0-9.]+)",
                  lambda m: f"cross_zone_ms = {float(m[1]) * rng.uniform(0.5, 6):.2f}", text)
    text = re.sub(r"client_ms = ([0-9.]+)",
                  lambda m: f"client_ms = {float(m[1]) * rng.uniform(0.5, 8):.2f}", text)
    text = re.sub(r"sync_ms = ([0-9.]+)",
                  lambda m: f"sync_ms = {float(m[1]) * rng.uniform(0.5, 3):.2f}", text)
    return re.sub(r'zone = "([a-z-]+)", count = (\d+) }',
                  lambda m: f'zone = "{m[1]}", count = {max(1, int(m[2]) + rng.randint(-1, 3))} }}',
                  text)


def run_day(bench: str, site: pathlib.Path, day: pathlib.Path, why: str) -> str:
    """Runs one day. Returns a line with the site, the result of the bench, and the first error."""
    done = subprocess.run([bench, "run", str(site), str(day), "--why", f"{why}: {day.stem}"],
                          capture_output=True, text=True, timeout=600, check=False)
    out = done.stdout + done.stderr
    row = next((line for line in out.splitlines() if line.startswith(day.stem)), "no result")
    errors = [line for line in out.splitlines() if "the first that is wrong" in line]
    if row == "no result":
        errors = out.splitlines()[-3:]
    return " | ".join([site.stem, row.strip()] + errors)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--why", default="days of our own")
    parser.add_argument("--days", default=str(pathlib.Path(__file__).parent.parent / "tests/days"))
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--vary", type=int, default=0)
    parser.add_argument("sites", nargs="+")
    arguments = parser.parse_args()
    days = sorted(pathlib.Path(arguments.days).glob("*.toml"))
    with tempfile.TemporaryDirectory() as directory:
        sites = [pathlib.Path(site) for site in arguments.sites]
        for site in list(sites):
            for seed in range(arguments.vary):
                copy = pathlib.Path(directory) / f"{site.stem}-altered{seed}.toml"
                copy.write_text(vary_site(site.read_text(), seed))
                wire = site.parent / "wire.json"
                if wire.exists():
                    (pathlib.Path(directory) / "wire.json").write_bytes(wire.read_bytes())
                sites.append(copy)
        jobs = [(site, day) for site in sites for day in days]
        with concurrent.futures.ThreadPoolExecutor(max_workers=min(arguments.jobs, 4)) as pool:
            for line in pool.map(lambda job: run_day(arguments.bench, *job, arguments.why), jobs):
                print(line, flush=True)


if __name__ == "__main__":
    main()
