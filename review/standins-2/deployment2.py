"""Starts the programs of the deploy file as processes on loopback addresses of their own."""

import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CONTROL_PORT, READINESS_PORT, DATAGRAM_PORT, INTERNAL_PORT = 8166, 8167, 8172, 7720


def _on_terminated(*_):
    """Ends by an exception, so that all processes are ended first."""
    raise SystemExit(2)


signal.signal(signal.SIGTERM, _on_terminated)


def now():
    return time.monotonic()


def render(template, fields):
    """Fills the gaps of a settings template as the deploy page says."""

    def look_up(name, entry):
        value = entry if name == "." else fields
        for part in [] if name == "." else name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match[1], None)
        items = list(value.items()) if isinstance(value, dict) else list(enumerate(value or []))
        parts = []
        for position, (key, entry) in enumerate(items):
            text = match[2].replace("{{.}}", str(entry)).replace("{{@}}", str(key))
            parts.append(text.replace("{{,}}", "" if position == len(items) - 1 else ","))
        return "".join(parts)

    def gap(match):
        value = look_up(match[1], None)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class Machine:
    def __init__(self, name, kind, ip, zone):
        self.name, self.kind, self.ip, self.zone = name, kind, ip, zone
        self.process = None


class Deployment:
    """`controls` and `balancers` are lists of zones, one entry for each machine."""

    def __init__(self, controls, balancers, zones, record, seed=None):
        self.random = random.Random(seed)
        self.record = record
        self.zones = zones
        self.network = self._free_network(len(controls) + len(balancers))
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.controls = [Machine(f"core-{i + 1}", "control", self.ip(11 + i), zone)
                         for i, zone in enumerate(controls)]
        self.balancers = [Machine(f"edge-{i + 1}", "balancer", self.ip(31 + i), zone)
                          for i, zone in enumerate(balancers)]
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    def ip(self, number):
        return f"{self.network}.{number}"

    def _free_network(self, count):
        while True:
            network = f"127.{self.random.randrange(20, 250)}.{self.random.randrange(1, 250)}"
            try:
                for number in [11 + i for i in range(count)] + [31 + i for i in range(count)]:
                    for port in (CONTROL_PORT, READINESS_PORT, INTERNAL_PORT):
                        with socket.socket() as probe:
                            probe.bind((f"{network}.{number}", port))
                return network
            except OSError:
                continue

    def _settings(self, machine, bootstrap):
        is_control = machine.kind == "control"
        binds = {"control": f"{machine.ip}:{CONTROL_PORT}"} if is_control else {
            "datagram_addr": f"{machine.ip}:{DATAGRAM_PORT}", "readiness": f"{machine.ip}:{READINESS_PORT}"}
        return {
            "node_name": machine.name, "zone": machine.zone, "ip": machine.ip, "bootstrap": bootstrap,
            "zones": {zone: "region" for zone in self.zones}, "bind_addrs": binds,
            "port_range": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [f"{one.ip}:{CONTROL_PORT}" for one in self.controls[:3]],
            "limits": {"link_mbps": "1000.0"}, "heartbeat_ms": 1200, "bounds": {"grace_s": 6},
            "forwarding": "echo",
            "data_dir": str(self.directory / machine.name / "data") if is_control else None}

    def start(self, machine, bootstrap=False):
        role = self.roles[machine.kind]
        folder = self.directory / machine.name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        settings = folder / "boot.conf"
        settings.write_text(render((ROOT / role["template"]).read_text(), self._settings(machine, bootstrap)))
        program, *arguments = role["run"].split()
        with open(folder / "log", "ab") as log:
            machine.process = subprocess.Popen(
                [str(ROOT / program), *arguments], stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ["PATH"], "LANG": "C", "GORSEVALVE_NODE_FILE": str(settings)})
        self.record(f"started {machine.name} at {machine.ip}, process {machine.process.pid}")

    def start_all(self):
        for machine in self.controls + self.balancers:
            self.start(machine, bootstrap=True)

    def signal(self, machine, number):
        self.record(f"{signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)
        if number == signal.SIGKILL:
            machine.process.wait(10)

    def close(self):
        for machine in self.controls + self.balancers:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait(10)
        shutil.rmtree(self.directory, ignore_errors=True)


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.started_at = now()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, line):
        with self.lock:
            self.file.write(f"{now() - self.started_at:8.3f} {line}\n")

    def close(self):
        with self.lock:
            self.file.close()
