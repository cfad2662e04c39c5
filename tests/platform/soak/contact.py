"""Tracks disturbances of machines. Rules with a time limit apply only to undisturbed ones.

A machine is undisturbed when for SETTLE_TIME seconds no fault affected it, its links or the core.
The core is the set of control replicas and their connections; a fault in another balancer does not
count.
"""

from promises import SETTLE_TIME, now

# Longest stall of the event loop, in seconds. After a longer one, no time limit is checked.
MAX_LOOP_STALL = 0.4


class Disturbances:
    """Disturbances by machine name; CORE and ALL are groups of machines."""

    CORE = "the core"
    ALL = "all machines"

    def __init__(self):
        self.active = {}
        self.ended_at = {}

    def begin(self, scope):
        """Starts a disturbance that lasts until `end`."""
        self.active[scope] = self.active.get(scope, 0) + 1

    def end(self, scope):
        self.active[scope] = max(0, self.active.get(scope, 0) - 1)
        self.record(scope)

    def record(self, scope):
        """Records a momentary disturbance."""
        self.ended_at[scope] = now()

    def since(self, scope, with_core=True):
        """Time since which a machine (and the core) is undisturbed; None during a disturbance."""
        scopes = (scope, self.ALL, self.CORE) if with_core else (scope, self.ALL)
        if any(self.active.get(each, 0) for each in scopes):
            return None
        return max(self.ended_at.get(each, 0.0) for each in scopes)

    def was_undisturbed(self, scope, moment):
        """True when undisturbed from SETTLE_TIME seconds before `moment` until now."""
        since = self.since(scope)
        return since is not None and since <= moment - SETTLE_TIME
