#!/usr/bin/env python3
"""Runs all scenarios of the simulator with many seeds and writes a table for docs/PROOF.md."""

import argparse
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
COLUMNS = ("seeds", "failed", "requests", "broken", "not_run", "may_have_run", "timeouts")


def scenario_names(program):
    listed = subprocess.run([program, "list"], check=True, capture_output=True, text=True, timeout=60)
    return [line.split()[0] for line in listed.stdout.splitlines()]


def row(line):
    values = dict(re.findall(r"(\w+)=([\d.]+)", line))
    cells = [line.split()[0]] + [values[column] for column in COLUMNS]
    return "| " + " | ".join(cells) + " |"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=str(ROOT / "build" / "release"))
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--skip", default="", help="regular expression of scenarios to skip")
    parser.add_argument("--output", default=str(ROOT / "run" / "soak.md"))
    arguments = parser.parse_args()
    program = f"{arguments.build}/gorsevalve-sim"
    rows = ["| Scenario | " + " | ".join(COLUMNS) + " |", "|---" * (len(COLUMNS) + 1) + "|"]
    failed = []
    for name in scenario_names(program):
        if arguments.skip and re.search(arguments.skip, name):
            continue
        run = subprocess.run([program, "run", f"--scenario={name}", f"--seeds={arguments.seeds}",
                              f"--jobs={arguments.jobs}"], capture_output=True, text=True, check=False)
        for line in run.stdout.splitlines():
            if line.startswith("FAILED"):
                failed.append(line)
                print(line, flush=True)
            elif line.startswith(name):
                rows.append(row(line))
                print(rows[-1], flush=True)
    output = pathlib.Path(arguments.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text("\n".join(rows + [""] + [f"- {line}" for line in failed]) + "\n")
    print(f"{len(failed)} failed runs; table in {output}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
