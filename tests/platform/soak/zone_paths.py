"""Paths between zones: which are cut off, since when, and how their callers fared meanwhile."""

import dataclasses

from promises import SETTLE_TIME, now


@dataclasses.dataclass
class Cut:
    """One zone's cut: nothing goes into the zone or out of it, while its callers reach its balancers."""

    zone: str
    started_at: float
    last_served: float
    # The longest time in which no caller of the zone got an answer.
    longest_outage: float = 0.0
    # Flows that balancers placed across, by those within the zone and by those outside, and until when from the
    # beginning on.
    openings_out: int = 0
    openings_in: int = 0
    last_opening_after: float = 0.0

    def on_served(self):
        """A caller of the zone got an answer. Over the cut none comes, so a target of the own zone served it."""
        self.longest_outage = max(self.longest_outage, now() - self.last_served)
        self.last_served = now()

    def on_lost_opening(self, is_outbound):
        """A balancer placed a flow across."""
        self.last_opening_after = now() - self.started_at
        if is_outbound:
            self.openings_out += 1
        else:
            self.openings_in += 1

    def __str__(self):
        return (f"{self.zone} was cut off for {now() - self.started_at:.2f} s: {self.openings_out} openings went out "
                f"of it and {self.openings_in} into it, the last after {self.last_opening_after:.2f} s; its callers "
                f"were without an answer for {self.longest_outage:.2f} s at most")


class ZonePaths:
    """A zone that is cut off reaches none of the others, and none of them reaches it."""

    def __init__(self):
        self.cuts = {}
        self.healed_at = {}
        self.past_cuts = []

    def begin_cut(self, zone):
        self.cuts[zone] = Cut(zone, now(), now())

    def end_cut(self, zone):
        """What happened meanwhile."""
        cut = self.cuts.pop(zone)
        cut.on_served()
        self.healed_at[zone] = now()
        self.past_cuts.append(cut)
        return cut

    def is_open(self, one, other):
        """True when a message gets from one zone to the other. None is somewhere outside, which all reach."""
        return one == other or None in (one, other) or not (one in self.cuts or other in self.cuts)

    def is_undisturbed(self, one, other):
        """True when the path has been open for CONTACT seconds."""
        if one == other:
            return True
        healed_at = max(self.healed_at.get(one, 0.0), self.healed_at.get(other, 0.0))
        return self.is_open(one, other) and now() - healed_at >= SETTLE_TIME

    def on_lost_opening(self, sender_zone, target_zone):
        """An opening packet of a balancer met a cut."""
        for zone in (sender_zone, target_zone):
            if zone in self.cuts:
                self.cuts[zone].on_lost_opening(zone == sender_zone)

    def on_served(self, zone):
        if zone in self.cuts:
            self.cuts[zone].on_served()

    def summary(self):
        placed = max((cut.last_opening_after for cut in self.past_cuts), default=0.0)
        waited = max((cut.longest_outage for cut in self.past_cuts), default=0.0)
        return (f"{len(self.past_cuts)} cut zones, flows placed across for {placed:.2f} s, "
                f"{waited:.2f} s without an answer at most")
