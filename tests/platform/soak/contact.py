"""Which machines are in touch: the rules with a time bound hold for those, one by one.

A machine is in touch when for CONTACT seconds nothing was done to it or to its links, and nothing to the core: no
replica was killed, stopped, started, frozen, thawed or cut off, and no connection was reset or silenced. What was done
to another balancer does not matter.
"""

from promises import SETTLE_TIME, now

# A turn of this program's own loop that takes longer says that the whole machine was too busy to judge times.
MAX_LOOP_STALL = 0.4


class Disturbances:
    """Remembers disturbances by the name of a machine; CORE and ALL stand for groups."""

    CORE = "the core"
    ALL = "all machines"

    def __init__(self):
        self.active = {}
        self.ended_at = {}

    def begin(self, scope):
        """Something begins that lasts until `end`."""
        self.active[scope] = self.active.get(scope, 0) + 1

    def end(self, scope):
        self.active[scope] = max(0, self.active.get(scope, 0) - 1)
        self.record(scope)

    def record(self, scope):
        """Something happened in this moment."""
        self.ended_at[scope] = now()

    def since(self, scope, with_core=True):
        """Since when a machine has been undisturbed, and the core if that counts; None while one is disturbed."""
        scopes = (scope, self.ALL, self.CORE) if with_core else (scope, self.ALL)
        if any(self.active.get(each, 0) for each in scopes):
            return None
        return max(self.ended_at.get(each, 0.0) for each in scopes)

    def was_undisturbed(self, scope, moment):
        """True when a machine was in touch from CONTACT seconds before a moment until now."""
        since = self.since(scope)
        return since is not None and since <= moment - SETTLE_TIME
