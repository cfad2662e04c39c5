"""What was promised and what was seen: the one place where the soak decides that a rule is broken.

Rules with a time bound hold only where nothing was disturbed for CONTACT seconds before; the others hold
always. Times are monotonic seconds.
"""

import collections
import time

CONTACT = 4.0
DRAIN = 3.0
APPLY = 3.0
FLOW_WINDOW = 2.0
MISROUTED_PACKETS = 3


def now():
    return time.monotonic()


class Promises:
    """Collects violations; everything that callers, targets and the operator see is told to it."""

    def __init__(self, contact):
        self.contact = contact
        self.violations = []
        self.calm_since = now()
        self.disturbances = 0
        self.counts = collections.Counter()
        self.ran = {}
        self.acknowledged = []
        self.sent_versions = {}
        self.misrouted = {}

    def violate(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        print(f"VIOLATED {rule}: {text}", flush=True)

    # Disturbances.
    def disturb(self):
        self.disturbances += 1
        self.calm_since = None

    def calm(self):
        self.disturbances -= 1
        if self.disturbances == 0:
            self.calm_since = now()

    def in_touch(self, since=None):
        """True when nothing was disturbed for CONTACT seconds, nor since the given time."""
        if self.calm_since is None:
            return False
        return now() - self.calm_since >= CONTACT and (since is None or self.calm_since <= since)

    # What the operator saw.
    def on_sent(self, version, routes):
        self.sent_versions[version] = routes

    def on_acknowledged(self, version):
        self.acknowledged.append((now(), version))

    def acknowledged_before(self, moment):
        return max((version for at, version in self.acknowledged if at <= moment), default=0)

    def on_read(self, sent_at, version, routes):
        least = self.acknowledged_before(sent_at - APPLY)
        if version < least:
            self.violate("CONFIG", f"read version {version} after {least} was acknowledged")
        if routes != self.sent_versions.get(version):
            self.violate("CONFIG", f"version {version} was read with other content than was sent")

    def allowed_services(self, frontend, opened_at):
        """Services that any version allows that may be in force for a flow opened then, None for no route."""
        least = self.acknowledged_before(opened_at - APPLY) if self.in_touch(opened_at) else 0
        return self.allowed_since(frontend, least)

    def allowed_since(self, frontend, least):
        """Services that this version or a later one allows, None for no route."""
        allowed = set()
        for version, routes in self.sent_versions.items():
            if version >= least:
                allowed |= routes.get(frontend, {None})
        return allowed

    # What targets saw.
    def on_misrouted(self, flow, holder):
        """A packet of a flow arrived at another target than the one that holds it, if any does."""
        times = self.misrouted.setdefault(flow, [])
        times.append(now())
        recent = [at for at in times if now() - at < FLOW_WINDOW]
        self.misrouted[flow] = recent
        if holder is not None and len(recent) >= MISROUTED_PACKETS:
            self.violate("FLOW", f"{len(recent)} packets of {flow} arrived elsewhere than at {holder.name}")

    def on_own_packet(self, flow):
        self.misrouted.pop(flow, None)

    def on_changed_packet(self, where, packet):
        self.violate("UNASKED", f"{where} got a packet that nobody wrote that way: {packet}")

    def on_opened(self, target, frontend, sent_at):
        """A target took an opening packet that its caller sent at the given time."""
        self.counts["flows opened"] += 1
        allowed = self.allowed_services(frontend, sent_at)
        if target.service not in allowed:
            self.violate("ROUTE", f"{frontend} opened a flow at {target.service}, allowed: {allowed}")
        late = target.leave_acknowledged is not None and now() - target.leave_acknowledged > DRAIN
        if late and self.in_touch(target.leave_acknowledged):
            waited = now() - target.leave_acknowledged
            self.violate("DRAIN", f"{target.name} got a new flow {waited:.1f} s after its leave was acknowledged")

    def on_run(self, request, once, target):
        runs = self.ran.setdefault(request, [])
        runs.append(target.name)
        self.counts["runs"] += 1
        if once and len(runs) > 1:
            self.violate("UNASKED", f"{request} may run once and ran at {runs}")

    # What callers saw.
    def on_caller_reset(self, flow, frontend, holder):
        """The system reset a flow that was open at a target."""
        dropped = any(frontend not in routes for routes in self.sent_versions.values())
        if holder is not None and holder.is_running and not dropped:
            self.violate("FLOW", f"{flow} was reset while {holder.name} holds it")

    def on_probe(self, machine, frontend, sent_at, outcome):
        """One balancer opened a flow at a service, or refused it: some version in force must allow that."""
        self.counts["probes"] += 1
        in_touch = self.contact.is_in_touch(machine, sent_at)
        if outcome == "refused" and not in_touch:
            # Perhaps it knows no target yet: that is no question of the version.
            return
        least = self.acknowledged_before(sent_at - APPLY) if in_touch else 0
        allowed = self.allowed_since(frontend, least)
        self.counts["probes judged by time"] += 1 if in_touch and least > 0 else 0
        if (None if outcome == "refused" else outcome) not in allowed:
            self.violate("CONFIG", f"{machine} {'refused' if outcome == 'refused' else 'opened at ' + outcome} "
                                   f"{frontend}, sent {now() - sent_at:.2f} s ago; {least} and later allow {allowed}")

    def on_refused_route(self, frontend, sent_at):
        """An opening packet was reset by the system at once."""
        self.counts["flows refused"] += 1
        if not self.in_touch(sent_at):
            return
        least = self.acknowledged_before(sent_at - APPLY)
        versions = [routes for version, routes in self.sent_versions.items() if version >= least]
        if versions and all(frontend in routes for routes in versions):
            self.violate("CONFIG", f"{frontend} was refused although version {least} and all later ones have it")
