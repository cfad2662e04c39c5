"""Starts and controls a fleet of real processes on loopback, for the demo and the tests.

Every process has its own loopback address in the network of its deployment, so several fleets can
run at the same time.
"""

import json
import os
import pathlib
import signal
import subprocess
import time
import tomllib
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "submit demo-token-0123456789"
TOKEN_VALUE = TOKEN.split()[1]


class FleetError(Exception):
    """An operation on the fleet failed or timed out."""


class Process:
    """One running program with its log files."""

    def __init__(self, name, command, directory):
        self.name = name
        self.command = command
        self.output = directory / f"{name}.out"
        self.log = directory / f"{name}.log"
        with open(self.output, "ab") as out, open(self.log, "ab") as log:
            # Programs of the system log to standard output; test doubles print their results there.
            logs = "gorsevalve-" in str(command[0])
            self.popen = subprocess.Popen(command, stdout=log if logs else out, stderr=log)

    def stop(self, timeout=15):
        """Sends SIGTERM. Returns the exit code, or None if the process had to be killed."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return None

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    def signal(self, number):
        self.popen.send_signal(number)

    def wait(self, timeout):
        return self.popen.wait(timeout)


class Fleet:
    """A deployment: control replicas, balancers, targets, fabric and platform."""

    def __init__(self, settings, directory, build, network, balancers_per_zone=2, fabric_flags=(),
                 target_flags=(), key="demo-cluster-key-0123456789", proxied=False):
        self.settings_path = pathlib.Path(settings)
        self.settings = tomllib.loads(self.settings_path.read_text())
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.build = pathlib.Path(build)
        self.network = network
        self.per_zone = balancers_per_zone
        self.fabric_flags = list(fabric_flags)
        self.target_flags = list(target_flags)
        self.proxied = proxied
        self.processes = {}
        self.zones = sorted({t["zone"] for s in self.settings["service"] for t in s["target"]})
        self.key_file = self._secret("keys", key)
        self.token_file = self._secret("tokens", TOKEN)

    def _secret(self, name, text):
        path = self.directory / name
        path.write_text(text + "\n")
        path.chmod(0o600)
        return path

    def ip(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def program(self, name):
        return str(self.build / name)

    def spawn(self, name, command):
        self.processes[name] = Process(name, command, self.directory)
        return self.processes[name]

    # Addresses. Groups from 200 on belong to the system, lower ones to services and targets.
    def control_address(self, i):
        return f"{self.ip(200, i)}:7000"

    def control_admin(self, i):
        return f"{self.ip(200, i)}:7080"

    def balancer_address(self, i):
        return f"{self.ip(201, i)}:6000"

    def balancer_admin(self, i):
        return f"{self.ip(201, i)}:6080"

    # Private addresses of processes behind the fault proxy.
    def control_listen(self, i):
        return f"{self.ip(220, i)}:7000"

    def balancer_listen(self, i):
        return f"{self.ip(221, i)}:6000"

    @property
    def platform_address(self):
        return f"{self.ip(202, 1)}:9000"

    @property
    def egress(self):
        return f"{self.ip(203, 1)}:9100"

    @property
    def ingress(self):
        return f"{self.ip(203, 1)}:9101"

    @property
    def control_numbers(self):
        return list(range(1, len(self.zones) + 1))

    @property
    def balancer_numbers(self):
        return list(range(1, len(self.zones) * self.per_zone + 1))

    def balancer_zone(self, i):
        return self.zones[(i - 1) % len(self.zones)]

    def control_command(self, i, initialize=False):
        command = [
            self.program("gorsevalve-control"), f"--name=control-{i}",
            f"--zone={self.zones[i - 1]}", f"--address={self.control_address(i)}",
            f"--admin={self.control_admin(i)}",
            "--replicas=" + ",".join(self.control_address(n) for n in self.control_numbers),
            f"--cluster={self.settings['deployment']}", f"--key_file={self.key_file}",
            f"--token_file={self.token_file}",
            f"--data_folder={self.directory}/control-{i}.data",
        ]
        if self.proxied:
            command.append(f"--listen={self.control_listen(i)}")
        return command + (["--initialize"] if initialize else [])

    def initialize_control(self, i):
        subprocess.run(self.control_command(i, True), check=True, timeout=20)

    def start_control(self, i):
        return self.spawn(f"control-{i}", self.control_command(i))

    def start_balancer(self, i):
        self.spawn(f"balancer-{i}", [
            self.program("gorsevalve-balancer"), f"--name=balancer-{i}",
            f"--zone={self.balancer_zone(i)}", f"--address={self.balancer_address(i)}",
            f"--egress={self.egress}", f"--admin={self.balancer_admin(i)}",
            "--control=" + ",".join(self.control_address(n) for n in self.control_numbers),
            f"--cluster={self.settings['deployment']}", f"--key_file={self.key_file}",
            f"--data_folder={self.directory}/balancer-{i}.data",
            *([f"--listen={self.balancer_listen(i)}"] if self.proxied else []),
        ])

    def announce(self, i, state):
        """Reports to the platform that a balancer is live, leaving or gone."""
        self.http(self.platform_address, f"/{state}", self.balancer_address(i).encode())

    def start_targets(self):
        for service in self.settings["service"]:
            by_zone = {}
            for target in service["target"]:
                by_zone.setdefault(target["zone"], []).append(target)
            for zone, targets in by_zone.items():
                names = ",".join(f"{t['name']}@{t['address']}" for t in targets)
                self.spawn(f"targets-{service['name']}-{zone}", [
                    self.program("standin-target"), f"--targets={names}",
                    f"--ingress={self.ingress}", *self.target_flags])

    def start(self):
        """Starts all processes and waits until the settings are applied on every balancer."""
        self.spawn("platform", [self.program("standin-platform"),
                                f"--address={self.platform_address}", "--lag_ms=500"])
        self.wait_until("platform", lambda: self.http(self.platform_address, "/machines"))
        for i in self.control_numbers:
            self.initialize_control(i)
            self.start_control(i)
        self.start_targets()
        self.spawn("fabric", [self.program("standin-fabric"), f"--settings={self.settings_path}",
                              f"--egress={self.egress}", f"--ingress={self.ingress}",
                              f"--platform={self.platform_address}", *self.fabric_flags])
        for i in self.balancer_numbers:
            self.start_balancer(i)
        self.wait_until("all balancers joined", self.all_joined)
        for i in self.balancer_numbers:
            self.announce(i, "live")
        code, output = self.apply(self.settings_path)
        if code != 0:
            raise FleetError(f"applying the first settings failed with exit code {code}: {output}")
        self.wait_until("handovers complete", self.handovers_complete)
        time.sleep(1.5)  # the balancer list of the fabric is updated with a delay

    def all_joined(self):
        status = self.status()
        return status and status["members"] == len(self.balancer_numbers)

    def handovers_complete(self):
        status = self.status()
        if not status:
            return False
        nodes = json.loads(self.http(self.leader_admin(), "/v1/nodes"))
        return all(n.get("settled_revision", 0) >= status["members_revision"] for n in nodes)

    def http(self, address, path, body=None, timeout=3):
        request = urllib.request.Request(f"http://{address}{path}", data=body)
        request.add_header("Authorization", f"Bearer {TOKEN_VALUE}")
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.read().decode()

    def try_http(self, address, path):
        try:
            return self.http(address, path)
        except (OSError, urllib.error.URLError):
            return None

    def leader_admin(self):
        for i in self.control_numbers:
            text = self.try_http(self.control_admin(i), "/v1/status")
            if text and json.loads(text)["is_leader"]:
                return self.control_admin(i)
        return None

    def leader_number(self):
        admin = self.leader_admin()
        numbers = [i for i in self.control_numbers if self.control_admin(i) == admin]
        return numbers[0] if numbers else None

    def status(self):
        admin = self.leader_admin()
        text = self.try_http(admin, "/v1/status") if admin else None
        return json.loads(text) if text else None

    def wait_until(self, what, condition, timeout=30):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, urllib.error.URLError):
                pass
            time.sleep(0.1)
        raise FleetError(f"timed out after {timeout} s, waiting for: {what}")

    def run_cli(self, *arguments):
        """Runs the command-line client `gorsevalve`. Returns exit code and output."""
        servers = ",".join(self.control_admin(i) for i in self.control_numbers)
        done = subprocess.run([self.program("gorsevalve"), *arguments, f"--server={servers}",
                               f"--token_file={self.token_file}"],
                              capture_output=True, text=True, timeout=90, check=False)
        return done.returncode, done.stdout + done.stderr

    def apply(self, path, *flags):
        return self.run_cli("apply", str(path), "--wait", *flags)

    def start_clients(self, name, service, port, **counts):
        flags = [f"--{key}={value}" for key, value in counts.items()]
        address = next(s["address"] for s in self.settings["service"] if s["name"] == service)
        return self.spawn(f"callers-{name}", [
            self.program("standin-caller"), f"--service={address}", f"--name={name}-",
            f"--source={self.ip(210, 1)}", f"--port={port}", *flags])

    def client_result(self, process, timeout):
        process.wait(timeout)
        return json.loads(process.output.read_text().strip().splitlines()[-1])

    def target_records(self):
        """Returns the execution record of each target by name."""
        records = {}
        for service in self.settings["service"]:
            for target in service["target"]:
                text = self.try_http(target["health"], "/executions")
                if text:
                    records[target["name"]] = json.loads(text)
        return records

    def restart_balancer(self, i, timeout=30):
        """Planned restart of a balancer: drain, stop, start."""
        self.announce(i, "leaving")
        code = self.processes[f"balancer-{i}"].stop(timeout)
        if code != 0:
            raise FleetError(f"balancer-{i} did not stop cleanly: exit code {code}")
        self.start_balancer(i)
        self.wait_until(f"balancer-{i} joined", self.all_joined)
        self.announce(i, "live")

    def stop(self):
        for process in reversed(list(self.processes.values())):
            process.kill()


def check_updates(results, records):
    """Compares outcomes reported to clients with executions. Returns a list of violations."""
    done, not_run, may_have_run = 1, 2, 3
    executions = {}
    for record in records.values():
        for key, count in record["executions"].items():
            executions[key] = executions.get(key, 0) + count
    violations = [f"{key} was executed {count} times" for key, count in executions.items() if count > 1]
    for result in results:
        for key, reported in result["updates"].items():
            count = executions.get(key, 0)
            if reported == done and count != 1:
                violations.append(f"{key} was reported as done and was executed {count} times")
            if reported == not_run and count != 0:
                violations.append(f"{key} was reported as not run and was executed {count} times")
    del may_have_run
    return violations


def imbalance(service, records, draining, counter):
    """Ratio of maximum to mean of a weighted counter, over the targets that accept new work."""
    values = [records[t["name"]][counter] / t.get("weight", 100) for t in service["target"]
              if t["name"] in records and t["name"] not in draining]
    mean = sum(values) / len(values) if values else 0
    return max(values) / mean if mean else 0.0


def run_with_fleet(fleet, action):
    """Starts a fleet, runs an action, and always stops the fleet."""
    try:
        fleet.start()
        return action()
    finally:
        fleet.stop()


os.environ.setdefault("LC_ALL", "C")
