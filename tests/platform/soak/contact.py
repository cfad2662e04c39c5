"""Which machines are in touch: the rules with a time bound hold for those, one by one.

A machine is in touch when for CONTACT seconds nothing was done to it or to its links, and nothing to the core: no
replica was killed, stopped, started, frozen, thawed or cut off, and no connection was reset or silenced. What was done
to another balancer does not matter.
"""

from promises import CONTACT, now

# A turn of this program's own loop that takes longer says that the whole machine was too busy to judge times.
STALL = 0.4


class Contact:
    """Remembers disturbances by the name of a machine; CORE and ALL stand for groups."""

    CORE = "the core"
    ALL = "all machines"

    def __init__(self):
        self.lasting = {}
        self.ended_at = {}

    def begin(self, name):
        """Something begins that lasts until `end`."""
        self.lasting[name] = self.lasting.get(name, 0) + 1

    def end(self, name):
        self.lasting[name] = max(0, self.lasting.get(name, 0) - 1)
        self.note(name)

    def note(self, name):
        """Something happened in this moment."""
        self.ended_at[name] = now()

    def since(self, name, with_core=True):
        """Since when a machine has been undisturbed, and the core if that counts; None while one is disturbed."""
        names = (name, self.ALL, self.CORE) if with_core else (name, self.ALL)
        if any(self.lasting.get(one, 0) for one in names):
            return None
        return max(self.ended_at.get(one, 0.0) for one in names)

    def is_in_touch(self, name, moment):
        """True when a machine was in touch from CONTACT seconds before a moment until now."""
        since = self.since(name)
        return since is not None and since <= moment - CONTACT
