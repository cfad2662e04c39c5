"""Starts the system's programs with the commands and the template of the deploy file, on loopback addresses."""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DATAGRAM_PORT = 8172
READINESS_PORT = 8167
CONTROL_PORT = 8166
TARGET_PORT = 8261
# Figures of a small deployment.
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
CONTACT_S = 4.0
REUSE_AFTER_S = 2.0
GRACE_S = 6
ZONES = ("zone-a", "zone-b", "zone-c")


class CannotRun(Exception):
    """The case could not be brought about, so the rule was not tested."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, who, what):
        line = f"{time.monotonic() - self.began:8.3f} s  {who:<14} {what}"
        with self.lock:
            print(line, file=self.file, flush=True)
            print(line, flush=True)


def lookup(name, scopes):
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool) or isinstance(value, dict):
        return json.dumps(value)
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def render(text, scopes, entry=None, key=None, is_last=True):
    """Fills a template as the platform's deploy page describes."""
    pattern = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}|\{\{([\w.@,]+)(\|json)?\}\}", re.S)

    def fill(match):
        if match[1]:
            value = lookup(match[2], scopes)
            if match[1] == "^":
                return "" if value else render(match[3], scopes, entry, key, is_last)
            if not isinstance(value, (list, dict)):
                return render(match[3], scopes, entry, key, is_last) if value else ""
            items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            return "".join(render(match[3], [one, *scopes], one, name, index == len(items) - 1)
                           for index, (name, one) in enumerate(items))
        if match[4] == ",":
            return "" if is_last else ","
        if match[4] == "@":
            return as_text(key)
        value = entry if match[4] == "." else lookup(match[4], scopes)
        return json.dumps(value) if match[5] else as_text(value)

    return pattern.sub(fill, text)


class Process:
    """One process of a role on a machine of its own."""

    def __init__(self, deployment, role, name, zone, ip):
        self.deployment = deployment
        self.role = role
        self.name = name
        self.zone = zone
        self.ip = ip
        self.directory = deployment.directory / name
        self.data = self.directory / "data"
        self.data.mkdir(parents=True)
        self.popen = None

    def fields(self, first_start):
        on_core = self.role["on"] == "core"
        addresses = {"control": f"{self.ip}:{CONTROL_PORT}"} if on_core else {
            "datagram_addr": f"{self.ip}:{DATAGRAM_PORT}", "readiness": f"{self.ip}:{READINESS_PORT}"}
        fields = {"node_name": self.name, "zone": self.zone, "ip": self.ip, "bind_addrs": addresses,
                  "port_range": [7720, 7735], "seeds": self.deployment.seeds(), "bootstrap": first_start,
                  "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds": {"grace_s": GRACE_S}, "forwarding": "echo",
                  "limits": {"link_mbps": "1000.0"}, "zones": {zone: "region" for zone in ZONES}}
        return fields | ({"data_dir": str(self.data)} if on_core else {})

    def start(self, first_start=False):
        template = (ROOT / self.role["template"]).read_text()
        settings = self.directory / "settings.toml"
        settings.write_text(render(template, [self.fields(first_start)]))
        program, *arguments = self.role["run"].split()
        path = ROOT / program
        if not path.exists():
            path = ROOT / "build" / "release" / path.name
        if not path.exists():
            raise CannotRun(f"{program} is not built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GORSEVALVE_NODE_FILE"] = str(settings)
        with open(self.directory / "log", "ab") as log:
            self.popen = subprocess.Popen([str(path), *arguments], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.deployment.record.write(self.name, f"started, process {self.popen.pid}")

    def send_signal(self, number):
        self.popen.send_signal(number)
        self.deployment.record.write(self.name, signal.Signals(number).name)

    def kill(self):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def call(self, method, path, body=None, timeout=1.0):
        """Returns status and body of one HTTP call; status 0 without a response."""
        port = CONTROL_PORT if self.role["on"] == "core" else READINESS_PORT
        return call(self.ip, port, method, path, body, timeout)


def call(ip, port, method, path, body=None, timeout=1.0):
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        response = connection.getresponse()
        return response.status, response.read().decode(), response.getheader("Location", "")
    except (OSError, http.client.HTTPException):
        return 0, "", ""
    finally:
        connection.close()


def call_any(deployment, method, path, body, seconds):
    """Calls the control processes in turn as callers of `control_plane` do. Returns the status of the last
    call, and the node that gave it."""
    deadline = time.monotonic() + seconds
    status, node = 0, None
    nodes = list(deployment.controls)
    deployment.random.shuffle(nodes)
    while time.monotonic() < deadline:
        for node in nodes:
            status, _, location = node.call(method, path, body)
            for _ in range(2):
                if status != 307:
                    break
                host, _, own_path = location.removeprefix("http://").partition("/")
                ip, port = host.split(":")
                status, _, location = call(ip, int(port), method, "/" + own_path, body)
            if 200 <= status < 300 or status in (400, 404, 409, 412, 413, 422):
                return status, node
        time.sleep(0.1)
    return status, node


class Deployment:
    """Three control processes and two balancers, each at a loopback address of its own."""

    def __init__(self, record, controls=3, balancers=2):
        self.record = record
        self.random = random.Random()
        self.network = self.free_network()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = pathlib.Path(self.temporary.name)
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"].values()
        core = next(role for role in roles if "control_plane" in role["serves"])
        edge = next(role for role in roles if "edge" in role["serves"])
        self.controls = []
        for number in range(1, controls + 1):
            self.controls.append(Process(self, core, f"control-{number}", ZONES[(number - 1) % 3],
                                         self.ip(1, number)))
        self.balancers = [Process(self, edge, f"balancer-{number}", ZONES[number % 3], self.ip(2, number))
                          for number in range(1, balancers + 1)]

    def free_network(self):
        """A second octet of 127.x.0.0/16 whose ports are free."""
        for octet in self.random.sample(range(20, 250), 20):
            try:
                for ip, port in ((f"127.{octet}.1.1", CONTROL_PORT), (f"127.{octet}.2.1", READINESS_PORT)):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                return octet
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def ip(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def seeds(self):
        return [f"{control.ip}:{CONTROL_PORT}" for control in self.controls[:3]]

    def start(self, configuration):
        """Starts all processes, submits the first configuration, and waits until the balancers are ready."""
        for process in (*self.controls, *self.balancers):
            process.start(first_start=True)
        self.submit(configuration, seconds=15)
        self.wait(15, "all balancers to be ready",
                  lambda: all(balancer.call("GET", "/-/ready")[0] == 200 for balancer in self.balancers))

    def submit(self, configuration, seconds=5):
        status, node = call_any(self, "PUT", "/-/config", json.dumps(configuration), seconds)
        self.record.write("operator", f"configuration {configuration['version']}: {status} from {node.name}")
        if status != 200:
            raise CannotRun(f"configuration {configuration['version']} was answered {status}")

    @staticmethod
    def wait(seconds, what, condition):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(f"timed out waiting for {what}")
            time.sleep(0.05)

    def check_processes(self):
        for process in (*self.controls, *self.balancers):
            if process.popen is not None and process.popen.poll() is not None:
                raise CannotRun(f"{process.name} ended with {process.popen.returncode}")

    def stop(self):
        for process in (*self.controls, *self.balancers):
            process.kill()
        self.temporary.cleanup()


def route(name, port, service, kind="idempotent", timeout_ms=2000):
    return {"name": name, "host": "198.18.0.1", "path_prefix": f"/{port}/", "type": kind, "timeout_ms": timeout_ms,
            "aim_ms": 200, "priority": 1, "service": service, "attempts": 2}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_check": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}
