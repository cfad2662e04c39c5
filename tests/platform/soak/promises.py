"""What was promised and what was seen: the one place where the soak decides that a rule is broken.

Rules with a time bound hold only where nothing was disturbed for CONTACT seconds before; the others hold
always. Times are monotonic seconds.
"""

import collections
import time

SETTLE_TIME = 4.0
DRAIN_LIMIT = 3.0
APPLY_LIMIT = 3.0
MISROUTE_WINDOW = 2.0
MISROUTE_LIMIT = 3


def now():
    return time.monotonic()


class RuleChecker:
    """Collects violations; everything that callers, targets and the operator see is told to it."""

    def __init__(self, disturbances):
        self.disturbances = disturbances
        self.violations = []
        self.undisturbed_since = now()
        self.active_faults = 0
        self.counts = collections.Counter()
        self.executions = {}
        self.acknowledged = []
        self.sent_versions = {}
        self.misrouted = {}

    def report(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        print(f"VIOLATED {rule}: {text}", flush=True)

    # Disturbances.
    def begin_fault(self):
        self.active_faults += 1
        self.undisturbed_since = None

    def end_fault(self):
        self.active_faults -= 1
        if self.active_faults == 0:
            self.undisturbed_since = now()

    def is_undisturbed(self, since=None):
        """True when nothing was disturbed for CONTACT seconds, nor since the given time."""
        if self.undisturbed_since is None:
            return False
        return now() - self.undisturbed_since >= SETTLE_TIME and (since is None or self.undisturbed_since <= since)

    # What the operator saw.
    def on_sent(self, version, routes):
        self.sent_versions[version] = routes

    def on_acknowledged(self, version):
        self.acknowledged.append((now(), version))

    def acknowledged_before(self, moment):
        return max((version for at, version in self.acknowledged if at <= moment), default=0)

    def on_read(self, sent_at, version, routes):
        min_version = self.acknowledged_before(sent_at - APPLY_LIMIT)
        if version < min_version:
            self.report("CONFIG", f"read version {version} after {min_version} was acknowledged")
        if routes != self.sent_versions.get(version):
            self.report("CONFIG", f"version {version} was read with other content than was sent")

    def allowed_services(self, frontend, opened_at):
        """Services that any version allows that may be in force for a flow opened then, None for no route."""
        min_version = self.acknowledged_before(opened_at - APPLY_LIMIT) if self.is_undisturbed(opened_at) else 0
        return self.allowed_from_version(frontend, min_version)

    def allowed_from_version(self, frontend, min_version):
        """Services that this version or a later one allows, None for no route."""
        allowed = set()
        for version, routes in self.sent_versions.items():
            if version >= min_version:
                allowed |= routes.get(frontend, {None})
        return allowed

    # What targets saw.
    def on_misrouted(self, flow, holder):
        """A packet of a flow arrived at another target than the one that holds it, if any does."""
        times = self.misrouted.setdefault(flow, [])
        times.append(now())
        recent = [at for at in times if now() - at < MISROUTE_WINDOW]
        self.misrouted[flow] = recent
        if holder is not None and len(recent) >= MISROUTE_LIMIT:
            self.report("FLOW", f"{len(recent)} packets of {flow} arrived elsewhere than at {holder.name}")

    def on_own_packet(self, flow):
        self.misrouted.pop(flow, None)

    def on_corrupted_packet(self, where, packet):
        self.report("UNASKED", f"{where} got a packet that nobody wrote that way: {packet}")

    def on_opened(self, target, frontend, sent_at):
        """A target took an opening packet that its caller sent at the given time."""
        self.counts["flows opened"] += 1
        allowed = self.allowed_services(frontend, sent_at)
        if target.service not in allowed:
            self.report("ROUTE", f"{frontend} opened a flow at {target.service}, allowed: {allowed}")
        is_late = target.leave_acknowledged is not None and now() - target.leave_acknowledged > DRAIN_LIMIT
        if is_late and self.is_undisturbed(target.leave_acknowledged):
            waited = now() - target.leave_acknowledged
            self.report("DRAIN", f"{target.name} got a new flow {waited:.1f} s after its leave was acknowledged")

    def on_executed(self, request, at_most_once, target):
        targets = self.executions.setdefault(request, [])
        targets.append(target.name)
        self.counts["runs"] += 1
        if at_most_once and len(targets) > 1:
            self.report("UNASKED", f"{request} may run once and ran at {targets}")

    # What callers saw.
    def on_client_reset(self, flow, frontend, holder):
        """The system reset a flow that was open at a target."""
        dropped = any(frontend not in routes for routes in self.sent_versions.values())
        if holder is not None and holder.is_running and not dropped:
            self.report("FLOW", f"{flow} was reset while {holder.name} holds it")

    def on_probe(self, machine, frontend, sent_at, outcome):
        """One balancer opened a flow at a service, or refused it: some version in force must allow that."""
        self.counts["probes"] += 1
        is_undisturbed = self.disturbances.was_undisturbed(machine, sent_at)
        if outcome == "refused" and not is_undisturbed:
            # Perhaps it knows no target yet: that is no question of the version.
            return
        min_version = self.acknowledged_before(sent_at - APPLY_LIMIT) if is_undisturbed else 0
        allowed = self.allowed_from_version(frontend, min_version)
        self.counts["probes judged by time"] += 1 if is_undisturbed and min_version > 0 else 0
        if (None if outcome == "refused" else outcome) not in allowed:
            self.report("CONFIG", f"{machine} {'refused' if outcome == 'refused' else 'opened at ' + outcome} "
                                   f"{frontend}, sent {now() - sent_at:.2f} s ago; {min_version} and later allow {allowed}")

    def on_refused_route(self, frontend, sent_at):
        """An opening packet was reset by the system at once."""
        self.counts["flows refused"] += 1
        if not self.is_undisturbed(sent_at):
            return
        min_version = self.acknowledged_before(sent_at - APPLY_LIMIT)
        versions = [routes for version, routes in self.sent_versions.items() if version >= min_version]
        if versions and all(frontend in routes for routes in versions):
            self.report("CONFIG", f"{frontend} was refused although version {min_version} and all later ones have it")
