"""A machine of the system: its settings, process and disk, and the faults that apply to them."""

import asyncio
import os
import resource
import shutil
import signal
import subprocess

from contact import Disturbances
from promises import now

ROLES = {"balancer": "gorsevalve-platform-balancer", "control": "gorsevalve-platform-control"}
CONNECTION_SOURCE = "libsoak-connection-source.so"
STOP_TIME = 6
STARTUP_TIME = 0.5
INTERNAL_PORT = 7720


class Machine:
    """One balancer or control process with its files."""

    def __init__(self, world, role, name, zone, ip, listen_ip=None):
        self.world = world
        self.role = role
        self.name = name
        self.zone = zone
        self.ip = ip
        self.listen_ip = listen_ip or ip
        self.directory = world.directory / name
        self.data_directory = self.directory / "data"
        self.data_directory.mkdir(parents=True, exist_ok=True)
        self.popen = None
        self.stop_requested = True
        self.is_frozen = False
        self.started_at = 0.0
        self.is_disturbed = False
        # Held by the action that uses this machine, so that no two actions start its process.
        self.lock = asyncio.Lock()

    @property
    def disturbance_scope(self):
        """A disturbed replica counts as a disturbance of the core."""
        return Disturbances.CORE if self.role == "control" else self.name

    def begin_disturbance(self):
        if not self.is_disturbed:
            self.is_disturbed = True
            self.world.disturbances.begin(self.disturbance_scope)

    def end_disturbance(self):
        if self.is_disturbed:
            self.is_disturbed = False
            self.world.disturbances.end(self.disturbance_scope)

    @property
    def internal_address(self):
        return f"{self.ip}:{INTERNAL_PORT}"

    @property
    def peer_address(self):
        """Address that a balancer reports to replicas."""
        return f"{self.ip}:{INTERNAL_PORT + 1}"

    @property
    def message_address(self):
        """Address that identifies this machine in the fault proxy."""
        return self.internal_address if self.role == "control" else self.peer_address

    @property
    def control_address(self):
        return f"{self.ip}:{self.world.control_port}"

    def settings(self, first_start):
        """Returns the settings file that the platform would generate from deploy/node.toml."""
        is_balancer = self.role == "balancer"
        seeds = ", ".join(f'"{m.control_address}"' for m in self.world.seeds())
        zones = ", ".join(f'"{zone}"' for zone in self.world.zones)
        fields = {
            "name": f'"{self.name}"', "zone": f'"{self.zone}"', "ip": f'"{self.ip}"',
            "listen_ip": f'"{self.listen_ip}"', "first_internal_port": INTERNAL_PORT,
            "datagrams": f'"{self.ip}:{self.world.datagram_port}"' if is_balancer else '""',
            "readiness": f'"{self.ip}:{self.world.readiness_port}"' if is_balancer else '""',
            "control": '""' if is_balancer else f'"{self.control_address}"', "seeds": f"[{seeds}]",
            "first_start": str(first_start).lower(), "data_folder": f'"{self.data_directory}"',
            "announce_interval_ms": 1200, "stop_time_s": STOP_TIME, "forwarding": '"echo"',
            "link_mbit_per_s": f'"{self.world.link_rate}"', "zones": f"[{zones}]"}
        return "".join(f"{name} = {value}\n" for name, value in fields.items())

    def write_settings(self, first_start=False):
        (self.directory / "node.toml").write_text(self.settings(first_start))

    def start(self, first_start=False):
        if self.is_running:
            raise AssertionError(f"{self.name} is already running")
        self.write_settings(first_start)
        environment = dict(os.environ, GORSEVALVE_NODE_FILE=str(self.directory / "node.toml"))
        if self.role == "balancer":
            # AddressSanitizer rejects a library that is loaded before its runtime.
            environment.update(LD_PRELOAD=str(self.world.build / CONNECTION_SOURCE), SOAK_CONNECTION_SOURCE=self.ip,
                               ASAN_OPTIONS="verify_asan_link_order=0")
        with open(self.directory / "log", "ab") as log:
            # Keeps SIGXFSZ ignored: a write beyond the file size limit fails with an error.
            self.popen = subprocess.Popen([str(self.world.build / ROLES[self.role])], stdout=log, stderr=log,
                                          env=environment, restore_signals=False)
        self.stop_requested = False
        self.started_at = now()
        self.world.disturbances.record(self.disturbance_scope)
        self.end_disturbance()

    @property
    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def exited_unexpectedly(self):
        return not self.stop_requested and not self.is_running

    def kill(self):
        """Sends SIGKILL."""
        self.begin_disturbance()
        self.stop_requested = True
        if self.is_running:
            self.popen.kill()
        self.popen.wait()
        self.is_frozen = False

    def terminate(self):
        """Sends SIGTERM; the caller then uses `kill`."""
        self.begin_disturbance()
        self.stop_requested = True
        if self.is_running:
            self.popen.send_signal(signal.SIGTERM)

    def freeze(self):
        if self.is_running:
            self.begin_disturbance()
            self.popen.send_signal(signal.SIGSTOP)
            self.is_frozen = True

    def thaw(self):
        if self.is_running:
            self.popen.send_signal(signal.SIGCONT)
        self.is_frozen = False
        if self.is_running:
            self.end_disturbance()

    def reload_settings(self):
        """Rewrites the settings and sends SIGHUP."""
        self.write_settings()
        # SIGHUP ends a process that was just started and does not ignore it yet.
        if self.is_running and now() - self.started_at > STARTUP_TIME:
            self.popen.send_signal(signal.SIGHUP)

    def fill_disk(self):
        """Makes writes fail that exceed the size of the largest existing file."""
        self.begin_disturbance()
        sizes = [path.stat().st_size for path in self.data_directory.rglob("*") if path.is_file()]
        self._limit_files(max(sizes, default=0))

    def free_disk(self):
        self._limit_files(resource.RLIM_INFINITY)
        self.end_disturbance()

    def _limit_files(self, max_bytes):
        if self.is_running:
            hard = resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE, (max_bytes, hard))

    def lose_disk(self):
        """Deletes all data. The process must be stopped."""
        shutil.rmtree(self.data_directory)
        self.data_directory.mkdir()
