"""Checks the rules of the platform against what clients, targets and the operator observe.

Rules with a time limit apply only if there was no disturbance for SETTLE_TIME seconds; the others
always apply. Times are monotonic seconds.
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
    """Receives all observations and collects violations."""

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

    def begin_fault(self):
        self.active_faults += 1
        self.undisturbed_since = None

    def end_fault(self):
        self.active_faults -= 1
        if self.active_faults == 0:
            self.undisturbed_since = now()

    def is_undisturbed(self, since=None):
        """True when no fault was active for SETTLE_TIME seconds, nor after `since`."""
        if self.undisturbed_since is None:
            return False
        return now() - self.undisturbed_since >= SETTLE_TIME and (since is None or self.undisturbed_since <= since)

    # Observations of the operator.
    def on_sent(self, version, routes):
        self.sent_versions[version] = routes

    def on_acknowledged(self, version):
        self.acknowledged.append((now(), version))

    def acknowledged_before(self, moment):
        return max((version for at, version in self.acknowledged if at <= moment), default=0)

    def on_read(self, sent_at, version, routes):
        min_version = self.acknowledged_before(sent_at - APPLY_LIMIT)
        if version < min_version:
            self.report("CONFIG", f"version {version} was read after {min_version} was acknowledged")
        if routes != self.sent_versions.get(version):
            self.report("CONFIG", f"the routes of version {version} differ from those that were submitted")

    def allowed_services(self, frontend, opened_at):
        """Services that may be chosen for a flow opened at that time; None for no route."""
        min_version = self.acknowledged_before(opened_at - APPLY_LIMIT) if self.is_undisturbed(opened_at) else 0
        return self.allowed_from_version(frontend, min_version)

    def allowed_from_version(self, frontend, min_version):
        """Services allowed by this version or any later one; None for no route."""
        allowed = set()
        for version, routes in self.sent_versions.items():
            if version >= min_version:
                allowed |= routes.get(frontend, {None})
        return allowed

    # Observations of targets.
    def on_misrouted(self, flow, holder):
        """A packet of a flow arrived at another target than `holder`; None if no target has it."""
        times = self.misrouted.setdefault(flow, [])
        times.append(now())
        recent = [at for at in times if now() - at < MISROUTE_WINDOW]
        self.misrouted[flow] = recent
        if holder is not None and len(recent) >= MISROUTE_LIMIT:
            self.report("FLOW", f"{len(recent)} packets of {flow} arrived at other targets than {holder.name}")

    def on_own_packet(self, flow):
        self.misrouted.pop(flow, None)

    def on_corrupted_packet(self, where, packet):
        self.report("UNASKED", f"{where} received a malformed or altered packet: {packet}")

    def on_opened(self, target, frontend, sent_at):
        """A target accepted a flow whose client sent the first SYN at `sent_at`."""
        self.counts["flows opened"] += 1
        allowed = self.allowed_services(frontend, sent_at)
        if target.service not in allowed:
            self.report("ROUTE", f"{frontend} opened a flow at {target.service}, allowed: {allowed}")
        is_late = target.leave_acknowledged is not None and now() - target.leave_acknowledged > DRAIN_LIMIT
        if is_late and self.is_undisturbed(target.leave_acknowledged):
            waited = now() - target.leave_acknowledged
            self.report("DRAIN", f"{target.name} received a new flow {waited:.1f} s after its drain or removal "
                                 f"was acknowledged")

    def on_executed(self, request, at_most_once, target):
        targets = self.executions.setdefault(request, [])
        targets.append(target.name)
        self.counts["runs"] += 1
        if at_most_once and len(targets) > 1:
            self.report("UNASKED", f"non-idempotent request {request} was executed more than once, at {targets}")

    # Observations of clients.
    def on_client_reset(self, flow, frontend, holder):
        """A balancer reset a flow that was open at a target."""
        route_was_missing = any(frontend not in routes for routes in self.sent_versions.values())
        if holder is not None and holder.is_running and not holder.was_cut() and not route_was_missing:
            self.report("FLOW", f"{flow} was reset while it was open at {holder.name}")

    def on_probe(self, machine, frontend, sent_at, outcome):
        """A balancer opened or rejected a flow. At least one version that it may have applied must
        allow this outcome."""
        self.counts["probes"] += 1
        is_undisturbed = self.disturbances.was_undisturbed(machine, sent_at)
        if outcome == "refused" and not is_undisturbed:
            # The balancer may not know any target yet, which does not depend on the version.
            return
        min_version = self.acknowledged_before(sent_at - APPLY_LIMIT) if is_undisturbed else 0
        allowed = self.allowed_from_version(frontend, min_version)
        self.counts["probes with a time limit"] += 1 if is_undisturbed and min_version > 0 else 0
        if (None if outcome == "refused" else outcome) not in allowed:
            self.report("CONFIG", f"{machine} {'rejected' if outcome == 'refused' else 'opened at ' + outcome} "
                                  f"{frontend}, sent {now() - sent_at:.2f} s ago; versions from {min_version} "
                                  f"allow {allowed}")

    def on_refused_route(self, frontend, sent_at):
        """A balancer rejected a flow with a reset before it was open."""
        self.counts["flows refused"] += 1
        if not self.is_undisturbed(sent_at):
            return
        min_version = self.acknowledged_before(sent_at - APPLY_LIMIT)
        versions = [routes for version, routes in self.sent_versions.items() if version >= min_version]
        if versions and all(frontend in routes for routes in versions):
            self.report("CONFIG", f"{frontend} was rejected although all versions from {min_version} "
                                  f"have a route for it")
