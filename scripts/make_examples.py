#!/usr/bin/env python3
"""Generates the example settings of two deployments on loopback addresses in examples/."""

import pathlib

DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / "examples"


def service_lines(name, address, targets):
    lines = [
        "[[service]]",
        f'name = "{name}"',
        f'address = "{address}"',
        "request_timeout_ms = 4000",
        "retry_after_min_s = 1",
        "retry_after_max_s = 5",
        "",
    ]
    for target in targets:
        lines += ["[[service.target]]"] + target + [""]
    return lines


def target_lines(name, ip, zone, draining):
    lines = [
        f'name = "{name}"',
        f'address = "{ip}:5683"',
        f'health = "{ip}:8080"',
        f'zone = "{zone}"',
        "weight = 100",
        "slots = 2",
        "max_connections = 2000",
    ]
    return lines + (["draining = true"] if draining else [])


def write(file_name, deployment, network, zones, services, draining):
    lines = ["# Settings of one deployment. Keys: docs/settings.md.", "schema = 1",
             f'deployment = "{deployment}"', ""]
    for number, (name, count) in enumerate(services, start=1):
        targets = [
            target_lines(f"{name}-{i:02}", f"127.{network}.{number}.{i}", zones[(i - 1) % 3],
                         f"{name}-{i:02}" == draining)
            for i in range(1, count + 1)
        ]
        lines += service_lines(name, f"127.{network}.0.{number}:5683", targets)
    (DIRECTORY / file_name).write_text("\n".join(lines))


def main():
    DIRECTORY.mkdir(exist_ok=True)
    mu_north = ("mu-north", 20, ["plv-a", "plv-b", "pam-c"],
                [("track-core", 15), ("proof-store", 4)])
    pnw_cascade = ("pnw-cascade", 30, ["tacoma-hall", "salem-hall", "spokane-hall"],
                   [("chairbook", 15), ("daysheet", 4)])
    for deployment, drained in ((mu_north, "track-core-03"), (pnw_cascade, "chairbook-03")):
        write(f"{deployment[0]}.toml", *deployment, draining=None)
        write(f"{deployment[0]}-drain.toml", *deployment, draining=drained)


if __name__ == "__main__":
    main()
